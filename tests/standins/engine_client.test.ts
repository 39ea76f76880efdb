import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as agentTypes from '../../src/agent/types.js'
import * as backends from '../../src/agent/backend.js'
import * as cuts from '../../tools/cut.js'
import * as engines from '../../standins/engine.js'
import * as engineText from '../../standins/engine_text.js'
import * as failures from '../../src/contracts/failure.js'
import * as httpEngines from '../../src/agent/http_engine.js'
import * as realClocks from '../../standins/real_clock.js'
import * as work from '../../src/contracts/work.js'
import * as clients from '../support/standin_client.js'

const prompt = 'the tide turns at noon'
const outputTokens = 40
const generation: work.Generation = { model: 'model', prompt, promptTokens: 6, maximumTokens: outputTokens }

/** Collects what the client reports of one order. */
class Report extends backends.BackendObserver {
  text = ''
  failure: failures.Failure | undefined
  private settle: (completion: agentTypes.Completion | undefined) => void = () => {}
  readonly ended = new Promise<agentTypes.Completion | undefined>(resolve => {
    this.settle = resolve
  })

  /** `progressed` runs at each part of the output. */
  constructor (private readonly progressed: () => void = () => {}) {
    super()
  }

  override progress (_order: number, text: string): void {
    this.text += text
    this.progressed()
  }

  override finished (_order: number, completion: agentTypes.Completion): void {
    this.settle(completion)
  }

  override failed (_order: number, failure: failures.Failure): void {
    this.failure = failure
    this.settle(undefined)
  }
}

test.describe('The agent\'s client and the engine stand-in', () => {
  const closing: (() => Promise<unknown>)[] = []
  let lastOrder = 0

  async function open (): Promise<string> {
    const engine = new engines.Engine({ timeScale: 5, faults: { exportTtlMs: 1e6 } })
    closing.push(() => engine.close())
    return `http://127.0.0.1:${await engine.listen('127.0.0.1', 0)}`
  }

  function connect (url: string): httpEngines.HttpEngine {
    const options = { server: 's', url, connectTimeoutMs: 5_000, silenceMs: 5_000, answerTimeoutMs: 5_000 }
    const client = new httpEngines.HttpEngine(options, new realClocks.RealClock())
    closing.push(() => client.close())
    return client
  }

  function createOrder (task: work.Task): agentTypes.Order {
    lastOrder += 1
    return { order: lastOrder, fence: 1, id: { request: 'r', attempt: `a${lastOrder}` }, workspace: 'w', task }
  }

  test.afterEach(async () => {
    for (const close of closing.splice(0).reverse()) {
      await close()
    }
  })

  const expected = engineText.createText(engineText.getDigest(prompt), outputTokens)

  test.it('hand a KV cache over and deliver the whole text', async () => {
    const prefilled = new Report()
    connect(await open()).launch(createOrder({ kind: 'prefill', generation }), prefilled)
    const transfer = (await prefilled.ended)?.transfer as work.TransferHandle
    const decodeClient = connect(await open())
    const decoded = new Report()
    decodeClient.launch(createOrder({ kind: 'decode', generation, transfer }), decoded)
    const completion = await decoded.ended
    assert.deepEqual([decoded.text, completion?.reason, completion?.usage?.outputTokens], [expected, 'length', outputTokens])
    const again = new Report()
    decodeClient.launch(createOrder({ kind: 'decode', generation, transfer }), again)
    await again.ended
    assert.deepEqual([again.failure?.code, again.failure?.verdict], ['transfer_failed', 'not_run'])
  })

  test.it('go on with a stream whose connection was reset', async () => {
    const url = new URL(await open())
    const cut = new cuts.Cut({ host: url.hostname, port: Number(url.port) })
    closing.push(() => cut.close())
    const client = connect(`http://127.0.0.1:${await cut.listen('127.0.0.1', 0)}`)
    let isReset = false
    const report = new Report(() => {
      if (!isReset) {
        isReset = true
        cut.resetOpen()
      }
    })
    client.launch(createOrder({ kind: 'decode', generation }), report)
    await report.ended
    assert.deepEqual([isReset, report.text], [true, expected])
    assert.equal((await clients.get(`${url.href}_state`)).json.requests[`r.a${lastOrder}`].started, 1)
  })

  test.it('agree on an abort, the load and the changes of the prefix cache', async () => {
    const url = await open()
    const client = connect(url)
    const order = createOrder({ kind: 'decode', generation: { ...generation, maximumTokens: 10_000 } })
    let noteStart: () => void = () => {}
    const started = new Promise<void>(resolve => {
      noteStart = resolve
    })
    const report = new Report(noteStart)
    client.launch(order, report)
    await Promise.race([started, report.ended])
    assert.equal(await client.abort(order), true)
    assert.equal((await clients.get(`${url}/_state`)).json.memory.used, 0)
    assert.equal((await client.readLoad()).isRight(), true)
    assert.equal((await client.readCacheChanges(0)).isRight(), true)
    assert.equal((await client.sendCommand({ kind: 'change_role', role: 'decode' }, 1)).isRight(), true)
  })
})
