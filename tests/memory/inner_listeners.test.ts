import * as test from 'node:test'
import * as crowds from '../../platform/tests/memory/crowd.js'
import * as trials from './daemon_trial.js'

const filler = Buffer.alloc(65_536, 'a')
const tinyChunks = crowds.createChunks(1)
const connections = 300
const descriptors = 200
const ample = { bodyTimeoutMs: 60_000 }
const messageBytes = 16 * 1_048_576
const chunked = 'POST /healthz HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n'

/** Opens a WebSocket connection and begins a message of 16 MB without waiting for the answer. */
const upgrade = 'GET / HTTP/1.1\r\nHost: e\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n' +
  'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n'
const messageStart = '\x82\xff\x00\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x00'

test.describe('Memory of the inner listeners', () => {
  const listeners = [
    { name: 'administration', getPort: (trial: trials.DaemonTrial) => trial.administrationPort },
    { name: 'an agent\'s probes', getPort: (trial: trials.DaemonTrial) => trial.agentHealthPort },
    { name: 'the links of an entry', getPort: (trial: trials.DaemonTrial) => trial.entryControlPort },
    { name: 'the links of an agent', getPort: (trial: trials.DaemonTrial) => trial.agentControlPort }
  ]
  for (const { name, getPort } of listeners) {
    // Guards against connections that take all descriptors.
    trials.runTrial(`for connections to ${name} on which nothing is sent`, async trial => {
      await trial.send({ head: '', piece: filler, totalBytes: 0 }, connections, getPort(trial))
    }, { limits: { ...ample, descriptors } })

    // Guards against bodies that nobody asked for.
    trials.runTrial(`for bodies to ${name} in chunks of one byte`, async trial => {
      await trial.send({ head: chunked, piece: tinyChunks, totalBytes: 3_000_000 }, trials.crowdSize, getPort(trial))
    })
  }

  // Guards against bodies that are read before their caller is known.
  trials.runTrial('for changes that stop short, without a credential', async trial => {
    const head = `POST /admin/v1/changes HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer nobody\r\nContent-Length: ${trials.bodyBytes}\r\n\r\n`
    await trial.send({ head, piece: filler, totalBytes: trials.bodyBytes - 65_536 }, trials.crowdSize, trial.administrationPort)
  })

  // Guards against messages that are held before the other end has proved the deployment's credential.
  trials.runTrial('for messages of 16 MB to an agent that stop short, without a session', async trial => {
    await trial.send({ head: upgrade + messageStart, piece: filler, totalBytes: messageBytes - 65_536 }, trials.crowdSize, trial.agentControlPort)
  })
})
