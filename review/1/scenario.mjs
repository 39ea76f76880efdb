/**
 * Clients that open a connection some time before they send a booking on it, and a gateway that stands still for a moment. A booking
 * that is answered with a promise that it has not run must not run.
 */
import * as path from 'node:path'
import * as url from 'node:url'
import * as clients from '../standins/client.mjs'
import * as deployments from '../standins/deployment.mjs'

const folder = path.dirname(url.fileURLToPath(import.meta.url))
const hasTrouble = process.env.TROUBLE !== '0'
const clientCount = 96
/** Time from the opening of a connection to the whole head of its request; `header_timeout_ms` is 3,000, `idle_timeout_ms` 15,000. */
const openAheadMs = 2_000
const freezeMs = 1_500
/** How often the gateway stands still, and the time before each pause. */
const freezeCount = 3
const warmUpMs = 6_000
const afterMs = 2_000
const deadlineMs = 1_500
/** Statuses that promise that the request has not run and never will. */
const promises = new Set([408, 421, 429, 503])

const deployment = new deployments.Deployment(path.join(folder, 'record.txt'))
const { record } = deployment
const requests = []
const phase = { isOver: false }

const plain = { service: 'rider-app', workMs: 60 }
await deployment.start(3, { 'i-a1': plain, 'i-a2': plain, 'i-a3': plain })
const [stopped, other] = deployment.gateways

/** Sends one attempt at a booking on a connection that was opened before; waits for the answer until the deadline. */
async function send (connection, gateway, id, booking) {
  record(`client sends ${id} (${booking}) to ${gateway.name}`)
  const answer = await Promise.race([
    connection.send(clients.writeRequest(id, '/book/slot', { body: booking, deadlineMs })),
    deployments.pause(deadlineMs).then(() => ({ status: 0 }))
  ])
  record(`client gets ${answer.status === 0 ? 'no answer' : answer.status} for ${id}`)
  connection.close()
  requests.push({ id, booking, status: answer.status })
  return answer.status
}

/** Makes one booking after the other, each once more elsewhere if the first attempt was answered with a promise. */
async function book (client) {
  await deployments.pause(Math.random() * openAheadMs)
  for (let number = 1; !phase.isOver; number += 1) {
    const booking = `booking ${client}-${number}`
    const connection = new clients.Connection(stopped)
    await deployments.pause(openAheadMs)
    if (promises.has(await send(connection, stopped, `b${client}-${number}-first`, booking))) {
      await send(new clients.Connection(other), other, `b${client}-${number}-again`, booking)
    }
  }
}

const all = Array.from({ length: clientCount }, (_value, index) => book(index + 1))
for (let freeze = 0; freeze < freezeCount; freeze += 1) {
  await deployments.pause(warmUpMs)
  if (hasTrouble) {
    record(`${stopped.name} stands still for ${freezeMs} ms`)
    stopped.signal('SIGSTOP')
    await deployments.pause(freezeMs)
    stopped.signal('SIGCONT')
    record(`${stopped.name} goes on`)
  }
}
await deployments.pause(afterMs)
phase.isOver = true
await Promise.all(all)
await deployments.pause(500)

const broken = requests.filter(({ id, status }) => promises.has(status) && deployment.listRuns(id).length > 0)
for (const { id, booking, status } of broken) {
  const runs = deployment.servers.flatMap(server => server.runs).filter(({ body }) => body === booking)
  record(`BROKEN: ${id} was answered ${status} and has run; ${booking} was run ${runs.length} times: ${runs.map(run => `${run.id} at ${run.server}`).join(', ')}`)
}
const answered = requests.filter(({ status }) => status === 200).length
if (answered === 0) {
  process.exit(2)
}
deployment.finish(broken.length > 0, `REFUSED: ${broken.length} of ${requests.length} requests were answered with a promise and have run; ${answered} were answered 200`)
