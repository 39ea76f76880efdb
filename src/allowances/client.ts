/**
 * Charges requests at the keepers of their workspaces' shards, in this process or another.
 */
import * as chargeAnswers from './charge_answer.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as keeperHosts from './keeper_host.js'
import * as links from '../links/types.js'
import * as meters from '../metrics/types.js'
import * as placement from './placement.js'
import * as records from './record.js'
import * as recorders from '../timeline/types.js'
import * as timeouts from './timeout.js'
import * as timings from './timing.js'
import * as types from './types.js'

/** Times a settlement is sent, at most. */
const settlementAttempts = 3

/** What a client works with. */
export interface ClientContext {
  readonly keepers: keeperHosts.KeeperHost
  readonly links: links.LinkPool
  readonly clock: host.Clock
  readonly recorder: recorders.Recorder
  readonly meter: meters.Meter
  readonly timing: timings.KeeperTiming
}

export class FleetAllowances extends types.Allowances {
  constructor (private readonly context: ClientContext) {
    super()
  }

  override async charge (charge: types.Charge): Promise<failures.Result<types.Grant>> {
    const { clock, timing, recorder } = this.context
    const startMs = clock.monotonicMs()
    recorder.record({ kind: 'grant.requested', workspace: charge.workspace, details: { tokens: charge.tokens } })
    const result = await this.chargeUntil(charge, startMs + timing.chargeBoundMs)
    const kind = result.isRight() ? 'grant.given' : 'grant.refused'
    recorder.record({ kind, workspace: charge.workspace, details: { tokens: charge.tokens } })
    this.context.meter.observe('allowance_charge_ms', {}, clock.monotonicMs() - startMs)
    return result
  }

  private async chargeUntil (charge: types.Charge, deadlineMs: number): Promise<failures.Result<types.Grant>> {
    const { clock, timing } = this.context
    for (;;) {
      const answer = await this.ask(charge)
      const decided = answer === undefined ? undefined : this.conclude(charge, answer)
      if (decided !== undefined) {
        return decided
      }
      const pauseMs = Math.max(answer?.retryAfterMs ?? 0, timing.retryMs)
      if (clock.monotonicMs() + pauseMs >= deadlineMs) {
        this.settle(charge, 0)
        return failures.fail(createUnavailable(charge, timing.leaseTtlMs))
      }
      await clock.sleep(pauseMs)
    }
  }

  /** Asks the keeper once; `undefined` if no answer came in time to be valid. */
  private async ask (charge: types.Charge): Promise<chargeAnswers.ChargeAnswer | undefined> {
    const { keepers, clock, timing } = this.context
    const shard = this.getShard(charge.workspace)
    if (shard === undefined) {
      return undefined
    }
    const request = { charge: charge.id, workspace: charge.workspace, shard, tokens: charge.tokens }
    if (keepers.isKeeper(shard)) {
      return keepers.answerCharge(request)
    }
    const keeper = keepers.findKeeper(shard)
    if (keeper === undefined) {
      return undefined
    }
    const sentMs = clock.monotonicMs()
    const call = this.context.links.get(keeper.address).call('allowance.charge', request, timing.grantTtlMs)
    const result = await timeouts.limitCall(call, timing.grantTtlMs, clock)
    if (clock.monotonicMs() - sentMs >= timing.grantTtlMs) {
      return undefined
    }
    return result?.caseOf({ Left: () => undefined, Right: answer => this.noteAnswer(shard, answer) })
  }

  private noteAnswer (shard: number, answer: chargeAnswers.ChargeAnswer): chargeAnswers.ChargeAnswer {
    if (answer.keeper !== undefined) {
      this.context.keepers.noteKeeper(shard, answer.term, answer.keeper)
    }
    return answer
  }

  /** Returns the outcome that an answer decides, or `undefined` if the keeper must be asked again. */
  private conclude (charge: types.Charge, answer: chargeAnswers.ChargeAnswer): failures.Result<types.Grant> | undefined {
    if (answer.granted) {
      return failures.succeed(this.createGrant(charge))
    }
    const workspace = charge.workspace
    switch (answer.reason) {
      case 'exhausted':
        return failures.fail(
          failures.createFailure('not_run', 'allowance_exhausted', [workspace], answer.retryAfterMs))
      case 'exceeds_burst':
        return failures.fail(failures.createFailure(
          'not_run', 'request_exceeds_burst', [charge.tokens, workspace, answer.burstTokens ?? 0]))
      case 'settled':
        return failures.fail(createUnavailable(charge, 0))
      default:
        return undefined
    }
  }

  private createGrant (charge: types.Charge): types.Grant {
    let isSettled = false
    return {
      charge,
      settle: usedTokens => {
        if (isSettled) {
          return
        }
        isSettled = true
        this.context.recorder.record({ kind: 'grant.settled', workspace: charge.workspace, details: { usedTokens } })
        this.settle(charge, usedTokens)
      }
    }
  }

  /** Sends a settlement until a keeper has it, or a few times; the keeper counts the bound if none arrives. */
  private async settle (charge: types.Charge, usedTokens: number): Promise<void> {
    const { clock, timing, meter } = this.context
    for (let attempt = 0; attempt < settlementAttempts; attempt += 1) {
      if (await this.trySettle(charge, usedTokens)) {
        return
      }
      await clock.sleep(timing.renewMs)
    }
    meter.count('allowance_settlements_lost_total', {})
  }

  private async trySettle (charge: types.Charge, usedTokens: number): Promise<boolean> {
    const { keepers, timing, clock } = this.context
    const shard = this.getShard(charge.workspace)
    if (shard === undefined) {
      return false
    }
    const settlement = { charge: charge.id, workspace: charge.workspace, shard, usedTokens }
    if (keepers.isKeeper(shard)) {
      keepers.answerSettlement(settlement)
      return true
    }
    const keeper = keepers.findKeeper(shard)
    return keeper !== undefined && await this.sendSettlement(keeper, settlement, clock, timing)
  }

  private async sendSettlement (
    keeper: records.Member, settlement: keeperHosts.Settlement, clock: host.Clock, timing: timings.KeeperTiming
  ): Promise<boolean> {
    const call = this.context.links.get(keeper.address).call('allowance.settle', settlement, timing.grantTtlMs)
    const result = await timeouts.limitCall(call, timing.grantTtlMs, clock)
    return result?.isRight() ?? false
  }

  private getShard (workspace: string): number | undefined {
    const count = this.context.keepers.shardCount
    return count === 0 ? undefined : placement.getShard(workspace, count)
  }
}

function createUnavailable (charge: types.Charge, retryAfterMs: number): failures.Failure {
  return failures.createFailure('not_run', 'keeper_unavailable', [charge.workspace], retryAfterMs)
}
