import * as test from 'node:test'
import * as trials from './daemon_trial.js'

const filler = Buffer.alloc(65_536, 'a')
const none = { piece: filler, totalBytes: 0 }
const connections = 300
const headConnections = 400
const descriptors = 200
const ample = { bodyTimeoutMs: 60_000 }
const headers = trials.createHead('Content-Length: 0', '/notices', '', 'GET')
const piece = Buffer.from(headers.repeat(Math.floor(65_536 / headers.length)))
const answerBytes = 2_000_000
const delayMs = 20_000

test.describe('Memory of an entry for connections', () => {
  // Guards against keeping what the parser has read of a head for every connection.
  trials.runTrial('whose heads do not end', async trial => {
    await trial.send({ head: 'GET /notices HTTP/1.1\r\nHost: desk.example\r\nX-Long: ', piece: filler, totalBytes: 120_000 }, headConnections)
  }, { limits: { ...ample, headerBytes: 131_072 } })

  // Guards against connections without a bound, each with a descriptor and a parser.
  trials.runTrial('on which nothing is sent', async trial => {
    await trial.send({ head: '', ...none }, connections)
  }, { limits: { ...ample, descriptors } })

  // Guards against connections that take all descriptors while their bodies are on their way.
  trials.runTrial('whose small bodies stop short', async trial => {
    await trial.send({ head: trials.createHead('Content-Length: 60000'), piece: filler, totalBytes: 59_999 }, connections)
  }, { limits: { ...ample, descriptors } })

  // Guards against requests that are kept without bound behind one that has no answer yet.
  trials.runTrial('with requests without end behind one without an answer', async trial => {
    await trial.setDelay(delayMs)
    await trial.send({ head: headers, piece, totalBytes: Infinity })
    await trial.setDelay(0)
  })

  // Guards against requests that are kept without bound behind one whose answer nobody reads.
  trials.runTrial('with requests without end and answers that nobody reads', async trial => {
    await trial.send({ head: headers, piece, totalBytes: Infinity, isReading: false })
  }, { limits: { stalledCallerMs: 60_000 } })

  // Guards against holding an answer for every caller that does not read.
  trials.runTrial('with answers of 2 MB that nobody reads', async trial => {
    await trial.callAsOrdinary({ text: 'a'.repeat(answerBytes) })
    await trial.send({ head: headers, ...none, isReading: false })
  }, { limits: { stalledCallerMs: 60_000 } })
})
