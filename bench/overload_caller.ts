/**
 * A process of callers for the bench of overload: sends requests at their times, whatever became of those before.
 */
import * as streams from 'node:stream/promises'
import * as timers from 'node:timers/promises'
import * as undici from 'undici'
import * as contract from './support/overload_contract.js'

const tokens = 64
const refused = { isServed: false, firstTokenMs: 0, betweenTokensMs: 0 }
const agent = new undici.Agent({ connections: 2000, pipelining: 1 })

async function ask (target: contract.Target): Promise<contract.Outcome> {
  const startedMs = performance.now()
  const body = { model: 'model', prompt: 'A prompt of the benchmark', max_tokens: tokens, stream: true }
  const response = await undici.request(`${target.url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${target.key}`, 'content-type': 'application/json' },
    body: JSON.stringify(body),
    dispatcher: agent
  })
  if (response.statusCode !== 200) {
    await response.body.dump()
    return refused
  }
  let firstMs: number | undefined
  response.body.once('data', () => {
    firstMs = performance.now()
  })
  await streams.finished(response.body)
  const endedMs = performance.now()
  const firstTokenMs = (firstMs ?? endedMs) - startedMs
  return { isServed: firstMs !== undefined, firstTokenMs, betweenTokensMs: (endedMs - startedMs - firstTokenMs) / (tokens - 1) }
}

async function work (order: contract.Order): Promise<readonly contract.Outcome[]> {
  const results: Promise<contract.Outcome>[] = []
  const startedMs = performance.now()
  const count = order.requestsPerSecond * order.seconds
  for (let index = 0; index < count; index += 1) {
    const waitMs = startedMs + index * 1000 / order.requestsPerSecond - performance.now()
    if (waitMs > 0) {
      await timers.setTimeout(waitMs)
    }
    results.push(ask(order.target).catch(() => refused))
  }
  return await Promise.all(results)
}

process.once('message', async (order: contract.Order) => {
  const outcomes = await work(order)
  process.send?.(outcomes, () => process.exit(0))
})
