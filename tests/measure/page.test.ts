import * as assert from 'node:assert/strict'
import * as test from 'node:test'
import * as deployments from '../../tools/measure/deployment.js'
import * as pages from '../../tools/measure/page.js'
import * as summaries from '../../tools/measure/summary.js'
import * as workloads from '../../tools/measure/workload.js'

const deployment = deployments.deployments[0] as deployments.Deployment
const engines = {
  prefilledTokens: 200, decodedTokens: 150, generatedTokens: 0, preemptions: 0, recomputedTokens: 0, missingKvCaches: 0, heldPieces: 0
}

function summarize (seed: number): summaries.Summary {
  const allowances = new Map(deployment.tenants.map(tenant => [tenant.name, { rate: 1000, burst: 500 }]))
  const conditions = { deployment, scenario: 'steady', policy: 'mulberryflow', seed, seconds: 10, requestsPerSecond: 1, allowances }
  const create = (number: number, tenant: string, end: 'whole' | 'refused', firstTokenMs: number): summaries.Observed['outcomes'][number] => {
    const arrival: workloads.Arrival = { number, atMs: number, tenant, promptTokens: 90, outputTokens: 10, prefix: undefined }
    return {
      arrival, request: '', end, code: end === 'refused' ? 'no_server' : '', firstTokenMs, betweenTokensMs: 20, sentAtMs: number, endMs: 0, outputTokens: 10
    }
  }
  return summaries.summarize(conditions, {
    outcomes: [create(1, 'amber', 'whole', 100), create(2, 'amber', 'whole', 1901), create(3, 'birch', 'refused', 0)],
    calls: [{ call: { number: 1, atMs: 0, tenant: 'amber' }, status: 201 }, { call: { number: 2, atMs: 0, tenant: 'amber' }, status: 0 }],
    engines,
    store: { reads: 10, writes: 10, peakPerSecond: 4 },
    serviceRuns: new Map([[2, 2]]),
    loadAverage: 1
  })
}

test.describe('Summary', () => {
  test.it('counts what met both targets, what was refused inside the rate, and plain calls', () => {
    const { goodput, wastedShare, refusedInside, refusedInsideByCode, worstTenant, callsLost, callsFailed, callsDoubled } = summarize(1)
    assert.deepEqual([goodput, wastedShare, refusedInside], [0.1, 0.25, 1])
    assert.deepEqual([refusedInsideByCode, worstTenant], [{ no_server: 1 }, 'birch'])
    assert.deepEqual([callsLost, callsFailed, callsDoubled], [1, 1, 1])
  })
})

test.describe('Page', () => {
  test.it('keeps what stands above the marker and replaces the rest', () => {
    const once = pages.rewritePage('# Title\n', [summarize(1)])
    const again = pages.rewritePage(once, [summarize(1), summarize(2)])
    assert.ok(again.startsWith(`# Title\n\n${pages.marker}\n\n### nairobi, steady`))
    assert.equal(again.split(pages.marker).length, 2)
    assert.ok(again.includes('| mulberryflow | 1, 2 | 0.1 |'))
    assert.ok(again.includes('- nairobi, steady, mulberryflow: 2 of 3 seeds'))
  })
})
