import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as eventsource from 'eventsource-parser'
import * as undici from 'undici'
import * as engines from '../../standins/engine.js'
import * as engineText from '../../standins/engine_text.js'
import * as clients from '../support/standin_client.js'

interface Streamed {
  readonly text: string
  readonly ids: readonly string[]
  readonly last: any
}

/** Parses a whole stream of server-sent events. */
function parseStream (body: string): Streamed {
  let text = ''
  const ids: string[] = []
  let last: any
  const parser = eventsource.createParser({
    onEvent: event => {
      if (event.data === '[DONE]') {
        return
      }
      last = JSON.parse(event.data)
      if (event.id !== undefined) {
        text += last.choices[0].text
        ids.push(event.id)
      }
    }
  })
  parser.feed(body)
  return { text, ids, last }
}

function getText (prompt: string, count: number): string {
  return engineText.createText(engineText.getDigest(prompt), count)
}

test.describe('Engine stand-in', () => {
  const opened: engines.Engine[] = []

  async function open (options: object = {}, faults: object = {}): Promise<string> {
    const engine = new engines.Engine({ timeScale: 20, ...options, faults: { exportTtlMs: 1e6, ...faults } })
    opened.push(engine)
    return `http://127.0.0.1:${await engine.listen('127.0.0.1', 0)}`
  }

  test.afterEach(async () => {
    for (const engine of opened.splice(0)) {
      await engine.close()
    }
  })

  const complete = (url: string, id: string, body: object = {}): Promise<clients.Reply> => {
    const whole = { model: 'model', prompt: 'hello world', max_tokens: 5, ...body }
    return clients.post(`${url}/v1/completions`, whole, { 'x-request-id': id })
  }
  const getState = async (url: string): Promise<any> => (await clients.get(`${url}/_state`)).json
  const prefill = async (url: string, id: string, prompt: string): Promise<any> => {
    const reply = await complete(url, id, { prompt, max_tokens: 1, kv_transfer_params: { do_remote_decode: true } })
    return reply.json.kv_transfer_params
  }

  test.describe('completions', () => {
    test.it('answer whole and streamed with the same text', async () => {
      const url = await open()
      const whole = await complete(url, 'whole')
      assert.equal(whole.json.choices[0].text, getText('hello world', 5))
      assert.equal(whole.json.usage.prompt_tokens, 3)
      const streamed = parseStream((await complete(url, 'streamed', { stream: true })).text)
      assert.equal(streamed.text, getText('hello world', 5))
      assert.deepEqual(streamed.ids, ['0', '1', '2', '3', '4'])
      assert.equal(streamed.last.usage.completion_tokens, 5)
    })

    test.it('resume from a token on, also after the end', async () => {
      const url = await open()
      await complete(url, 'r')
      const rest = parseStream((await clients.get(`${url}/v1/completions/r?offset=3`)).text)
      assert.deepEqual(rest.ids, ['3', '4'])
      assert.equal(getText('hello world', 3) + rest.text, getText('hello world', 5))
      assert.equal((await clients.get(`${url}/v1/completions/other`)).status, 404)
    })

    test.it('are cancelled by their identifier', async () => {
      const url = await open()
      const response = await undici.request(`${url}/v1/completions`, {
        method: 'POST',
        headers: { 'x-request-id': 'c' },
        body: JSON.stringify({ model: 'model', prompt: 'x', max_tokens: 10_000, stream: true })
      })
      const reply = await clients.send('DELETE', `${url}/v1/completions/c`)
      assert.deepEqual(reply.json, { id: 'c', cancelled: true, phase: 'cancelled' })
      assert.match(await response.body.text(), /"code":"cancelled"/)
      assert.equal((await getState(url)).memory.used, 0)
    })

    test.it('end before a stop string, wherever it lies', async () => {
      const url = await open()
      const text = getText('hello world', 5)
      const stop = text.slice(16, 21)
      const whole = await complete(url, 'whole', { stop })
      const before = text.slice(0, text.indexOf(stop))
      assert.deepEqual([whole.json.choices[0].text, whole.json.choices[0].finish_reason], [before, 'stop'])
      assert.equal(parseStream((await complete(url, 'streamed', { stop: [stop], stream: true })).text).text, before)
    })

    test.it('are refused when malformed, of an unknown model, or too long', async () => {
      const url = await open()
      assert.equal((await complete(url, 'a', { max_tokens: 'many' })).status, 400)
      assert.equal((await complete(url, 'b', { model: 'other' })).status, 404)
      assert.equal((await complete(url, 'c', { max_tokens: 1e6 })).status, 400)
    })
  })

  test.describe('hand-over', () => {
    test.it('moves a KV cache from prefill to decode', async () => {
      const prefillUrl = await open({ role: 'prefill' })
      const decodeUrl = await open({ role: 'decode' })
      const params = await prefill(prefillUrl, 'p', 'hello world')
      assert.equal((await getState(prefillUrl)).memory.used, 1)
      const answer = await complete(decodeUrl, 'd', { kv_transfer_params: params })
      assert.equal(answer.json.choices[0].text, getText('hello world', 5))
      assert.equal((await getState(prefillUrl)).memory.used, 0)
      assert.equal((await getState(prefillUrl)).counts.takenTokens, 3)
      assert.equal((await getState(decodeUrl)).counts.importedDecodedTokens, 3)
    })

    test.it('fails clearly when the KV cache is gone, of another life or of another prompt', async () => {
      const prefillUrl = await open()
      const decodeUrl = await open()
      const params = await prefill(prefillUrl, 'p', 'hello world')
      const other = await complete(decodeUrl, 'other', { prompt: 'another', kv_transfer_params: params })
      assert.match(other.json.error.message, /another prompt/)
      const life = await complete(decodeUrl, 'life', { kv_transfer_params: { ...params, remote_engine_id: 'x' } })
      assert.deepEqual([life.status, life.json.error.code], [409, 'kv_cache_missing'])
      await clients.send('DELETE', `${prefillUrl}/v1/completions/p`)
      assert.equal((await complete(decodeUrl, 'gone', { kv_transfer_params: params })).status, 409)
      const state = await getState(decodeUrl)
      assert.deepEqual([state.memory.used, state.counts.missingKvCaches], [0, 3])
    })

    test.it('fails when the transfer stalls, and frees the memory', async () => {
      const prefillUrl = await open({}, { stallTransfers: true })
      const decodeUrl = await open({}, { transferTimeoutMs: 200 })
      const params = await prefill(prefillUrl, 'p', 'hello world')
      assert.equal((await complete(decodeUrl, 'd', { kv_transfer_params: params })).status, 409)
      assert.equal((await getState(decodeUrl)).memory.used, 0)
    })
  })

  test.describe('what it has seen', () => {
    test.it('counts starts by request and remembers header values', async () => {
      const url = await open()
      await complete(url, 'twice')
      await complete(url, 'twice')
      await clients.send('GET', `${url}/health`, undefined, { authorization: 'Bearer leaked' })
      const state = await getState(url)
      assert.equal(state.requests.twice.started, 2)
      assert.deepEqual(state.headers.authorization, ['Bearer leaked'])
    })

    test.it('publishes load and cache events', async () => {
      const url = await open({ pieceTokens: 2 }, { metricsLagMs: 0, eventDelayMs: 0 })
      await complete(url, 'a')
      assert.match((await clients.get(`${url}/metrics`)).text, /vllm:num_requests_running\{model_name="model"\} 0/)
      const { events } = (await clients.get(`${url}/v1/cache_events?since=0`)).json
      assert.deepEqual([events[0].kind, events[0].hashes.length], ['stored', 1])
    })
  })

  test.describe('orders', () => {
    const order = (url: string, fence: number): Promise<clients.Reply> => {
      return clients.post(`${url}/v1/orders`, { kind: 'change_role', fence, role: 'prefill' })
    }

    test.it('with an old fencing number are refused if the engine checks it', async () => {
      const url = await open({}, { checksFencing: true })
      assert.equal((await order(url, 7)).status, 200)
      assert.equal((await order(url, 6)).status, 409)
    })

    test.it('go before requests that carry an older fencing number', async () => {
      const url = await open({}, { checksFencing: true })
      await order(url, 7)
      const body = { model: 'model', prompt: 'x', max_tokens: 1, kv_transfer_params: { do_remote_decode: true } }
      const send = (fence: string): Promise<clients.Reply> => {
        return clients.post(`${url}/v1/completions`, body, { 'x-fencing-number': fence })
      }
      assert.deepEqual([(await send('6')).status, (await send('7')).status], [409, 200])
    })

    test.it('with an old fencing number are obeyed and counted if it does not', async () => {
      const url = await open()
      await order(url, 7)
      assert.equal((await order(url, 6)).status, 200)
      assert.equal((await getState(url)).orders.outdatedApplied, 1)
    })
  })

  test.describe('faults', () => {
    const setFaults = (url: string, faults: object): Promise<clients.Reply> => clients.post(`${url}/_faults`, faults)

    test.it('fail the next requests, without or after a start', async () => {
      const url = await open({}, { failNext: 1 })
      assert.equal((await complete(url, 'a')).status, 500)
      assert.equal((await getState(url)).requests.a, undefined)
      await setFaults(url, { breakNext: 1, breakAfterTokens: 2 })
      const broken = await complete(url, 'b', { stream: true })
      assert.match(broken.text, /"code":"engine_failure"/)
      assert.equal((await complete(url, 'c')).status, 200)
    })

    test.it('freeze answers until they are lifted', async () => {
      const url = await open({}, { freezeAnswers: true })
      let isAnswered = false
      const pending = complete(url, 'f').finally(() => {
        isAnswered = true
      })
      const finished = async (): Promise<boolean> => (await getState(url)).requests.f?.finished === 1
      while (!await finished());
      await getState(url)
      assert.equal(isAnswered, false)
      await setFaults(url, { freezeAnswers: false })
      assert.equal((await pending).json.choices[0].text, getText('hello world', 5))
    })
  })
})
