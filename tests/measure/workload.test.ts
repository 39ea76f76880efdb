import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as deployments from '../../tools/measure/deployment.js'
import * as workloads from '../../tools/measure/workload.js'

const deployment = deployments.deployments[0] as deployments.Deployment
const options = { deployment, seed: 7, seconds: 20, requestsPerSecond: 30, factors: {} }

function count (workload: workloads.Workload, tenant: string): number {
  return workload.arrivals.filter(arrival => arrival.tenant === tenant).length
}

test.describe('Workload', () => {
  test.it('is the same for the same seed, and another for another', () => {
    const workload = workloads.createWorkload(options)
    assert.deepEqual(workloads.createWorkload(options), workload)
    assert.notDeepEqual(workloads.createWorkload({ ...options, seed: 8 }), workload)
  })

  test.it('arrives in order within the run, near the rate, with more from a flooding workspace', () => {
    const { arrivals } = workloads.createWorkload(options)
    const times = arrivals.map(arrival => arrival.atMs)
    assert.deepEqual(times, [...times].sort((first, second) => first - second))
    assert.ok((times.at(-1) as number) < 20_000)
    assert.ok(arrivals.length > 500 && arrivals.length < 700, `${arrivals.length}`)
    const flooded = workloads.createWorkload({ ...options, factors: { cedar: 5 } })
    assert.ok(count(flooded, 'cedar') > 3 * count(workloads.createWorkload(options), 'cedar'))
  })

  test.it('makes prompts of the exact length that share their workspace\'s prefix', () => {
    const { mix } = deployment
    const arrivals = workloads.createWorkload(options).arrivals
      .filter(arrival => arrival.tenant === 'amber' && arrival.prefix === 1)
    const prompts = arrivals.map(arrival => workloads.createPrompt(arrival, mix))
    const prefixes = new Set(prompts.map(prompt => prompt.slice(0, (mix.prefixTokens[1] as number) * 4)))
    assert.equal(prefixes.size, 1)
    assert.equal(new Set(prompts).size, prompts.length)
    assert.deepEqual(prompts.map(prompt => prompt.length), arrivals.map(arrival => arrival.promptTokens * 4))
  })
})
