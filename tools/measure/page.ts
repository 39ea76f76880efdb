/**
 * The tables of docs/MEASUREMENTS.md, from the runs' summaries. What stands above the marker is left as it is.
 */
import * as figures from './figures.js'
import * as scenarios from './scenario.js'
import * as settings from '../../src/contracts/settings.js'
import * as summaries from './summary.js'

type Summary = summaries.Summary

export const marker = '<!-- What follows is written by `npm run measure -- --write FILE`. -->'

/** Seeds that each row should have. */
const wantedSeeds = 3

interface Column {
  readonly heading: string
  readonly get: (summary: Summary) => number
  readonly digits: number
}

const columns: readonly Column[] = [
  { heading: 'goodput (1/s)', get: summary => summary.goodput, digits: 1 },
  { heading: 'of those inside the rate', get: summary => summary.goodShare, digits: 3 },
  { heading: 'wasted prefill', get: summary => summary.wastedShare, digits: 4 },
  { heading: 'worst-served', get: summary => summary.worstShare, digits: 2 },
  { heading: 'refused inside the rate', get: summary => summary.refusedInside, digits: 0 },
  { heading: 'of them for the rate', get: countRateRefusals, digits: 0 },
  { heading: 'overshoot (tokens)', get: summary => summary.overshootTokens, digits: 0 },
  { heading: 'store calls (1/s)', get: summary => summary.storeCallsPerSecond, digits: 1 },
  { heading: 'first token p50 (ms)', get: summary => summary.firstTokenMs.p50, digits: 0 },
  { heading: 'p95', get: summary => summary.firstTokenMs.p95, digits: 0 },
  { heading: 'between tokens p50 (ms)', get: summary => summary.betweenTokensMs.p50, digits: 1 },
  { heading: 'p95', get: summary => summary.betweenTokensMs.p95, digits: 1 },
  { heading: 'broken', get: summary => summary.broken, digits: 0 },
  { heading: 'wrong or doubled', get: summary => summary.wrong + summary.callsDoubled, digits: 0 },
  { heading: 'pieces held', get: summary => summary.heldPieces, digits: 0 },
  { heading: 'load average', get: summary => summary.loadAverage, digits: 0 }
]

/** Returns the page with new tables below the marker. */
export function rewritePage (page: string, results: readonly Summary[]): string {
  const end = page.indexOf(marker)
  const head = end < 0 ? page : page.slice(0, end)
  return `${head.trimEnd()}\n\n${marker}\n\n${formatTables(results)}\n\n${formatMissing(results)}\n`
}

function formatTables (results: readonly Summary[]): string {
  const parts: string[] = []
  for (const deployment of new Set(results.map(summary => summary.deployment))) {
    for (const { name, title } of scenarios.scenarios) {
      const own = results.filter(summary => summary.deployment === deployment && summary.scenario === name)
      if (own.length > 0) {
        parts.push(`### ${deployment}, ${name}: ${title}\n\n${formatTable(own)}`)
      }
    }
  }
  return parts.join('\n\n')
}

function formatTable (results: readonly Summary[]): string {
  const rows = [['policy', 'seeds', ...columns.map(column => column.heading)]]
  rows.push(rows[0]?.map(() => '---') ?? [])
  for (const policy of settings.PolicyName.options) {
    const own = results.filter(summary => summary.policy === policy)
    if (own.length > 0) {
      rows.push([policy, formatSeeds(own), ...columns.map(column => formatCell(column, own))])
    }
  }
  return rows.map(row => `| ${row.join(' | ')} |`).join('\n')
}

function formatSeeds (results: readonly Summary[]): string {
  return results.map(summary => summary.seed).sort((first, second) => first - second).join(', ')
}

/** Shows the mean, with least and largest where they differ. */
function formatCell ({ get, digits }: Column, results: readonly Summary[]): string {
  const { mean, least, largest } = figures.getSpread(results.map(get))
  const [low, high] = [least.toFixed(digits), largest.toFixed(digits)]
  return low === high ? low : `${mean.toFixed(digits)} (${low} to ${high})`
}

function countRateRefusals (summary: Summary): number {
  return summary.refusedInsideByCode['allowance_exhausted'] ?? 0
}

function formatMissing (results: readonly Summary[]): string {
  const missing: string[] = []
  for (const deployment of ['nairobi', 'gdansk']) {
    for (const { name } of scenarios.scenarios) {
      for (const policy of settings.PolicyName.options) {
        const seeds = new Set(results
          .filter(each => each.deployment === deployment && each.scenario === name && each.policy === policy)
          .map(each => each.seed))
        if (seeds.size < wantedSeeds) {
          missing.push(`- ${deployment}, ${name}, ${policy}: ${seeds.size} of ${wantedSeeds} seeds`)
        }
      }
    }
  }
  return `### Not run\n\n${missing.length === 0 ? 'Nothing.' : missing.join('\n')}`
}
