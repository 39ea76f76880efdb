import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as clients from '../support/standin_client.js'
import * as engines from '../../standins/engine.js'
import * as engineText from '../../standins/engine_text.js'
import * as httpEngines from '../../src/agent/http_engine.js'
import * as http from 'node:http'
import * as nodeSystems from '../../src/host/node_system.js'
import * as observers from './backend_observer.js'
import * as scripted from './scripted_engine.js'
import * as work from '../../src/contracts/work.js'

const generation = { model: 'model', prompt: 'hello world', promptTokens: 3, maximumTokens: 6 }
const decode: work.Task = { kind: 'decode', generation }
const prefill: work.Task = { kind: 'prefill', generation }
const wholeText = engineText.createText(engineText.getDigest('hello world'), 6)

function createEngine (url: string, silenceMs = 5_000): httpEngines.HttpEngine {
  const options = { server: 's1', url, connectTimeoutMs: 1_000, silenceMs, answerTimeoutMs: 2_000 }
  return new httpEngines.HttpEngine(options, nodeSystems.createSilentSystem().clock)
}

test.describe('HttpEngine', () => {
  const closing: (() => Promise<void>)[] = []

  async function open (
    faults: object = {}, options: object = {}
  ): Promise<{ readonly engine: httpEngines.HttpEngine, readonly url: string }> {
    const standin = new engines.Engine({ timeScale: 20, ...options, faults: { exportTtlMs: 1e6, ...faults } })
    const url = `http://127.0.0.1:${await standin.listen('127.0.0.1', 0)}`
    const engine = createEngine(url)
    closing.push(() => engine.close(), () => standin.close())
    return { engine, url }
  }

  async function openScripted (
    steps: scripted.Step[]
  ): Promise<{ readonly engine: httpEngines.HttpEngine, readonly standin: scripted.ScriptedEngine }> {
    const standin = new scripted.ScriptedEngine(steps)
    const engine = createEngine(await standin.listen(), 100)
    closing.push(() => engine.close(), () => standin.close())
    return { engine, standin }
  }

  async function getState (url: string): Promise<any> {
    return (await clients.get(`${url}/_state`)).json
  }

  test.afterEach(async () => {
    for (const close of closing.splice(0)) {
      await close()
    }
  })

  test.describe('completions', () => {
    test.it('stream text, tokens and usage', async () => {
      const { engine } = await open()
      const observer = await observers.runOrder(engine, observers.createOrder(1, decode))
      assert.equal(observer.text, wholeText)
      assert.equal(observer.tokens, 6)
      assert.deepEqual(observer.completion, { reason: 'length', usage: { promptTokens: 3, outputTokens: 6, cachedTokens: 0 } })
    })

    test.it('transfer a KV cache from a prefill to a decode', async () => {
      const source = await open({}, { role: 'prefill' })
      const target = await open({}, { role: 'decode' })
      const prefilled = await observers.runOrder(source.engine, observers.createOrder(1, prefill))
      assert.equal(prefilled.completion?.reason, 'prefilled')
      assert.equal(prefilled.text, '')
      const transfer = prefilled.completion?.transfer ?? {}
      const decoded = await observers.runOrder(target.engine, observers.createOrder(2, { ...decode, transfer }))
      assert.equal(decoded.text, wholeText)
      assert.equal((await getState(target.url)).counts.importedTokens, 3)
    })

    test.it('are reported as not run when the KV cache is missing', async () => {
      const target = await open({}, { role: 'decode' })
      const transfer = {
        do_remote_prefill: true, remote_engine_id: 'x', remote_block_ids: [1], remote_host: '127.0.0.1', remote_port: new URL(target.url).port
      }
      const order = observers.createOrder(1, { ...decode, transfer: { ...transfer, remote_port: Number(transfer.remote_port) } })
      const { failure, released } = await observers.runOrder(target.engine, order)
      assert.deepEqual([failure?.code, failure?.verdict, released], ['transfer_failed', 'not_run', true])
    })

    test.it('resume without loss or repetition when the stream breaks or stalls', async () => {
      const { engine, standin } = await openScripted([
        response => {
          scripted.writeTokens(response, ['a', 'b'])
          setImmediate(() => response.destroy())
        },
        response => scripted.writeTokens(response, ['c']),
        response => {
          scripted.writeTokens(response, ['d'])
          scripted.writeEnd(response)
        }
      ])
      const observer = await observers.runOrder(engine, observers.createOrder(1, decode))
      const path = '/v1/completions/r.a1'
      assert.deepEqual(standin.requests, ['POST /v1/completions', `GET ${path}?offset=2`, `GET ${path}?offset=3`])
      assert.deepEqual([observer.text, observer.tokens, observer.completion?.reason], ['abcd', 4, 'stop'])
    })

    test.it('decode characters that are split between two parts of the body', async () => {
      const observer = new observers.CollectingObserver()
      const { engine } = await openScripted([async response => {
        scripted.writeTokens(response, ['a'])
        const bytes = Buffer.from('data: {"choices":[{"text":"ż"}]}\n\n')
        const middle = bytes.indexOf(Buffer.from('ż')) + 1
        response.write(Buffer.concat([Buffer.from('data: {"choices":[{"text":"b"}]}\n\n'), bytes.subarray(0, middle)]))
        await observer.waitForTokens(2)
        response.write(bytes.subarray(middle))
        scripted.writeEnd(response)
      }])
      engine.launch(observers.createOrder(1, decode), observer)
      await observer.ended
      assert.equal(observer.text, 'abż')
    })

    test.it('are reported as not run when the engine refuses them, and as run when they fail after output', async () => {
      const { engine } = await open({ breakNext: 1, breakAfterTokens: 3 })
      const refused = await observers.runOrder(engine, observers.createOrder(1, { ...decode, generation: { ...generation, model: 'other' } }))
      assert.deepEqual([refused.failure?.verdict, refused.released], ['not_run', true])
      const broken = await observers.runOrder(engine, observers.createOrder(2, decode))
      assert.equal(broken.failure?.verdict, 'ran')
    })

    test.it('are reported as not run when the engine cannot be reached', async () => {
      const { engine } = await open()
      await closing[1]?.()
      const { failure, released } = await observers.runOrder(engine, observers.createOrder(1, decode))
      assert.deepEqual([failure?.verdict, released], ['not_run', true])
    })
  })

  test.describe('abort', () => {
    test.it('frees the memory of a running completion', async () => {
      const { engine, url } = await open({}, { stepMs: 1_000 })
      const observer = new observers.CollectingObserver()
      engine.launch(observers.createOrder(1, decode), observer)
      await observer.waitForTokens(1)
      assert.equal(await engine.abort(observers.createOrder(1, decode)), true)
      const { memory, running } = await getState(url)
      assert.deepEqual([memory.used, running], [0, 0])
      await observer.ended
    })

    test.it('frees the KV cache of a finished prefill', async () => {
      const { engine, url } = await open()
      await observers.runOrder(engine, observers.createOrder(1, prefill))
      assert.equal((await getState(url)).memory.used, 1)
      assert.equal(await engine.abort(observers.createOrder(1, prefill)), true)
      assert.equal((await getState(url)).memory.used, 0)
    })

    test.it('is not confirmed by a 404 while the request may still arrive', async () => {
      const isUnknown = (response: http.ServerResponse): void => { response.writeHead(404).end() }
      let arrived = (): void => {}
      const arrival = new Promise<void>(resolve => { arrived = resolve })
      const { engine } = await openScripted([() => arrived(), isUnknown, isUnknown])
      const observer = new observers.CollectingObserver()
      engine.launch(observers.createOrder(1, decode), observer)
      await arrival
      assert.equal(await engine.abort(observers.createOrder(1, decode)), false)
      await observer.ended
      assert.equal(await engine.abort(observers.createOrder(1, decode)), true)
    })
  })

  test.describe('reports', () => {
    test.it('include the load', async () => {
      const { engine } = await open({ metricsLagMs: 0 })
      assert.deepEqual((await engine.readLoad()).unsafeCoerce(), { running: 0, waiting: 0, memoryUsage: 0 })
    })

    test.it('include the changes of the prefix cache and flag gaps', async () => {
      const { engine } = await open({ eventDelayMs: 0, eventGapEvery: 2 }, { pieceTokens: 1, bytesPerToken: 4 })
      await observers.runOrder(engine, observers.createOrder(1, prefill))
      const report = (await engine.readCacheChanges(0)).unsafeCoerce()
      assert.deepEqual([report.last, report.hasGap, report.stored.length], [1, false, 2])
      for (const [index, prompt] of ['another prompt', 'a third prompt'].entries()) {
        await observers.runOrder(engine, observers.createOrder(index + 2, { ...prefill, generation: { ...generation, prompt } }))
      }
      const later = (await engine.readCacheChanges(1)).unsafeCoerce()
      assert.deepEqual([later.last, later.hasGap], [3, true])
    })
  })

  test.describe('commands', () => {
    test.it('with an older fencing token are refused by an engine that checks tokens', async () => {
      const { engine } = await open({ checksFencing: true })
      assert.equal((await engine.sendCommand({ kind: 'change_role', role: 'decode' }, 7)).isRight(), true)
      assert.equal((await engine.sendCommand({ kind: 'change_role', role: 'prefill' }, 6)).isLeft(), true)
    })
  })
})
