/**
 * The text of an explanation for people.
 */
import type * as explanations from '../gateway/explanation/explanation.js'
import * as textTables from './text_table.js'

const choices: Readonly<Record<explanations.Step['choice'], string>> = { call: 'server', decode: 'decode server', prefill: 'prefill server' }
const rules: Readonly<Record<explanations.Step['by'], string>> = {
  load: 'load, the lowest rating first',
  expected_time: 'expected time, the lowest rating first',
  free_memory: 'free memory, the highest rating first',
  prefill_time: 'expected end of the prefill, the lowest rating first'
}
const waits: Readonly<Record<(explanations.Outcome & { readonly kind: 'waits' })['for'], string>> = {
  capacity: 'capacity at a decode server',
  requests_ahead: 'requests ahead of it at this gateway',
  more_urgent_elsewhere: 'more urgent requests at other gateways',
  trial_of_prompt: 'a trial of its prompt, parts of which have ended servers'
}

export function describeExplanation (explanation: explanations.Explanation): string {
  const { allowance, gateway, heardGateways, otherGateways, refusal, storeAgeMs, targets, version, zone } = explanation
  const lines = [
    `Gateway ${gateway} (zone ${zone}): configuration ${version ?? 'not read yet'}, store ${storeAgeMs === undefined ? 'never heard' : `heard ${Math.round(storeAgeMs)} ms ago`}, ` +
    `${heardGateways} of ${otherGateways} other gateways heard`,
    describeRequest(explanation.request)
  ]
  if (allowance !== undefined) {
    lines.push(`Allowance: ${allowance.needed} ${allowance.unit} needed, ${Math.floor(allowance.left)} left, ${allowance.perSecond} a second`)
  }
  if (refusal !== undefined) {
    lines.push(`Outcome: refused ${describeRefusal(refusal)}`)
  }
  for (const target of targets) {
    lines.push('', ...describeTarget(target))
  }
  return lines.join('\n')
}

function describeRequest ({ allowedRegions, expectedTokens, host, kind, method, outputTokens, path, priority, promptTokens, route, workspace }: explanations.Explanation['request']): string {
  const facts = [
    route === undefined ? undefined : `route ${route}${host === undefined ? '' : ` of ${host}`} (${kind ?? ''})`,
    workspace === undefined ? undefined : `workspace ${workspace}`,
    priority === undefined ? undefined : `priority ${priority}`,
    promptTokens === undefined ? undefined : `${promptTokens} prompt tokens`,
    outputTokens === undefined ? undefined : `at most ${outputTokens} output tokens`,
    expectedTokens === undefined ? undefined : `${expectedTokens} expected`,
    allowedRegions === undefined ? undefined : `only in ${allowedRegions.join(', ') || 'no region'}`
  ]
  const known = facts.filter(fact => fact !== undefined)
  return `Request ${method} ${path}${known.length === 0 ? '' : `: ${known.join(', ')}`}`
}

function describeTarget ({ notes, outcome, probability, service, steps }: explanations.Target): readonly string[] {
  const lines = [`Service ${service}${probability === 1 ? '' : ` (chosen with ${formatPart(probability)})`}`, `Outcome: ${describeOutcome(outcome)}`]
  for (const { by, candidates, choice, neededTokens } of steps) {
    lines.push('', `Choice of the ${choices[choice]} by ${rules[by]}${neededTokens === undefined ? '' : `; ${neededTokens} tokens needed`}`)
    lines.push(describeCandidates(candidates))
  }
  return notes.length === 0 ? lines : [...lines, '', ...notes.map(note => `Note: ${note}`)]
}

function describeOutcome (outcome: explanations.Outcome): string {
  switch (outcome.kind) {
    case 'refused':
      return `refused ${describeRefusal(outcome.refusal)}`
    case 'waits': {
      const expected = outcome.expectedMs === undefined ? 'for an unknown time' : `for about ${Math.round(outcome.expectedMs)} ms`
      return `waits ${expected} for ${waits[outcome.for]}; after ${Math.round(outcome.longestMs)} ms refused ${describeRefusal(outcome.refusal)}`
    }
    case 'sent': {
      const { prefill, probability, server } = outcome
      const readBy = prefill === undefined
        ? ''
        : prefill.by === 'decode_server' ? '; it reads the prompt itself' : `; the prompt is read at ${prefill.server} (${formatPart(prefill.probability)})`
      return `sent to ${server} (${formatPart(probability)})${readBy}`
    }
  }
}

function describeRefusal ({ code, message, retryAfterMs, retryAfterUpToMs, status }: explanations.Refusal): string {
  const until = retryAfterUpToMs === undefined || retryAfterUpToMs === retryAfterMs ? '' : ` to ${(retryAfterUpToMs / 1000).toFixed(3)}`
  const retry = retryAfterMs === undefined ? '' : `, Retry-After ${(retryAfterMs / 1000).toFixed(3)}${until} s`
  return `with status ${status} (${code})${retry}: ${message}`
}

function describeCandidates (candidates: readonly explanations.Candidate[]): string {
  const names = [...new Set(candidates.flatMap(({ figures }) => Object.keys(figures)))] as (keyof explanations.Figures)[]
  const hasRegions = candidates.some(({ region }) => region !== undefined)
  const headings = ['SERVER', 'ZONE', ...hasRegions ? ['REGION'] : [], 'CHANCE', 'RULED OUT BY', ...names]
  return textTables.formatTable(headings, candidates.map(({ figures, isOwnZone, probability, region, ruledOutBy, server, zone }) => [
    server, isOwnZone ? `${zone} (own)` : zone, ...hasRegions ? [region] : [], formatPart(probability), ruledOutBy.join(', '), ...names.map(name => figures[name])
  ]))
}

function formatPart (part: number): string {
  return `${Math.round(part * 1000) / 10} %`
}
