import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as crowds from '../../platform/tests/memory/crowd.js'
import * as trials from './daemon_trial.js'

const filler = Buffer.alloc(65_536, 'a')
const shortBytes = trials.bodyBytes - 65_536
const chunks = crowds.createChunks(32_768)
const chunkedBytes = Math.floor(shortBytes / 32_768) * chunks.length / Math.floor(chunks.length / 32_768)
const tinyChunks = crowds.createChunks(1)
const tinyLimitBytes = 524_288
const wireBytesPerByte = 6
const delayMs = 20_000
const wholeBytes = 4_190_000
const chunked = 'Transfer-Encoding: chunked'
const targets = [
  { name: 'a plain route', path: '/bookings', key: undefined },
  { name: 'completions', path: '/v1/completions', key: undefined },
  { name: 'an unknown key', path: '/bookings', key: 'no-key' },
  { name: 'no route', path: '/nowhere', key: undefined }
]

test.describe('Memory of an entry for bodies', () => {
  // Guards against buffering a body whose announced length the limit forbids.
  trials.runTrial('of which 1 GB is announced', async trial => {
    await trial.send({ head: trials.createHead('Content-Length: 1073741824'), piece: filler, totalBytes: trials.bodyBytes })
  })

  // Guards against reading a refused body for as long as its caller sends.
  trials.runTrial('in chunks without end', async trial => {
    await trial.send({ head: trials.createHead(chunked), piece: crowds.createChunks(65_000), totalBytes: Infinity })
  })

  // Guards against holding as many bodies as there are connections.
  trials.runTrial('with a length that stop short of it', async trial => {
    await trial.send({ head: trials.createHead(`Content-Length: ${trials.bodyBytes}`), piece: filler, totalBytes: shortBytes })
  })

  // Guards against passing on as many bodies at once as there are connections, in the entry and in the agent.
  trials.runTrial('that are whole, for a slow server', async trial => {
    await trial.setDelay(delayMs)
    await trial.send({ head: trials.createHead(`Content-Length: ${trials.bodyBytes}`), piece: filler, totalBytes: trials.bodyBytes })
    await trial.setDelay(0)
  })

  // Guards against a bound that refuses what the documented limits allow.
  trials.runTrial('of 4 MB, from a single caller', async trial => {
    assert.equal(await trial.callAsOrdinary({ text: 'a'.repeat(wholeBytes) }), 201)
  })

  for (const { name, path, key } of targets) {
    // Guards against holding as many bodies as there are connections, also for callers that the head alone refuses.
    trials.runTrial(`in large chunks that stop short, to ${name}`, async trial => {
      await trial.send({ head: trials.createHead(chunked, path, key), piece: chunks, totalBytes: chunkedBytes })
    })

    // Guards against a memory of a chunk that is a hundred times its size.
    trials.runTrial(`in chunks of one byte that stop short, to ${name}`, async trial => {
      await trial.send({ head: trials.createHead(chunked, path, key), piece: tinyChunks, totalBytes: (tinyLimitBytes - 1) * wireBytesPerByte })
    }, { limits: { bodyBytes: tinyLimitBytes } })
  }
})
