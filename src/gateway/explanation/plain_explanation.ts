/**
 * Where a call of a plain service would go now, as `PlainExchange` chooses.
 */
import type * as choices from '../plain/server_choice.js'
import * as explanations from './explanation.js'
import * as failures from '../../contracts/failure.js'
import * as plainChoices from '../plain/plain_choice.js'
import * as plainExchanges from '../plain_exchange.js'
import * as probabilities from './probabilities.js'
import * as routing from '../../contracts/routing.js'
import * as targets from './target_explanation.js'

/** Scale of the random deviations below which nothing is drawn, in milliseconds: that of a gateway that is alone. */
const negligibleScaleMs = 1e-6
const nothingExcluded: ReadonlySet<string> = new Set()

export class PlainExplanation extends targets.TargetExplanation {
  override explain (): targets.TargetAnswer {
    const { guard, serverChoice } = this.context
    const { route, remainingMs } = this.request
    if (guard.hasEvidence) {
      this.notes.push('Calls that end servers are recognised by their bodies, which are not known here.')
    }
    const call = {
      servers: this.available,
      excluded: nothingExcluded,
      isRepeatable: route.kind === 'idempotent',
      goalMs: route.goalMs,
      remainingMs: remainingMs - plainExchanges.returnMarginMs
    }
    const choice = serverChoice.inspect(call, this.nowMs)
    const candidates = [...choice.by === 'load' ? this.listByLoad(choice) : this.listByTime(choice), ...this.listRuledOut()]
    return { outcome: this.findOutcome(choice, candidates), steps: [{ choice: 'call', by: choice.by, candidates }], notes: this.notes }
  }

  private findOutcome (choice: choices.InspectedChoice, candidates: readonly explanations.Candidate[]): explanations.Outcome {
    const { remainingMs, service } = this.request
    const chosen = targets.findLikeliest(candidates)
    if (remainingMs <= plainExchanges.returnMarginMs + plainExchanges.minimumSendMs) {
      return { kind: 'refused', refusal: this.createNoServerRefusal(plainExchanges.noServerRetryMs) }
    }
    if (choice.by === 'expected_time' && choice.ranked.late !== undefined) {
      const { answerMs } = choice.ranked.late.estimate
      const details = [service.name, Math.round(remainingMs), Math.round(answerMs)]
      return { kind: 'refused', refusal: targets.createRefusal(failures.createFailure('not_run', 'deadline_unreachable', details, choice.lateReturnMs)) }
    }
    // A server that does not answer is no substitute for one that takes the request a little later.
    const isLimited = this.available.length < this.ready.length
    if (chosen === undefined || (isLimited && this.context.health.isPaused(chosen.server, this.nowMs))) {
      return { kind: 'refused', refusal: isLimited ? this.createLimitRefusal() : this.createNoServerRefusal(plainExchanges.noServerRetryMs) }
    }
    return { kind: 'sent', server: chosen.server, probability: chosen.probability }
  }

  private listByLoad ({ rated }: choices.InspectedChoice & { readonly by: 'load' }): explanations.Candidate[] {
    const { health, serverChoice } = this.context
    const { candidates, scores } = rated
    const chances = probabilities.countChosen(candidates.length, unit => {
      const picked = plainChoices.pickServer(candidates, scores, unit)
      return picked === undefined ? -1 : candidates.indexOf(picked)
    })
    return candidates.map((server, index) => {
      const { ahead, reportAgeMs } = serverChoice.getQueue(server.id, this.nowMs)
      return this.createCandidate(server, this.listPauses(server), chances[index] ?? 0, {
        rating: scores[index], ahead, reportAgeMs, slots: server.slots, answerMs: health.getAnswerMs(server.id)
      })
    })
  }

  private listByTime ({ ranked, getScaleMs }: choices.InspectedChoice & { readonly by: 'expected_time' }): explanations.Candidate[] {
    const { candidates, eligible } = ranked
    const isDrawn = eligible.some(candidate => getScaleMs(candidate) > negligibleScaleMs)
    const chances = isDrawn
      ? probabilities.computeLeast(eligible.map(candidate => new probabilities.LogExponentialCost(candidate.costMs, getScaleMs(candidate))))
      : probabilities.selectLeast(eligible.map(({ costMs }) => costMs))
    const listed = candidates.map(candidate => {
      const { answerMs, distanceMs, measured, queue, server, slowness } = candidate.estimate
      const index = eligible.indexOf(candidate)
      return this.createCandidate(server, index < 0 ? ['other_zone'] : [], chances[index] ?? 0, {
        rating: candidate.costMs, ...queue, slots: server.slots, slowness, measured, expectedMs: answerMs, distanceMs
      })
    })
    const considered = new Set(candidates.map(({ estimate }) => estimate.server))
    const paused = this.available.filter(server => !considered.has(server))
    return [...listed, ...paused.map(server => this.createCandidate(server, ['paused'], 0, {}))]
  }

  private listPauses (server: routing.RoutedServer): readonly explanations.Rule[] {
    const { health } = this.context
    const isPaused = health.isPaused(server.id, this.nowMs)
    return isPaused && this.available.some(({ id }) => !health.isPaused(id, this.nowMs)) ? ['paused'] : []
  }
}
