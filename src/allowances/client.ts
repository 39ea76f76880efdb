/**
 * Charges requests to the allowances of their workspaces: sends each charge and its settlement to the leaseholder of
 * the workspace's shard, in this process or another. A leaseholder is called `keeper` on the wire.
 */
import * as chargeAnswers from './charge_answer.js'
import * as targetSelectors from './target_selector.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as leaseholderHosts from './leaseholder_host.js'
import * as links from '../links/types.js'
import * as meters from '../metrics/types.js'
import * as placement from './placement.js'
import * as records from './record.js'
import * as recorders from '../timeline/types.js'
import * as timeouts from './timeout.js'
import * as timings from './timing.js'
import * as types from './types.js'

/** Attempts to deliver a settlement; if all fail, the charge counts with its full bound. */
const maxSettlementAttempts = 3

/** Dependencies of the client. */
export interface ClientContext {
  readonly leaseholderHost: leaseholderHosts.LeaseholderHost
  readonly links: links.LinkPool
  readonly clock: host.Clock
  readonly recorder: recorders.Recorder
  readonly meter: meters.Meter
  readonly timing: timings.LeaseTiming
}

interface Reply {
  readonly answer: chargeAnswers.ChargeAnswer
  /** The process that answered; `undefined` for this process. */
  readonly from: records.Member | undefined
}

export class FleetAllowances extends types.Allowances {
  private readonly targets = new targetSelectors.TargetSelector()

  constructor (private readonly context: ClientContext) {
    super()
  }

  override async charge (charge: types.Charge): Promise<failures.Result<types.Grant>> {
    const { clock, timing, recorder } = this.context
    const startMs = clock.monotonicMs()
    recorder.record({ kind: 'grant.requested', workspace: charge.workspace, details: { tokens: charge.tokens } })
    const result = await this.chargeUntil(charge, startMs + timing.chargeTimeoutMs)
    const kind = result.isRight() ? 'grant.given' : 'grant.refused'
    recorder.record({ kind, workspace: charge.workspace, details: { tokens: charge.tokens } })
    this.context.meter.observe('allowance_charge_ms', {}, clock.monotonicMs() - startMs)
    return result
  }

  private async chargeUntil (charge: types.Charge, deadlineMs: number): Promise<failures.Result<types.Grant>> {
    const { clock, timing } = this.context
    for (;;) {
      const reply = await this.sendCharge(charge)
      const outcome = reply === undefined ? undefined : this.getOutcome(charge, reply)
      if (outcome !== undefined) {
        return outcome
      }
      const pauseMs = Math.max(reply?.answer.retryAfterMs ?? 0, timing.retryMs)
      if (clock.monotonicMs() + pauseMs >= deadlineMs) {
        this.settle(charge, 0)
        return failures.fail(createUnavailableFailure(charge, timing.leaseTtlMs))
      }
      await clock.sleep(pauseMs)
    }
  }

  /** Sends the charge once, to the leaseholder or a standby. Returns `undefined` if no answer arrived while a grant would be valid. */
  private async sendCharge (charge: types.Charge): Promise<Reply | undefined> {
    const { leaseholderHost, clock, timing } = this.context
    const shard = this.getShard(charge.workspace)
    if (shard === undefined) {
      return undefined
    }
    const request = { charge: charge.id, workspace: charge.workspace, shard, tokens: charge.tokens }
    if (leaseholderHost.isDecider(shard)) {
      return { answer: leaseholderHost.answerCharge(request), from: undefined }
    }
    const members = leaseholderHost.listDeciders(shard)
    const from = this.targets.choose(shard, members)
    if (from === undefined) {
      return undefined
    }
    const sentMs = clock.monotonicMs()
    const call = this.context.links.get(from.address).call('allowance.charge', request, timing.grantTtlMs)
    const result = await timeouts.awaitWithTimeout(call, timing.grantTtlMs, clock)
    const isLate = clock.monotonicMs() - sentMs >= timing.grantTtlMs
    const answer = isLate ? undefined : result?.caseOf({ Left: () => undefined, Right: value => value })
    if (answer === undefined) {
      this.targets.skip(shard, members)
      return undefined
    }
    this.recordAnswer(shard, answer)
    return { answer, from }
  }

  private recordAnswer (shard: number, answer: chargeAnswers.ChargeAnswer): void {
    if (answer.keeper !== undefined) {
      this.context.leaseholderHost.recordLeaseholder(shard, answer.term, answer.keeper)
    }
    if (answer.reason === 'not_keeper' || answer.reason === 'not_yet') {
      this.targets.reset(shard)
    }
  }

  /** Returns the final outcome that an answer gives, or `undefined` if the charge must be retried. */
  private getOutcome (charge: types.Charge, reply: Reply): failures.Result<types.Grant> | undefined {
    const { answer, from } = reply
    if (answer.granted) {
      return failures.succeed(this.createGrant(charge, from))
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
        return failures.fail(createUnavailableFailure(charge, 0))
      default:
        return undefined
    }
  }

  private createGrant (charge: types.Charge, from: records.Member | undefined): types.Grant {
    let isSettled = false
    return {
      charge,
      settle: usedTokens => {
        if (isSettled) {
          return
        }
        isSettled = true
        this.context.recorder.record({ kind: 'grant.settled', workspace: charge.workspace, details: { usedTokens } })
        this.settle(charge, usedTokens, from)
      }
    }
  }

  /**
   * Sends a settlement until it is delivered or the attempts are used up; then the full bound of the charge counts. The
   * leaseholder may have changed since the charge. A charge to a local quota is settled only by the process that granted it.
   */
  private async settle (charge: types.Charge, usedTokens: number, from?: records.Member): Promise<void> {
    const { clock, timing, meter } = this.context
    for (let attempt = 0; attempt < maxSettlementAttempts; attempt += 1) {
      if (await this.trySettle(charge, usedTokens, from)) {
        return
      }
      await clock.sleep(timing.renewMs)
    }
    meter.count('allowance_settlements_lost_total', {})
  }

  private async trySettle (charge: types.Charge, usedTokens: number, from?: records.Member): Promise<boolean> {
    const { leaseholderHost, timing, clock } = this.context
    const shard = this.getShard(charge.workspace)
    if (shard === undefined) {
      return false
    }
    const settlement = { charge: charge.id, workspace: charge.workspace, shard, usedTokens }
    if (leaseholderHost.isDecider(shard)) {
      leaseholderHost.answerSettlement(settlement)
      return true
    }
    const leaseholder = leaseholderHost.findLeaseholder(shard)
    const isFromStandby = leaseholderHost.listDeciders(shard).slice(1).some(member => member.node === from?.node)
    const to = isFromStandby ? from : leaseholder
    return to !== undefined && await this.sendSettlement(to, settlement, clock, timing)
  }

  private async sendSettlement (
    recipient: records.Member, settlement: leaseholderHosts.Settlement, clock: host.Clock, timing: timings.LeaseTiming
  ): Promise<boolean> {
    const call = this.context.links.get(recipient.address).call('allowance.settle', settlement, timing.grantTtlMs)
    const result = await timeouts.awaitWithTimeout(call, timing.grantTtlMs, clock)
    return result?.isRight() ?? false
  }

  private getShard (workspace: string): number | undefined {
    const count = this.context.leaseholderHost.shardCount
    return count === 0 ? undefined : placement.getShard(workspace, count)
  }
}

function createUnavailableFailure (charge: types.Charge, retryAfterMs: number): failures.Failure {
  return failures.createFailure('not_run', 'keeper_unavailable', [charge.workspace], retryAfterMs)
}
