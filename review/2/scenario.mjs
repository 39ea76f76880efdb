/**
 * Clients that keep their connections and send a booking as soon as a stream on the same connection has ended, and a planned stop of
 * the gateway. A booking that the gateway passes on must be answered.
 */
import * as path from 'node:path'
import * as url from 'node:url'
import * as clients from '../standins/client.mjs'
import * as deployments from '../standins/deployment.mjs'

const folder = path.dirname(url.fileURLToPath(import.meta.url))
const hasTrouble = process.env.TROUBLE !== '0'
const clientCount = 24
const warmUpMs = 2_000
/** `grace_s`, and one second. */
const graceMs = 9_000
const plainRetryMs = 50
const reconnectMs = 100

const deployment = new deployments.Deployment(path.join(folder, 'record.txt'))
const { record } = deployment
const requests = []
const phase = { isOver: false }
let stopMs = Infinity

const engine = { service: 'swell-llm', events: 12, eventMs: 40 }
const plain = { service: 'rider-app', workMs: 60 }
await deployment.start(3, {
  'i-p1': { ...engine, stage: 'prefill' }, 'i-d1': { ...engine, stage: 'decode' }, 'i-d2': { ...engine, stage: 'decode' }, 'i-a1': plain, 'i-a2': plain, 'i-a3': plain
})
const [stopped] = deployment.gateways

/** Sends a stream and a booking by turns, on one connection for as long as the gateway keeps it. */
async function browse (client) {
  await deployments.pause(Math.random() * 500)
  let number = 0
  while (!phase.isOver) {
    const connection = new clients.Connection(stopped)
    while (!phase.isOver && connection.state === 'open') {
      number += 1
      const isStream = number % 2 === 1
      const id = `${isStream ? 'stream' : 'book'}-${client}-${number}`
      record(`client sends ${id}`)
      const sentMs = performance.now()
      const answer = await connection.send(isStream
        ? clients.writeRequest(id, '/digest/coast', { isStream, body: 'coast' })
        : clients.writeRequest(id, '/book/slot', { body: 'slot' }))
      record(`client gets ${answer.status} for ${id}, ${answer.isComplete ? 'complete' : `not complete, connection ${connection.state}`}`)
      requests.push({ id, sentMs, endedMs: performance.now(), ...answer })
      if (/close/i.test(answer.headers.get('connection') ?? '')) {
        break
      }
      if (answer.status >= 500) {
        await deployments.pause(plainRetryMs)
      }
    }
    connection.close()
    await deployments.pause(reconnectMs)
  }
}

const all = Array.from({ length: clientCount }, (_value, index) => browse(index + 1))
await deployments.pause(warmUpMs)
if (hasTrouble) {
  record(`${stopped.name} gets SIGTERM`)
  stopMs = performance.now()
  stopped.signal('SIGTERM')
  await Promise.race([stopped.ended, deployments.pause(graceMs)])
  record(`${stopped.name} has ended`)
} else {
  await deployments.pause(graceMs)
}
phase.isOver = true
await Promise.race([Promise.all(all), deployments.pause(1_500)])

// A request that was not passed on does not count, nor one that had used up the time-out of its route (800 ms).
const lost = requests.filter(({ id, isComplete, sentMs, endedMs }) => !isComplete && endedMs - sentMs < 700 && (!hasTrouble || sentMs >= stopMs - 800) && deployment.listRuns(id).length > 0)
for (const { id, sentMs, endedMs } of lost) {
  const [run] = deployment.listRuns(id)
  record(`BROKEN: ${id} was read and passed on to ${run.server}, which ran it, and its connection was closed without an answer, ${(endedMs - sentMs).toFixed(1)} ms after it was sent and ${Math.round(sentMs - stopMs)} ms after the SIGTERM`)
}
const answered = requests.filter(({ status }) => status === 200).length
if (answered === 0) {
  process.exit(2)
}
deployment.finish(lost.length > 0, `LOST: ${lost.length} of ${requests.length} requests were passed on and got no answer; ${answered} were answered 200`)
