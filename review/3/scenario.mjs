/**
 * Bookings, and one server that once sends bytes that are no answer. The other requests must still be answered within their time-out.
 */
import * as path from 'node:path'
import * as url from 'node:url'
import * as clients from '../standins/client.mjs'
import * as deployments from '../standins/deployment.mjs'

const folder = path.dirname(url.fileURLToPath(import.meta.url))
const hasTrouble = process.env.TROUBLE !== '0'
const clientCount = 24
/** Longest pause of a client between two requests: the clients of a gateway send some 40 requests a second together. */
const longestPauseMs = 1_000
const warmUpMs = 4_000
const afterMs = 10_000
const deadlineMs = 1_500
const routeTimeoutMs = 800
const lateMs = 500
const probePeriodMs = 100
/** A status line whose status is spoiled: 000 is none. */
const spoiledAnswer = 'HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n'

const deployment = new deployments.Deployment(path.join(folder, 'record.txt'))
const { record } = deployment
const plain = { service: 'rider-app', workMs: 60 }
await deployment.start(3, { 'i-a1': plain, 'i-a2': plain, 'i-a3': plain })
const [gateway] = deployment.gateways
const [faulty] = deployment.servers
const requests = []
const phase = { isOver: false }

/** Sends bookings on a connection for as long as it is kept. Waits for each answer until the deadline. */
async function book (client) {
  let number = 0
  while (!phase.isOver) {
    const connection = new clients.Connection(gateway)
    let isKept = true
    while (isKept && !phase.isOver) {
      await deployments.pause(Math.random() * longestPauseMs)
      number += 1
      const id = `book-${client}-${number}`
      const sentMs = performance.now()
      record(`client sends ${id}`)
      const answer = await Promise.race([
        connection.send(clients.writeRequest(id, '/book/slot', { body: 'slot', deadlineMs })),
        deployments.pause(deadlineMs).then(() => undefined)
      ])
      const elapsedMs = performance.now() - sentMs
      record(`client gets ${answer?.status ?? 'no answer'} for ${id} after ${Math.round(elapsedMs)} ms`)
      requests.push({ id, elapsedMs, endedMs: performance.now(), status: answer?.status ?? 0 })
      isKept = answer?.isComplete === true && !/close/i.test(answer.headers.get('connection') ?? '')
    }
    connection.close()
  }
}

/** Asks whether the gateway is ready, as the platform does, and records how long it takes to answer. */
async function probe () {
  let longestMs = 0
  while (!phase.isOver) {
    const askedMs = performance.now()
    await gateway.probe()
    longestMs = Math.max(longestMs, performance.now() - askedMs)
    await deployments.pause(probePeriodMs)
  }
  return longestMs
}

const all = Array.from({ length: clientCount }, (_value, index) => book(index + 1))
const probed = probe()
await deployments.pause(warmUpMs)
if (hasTrouble) {
  faulty.spoiledAnswer = spoiledAnswer
}
await deployments.pause(afterMs)
phase.isOver = true
await Promise.all(all)
record(`the readiness probe of ${gateway.name} took up to ${Math.round(await probed)} ms`)

const overdue = requests.filter(({ elapsedMs }) => elapsedMs > routeTimeoutMs)
const late = overdue.filter(({ elapsedMs }) => elapsedMs > routeTimeoutMs + lateMs)
// Not part of the verdict: requests that were passed on although their clients had left (GONE).
const gone = requests.filter(({ id, endedMs, status }) => status === 0 && deployment.listRuns(id).some(({ atMs }) => atMs > endedMs + lateMs))
record(`${gone.length} requests began to run at a server later than ${lateMs} ms after their clients had left`)
const answered = requests.filter(({ status }) => status === 200).length
if (answered === 0) {
  process.exit(2)
}
// Eight or more, as the other rule on time-outs asks for, so that a single slow request proves nothing.
const isBroken = overdue.length >= 8 && late.length > overdue.length / 2
for (const { id, elapsedMs, status } of isBroken ? late : []) {
  record(`BROKEN: ${id} had ${status === 0 ? 'no answer' : `answer ${status}`} after ${Math.round(elapsedMs)} ms; the time-out of its route is ${routeTimeoutMs} ms`)
}
deployment.finish(isBroken, `CONFIG: of ${overdue.length} requests unanswered after ${routeTimeoutMs} ms, ${late.length} had no answer ${lateMs} ms later; ${answered} of ${requests.length} were answered 200`)
