/**
 * Streams that end with their connection, and a gateway that is killed in the middle of them. What ends early must not look complete.
 */
import * as path from 'node:path'
import * as url from 'node:url'
import * as clients from '../standins/client.mjs'
import * as deployments from '../standins/deployment.mjs'

const folder = path.dirname(url.fileURLToPath(import.meta.url))
const hasTrouble = process.env.TROUBLE !== '0'
const clientCount = 8
const events = 30
const eventMs = 80
/** When the gateway is killed: in the middle of the streams. */
const killMs = 1_200

const deployment = new deployments.Deployment(path.join(folder, 'record.txt'))
const { record } = deployment
const engine = { service: 'swell-llm', events, eventMs, isUnframed: true }
await deployment.start(3, {
  'i-p1': { ...engine, stage: 'prefill' }, 'i-d1': { ...engine, stage: 'decode' }, 'i-d2': { ...engine, stage: 'decode' }, 'i-d3': { ...engine, stage: 'decode' }
})
const [killed] = deployment.gateways

async function read (client) {
  const id = `stream-${client}`
  await deployments.pause(client * 10)
  const connection = new clients.Connection(killed)
  record(`client sends ${id}`)
  const answer = await connection.send(clients.writeRequest(id, client % 2 === 0 ? '/brief/spot' : '/digest/coast', { isStream: true, body: 'spot' }))
  const received = clients.listEvents(answer.body)
  const isInsideEvent = answer.body !== '' && !answer.body.endsWith('\n\n')
  record(`client gets ${answer.status} for ${id}, signed ${answer.headers.get('server-stamp')}, ${received.length} events, framed by ${answer.framing}, ` +
    `${answer.isComplete ? 'ended orderly' : `broken off: ${connection.state}`}${isInsideEvent ? ', inside an event' : ''}`)
  connection.close()
  return { id, answer, received, isInsideEvent }
}

const all = Promise.all(Array.from({ length: clientCount }, (_value, index) => read(index + 1)))
await deployments.pause(killMs)
if (hasTrouble) {
  record(`${killed.name} is killed`)
  killed.signal('SIGKILL')
}
const results = await all
await deployments.pause(200)

const broken = results.filter(({ answer, received, isInsideEvent }) =>
  answer.status === 200 && answer.headers.has('server-stamp') && answer.isComplete && !isInsideEvent && received.length < events)
for (const { id, received, answer } of broken) {
  record(`BROKEN: ${id} looks complete to its client (framed by ${answer.framing}, ended orderly between two events) and has ${received.length} of ${events} events`)
}
const whole = results.filter(({ answer, received }) => answer.isComplete && received.length === events).length
if (!hasTrouble && whole !== clientCount) {
  process.exit(2)
}
deployment.finish(broken.length > 0, `MIXED: ${broken.length} of ${clientCount} answers ended early and look complete; ${whole} are whole`)
