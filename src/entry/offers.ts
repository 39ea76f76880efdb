/**
 * Requests offers from several servers in parallel and selects the cheapest (power of two choices). The other
 * answers still update the cluster view, and their reservations are released.
 */
import * as failures from '../contracts/failure.js'
import * as links from '../links/types.js'
import * as planner from './planner.js'
import * as servers from './servers.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** A server that has offered to take a task. */
export interface ServerOffer {
  readonly name: string
  readonly candidate: planner.Candidate
  readonly link: links.Link
  readonly answer: work.OfferAnswer
  /** Time from the request of the offer until the server is expected to have capacity for the task, in milliseconds. */
  readonly readyInMs: number
  /** Monotonic time until which the capacity is reserved, in milliseconds. */
  readonly reservedUntilMs: number
}

/** How long to wait for the second answer after the first has arrived, in milliseconds. */
const secondAnswerTimeoutMs = 20

/** Retry time for callers when no server could be reached, in milliseconds. */
const noServerRetryAfterMs = 1000

export class Offers {
  constructor (
    private readonly context: types.EntryContext,
    private readonly servers: servers.Servers
  ) {}

  /**
   * Requests offers from the candidates and returns the one with the lowest cost; `getCost` returns milliseconds.
   * Fails with a refusal of the agents or with `no_server`; the verdict is always `not_run`.
   */
  async choose (
    candidates: readonly planner.Candidate[],
    offer: work.Offer,
    getCost: (offered: ServerOffer) => number
  ): Promise<failures.Result<ServerOffer>> {
    const round = new OfferRound(this.context, this.servers, offer, getCost)
    return await round.run(candidates)
  }

  /** Releases the reservation of an offer, if it has one. */
  release (offered: ServerOffer): void {
    release(offered, this.context.timing.callTimeoutMs)
  }
}

class OfferRound {
  private readonly offers: ServerOffer[] = []
  private readonly refusals: failures.Failure[] = []
  /** Candidates whose call was sent but not answered. */
  private readonly unanswered: planner.Candidate[] = []
  private isOver = false
  private finishWaiting: () => void = () => {}
  private pendingCount = 0

  constructor (
    private readonly context: types.EntryContext,
    private readonly servers: servers.Servers,
    private readonly offer: work.Offer,
    private readonly getCost: (offered: ServerOffer) => number
  ) {}

  /**
   * Repeats unanswered calls once if there is no offer at all: connections that broke while idle have been
   * replaced by then.
   */
  async run (candidates: readonly planner.Candidate[]): Promise<failures.Result<ServerOffer>> {
    await this.requestAll(candidates)
    if (this.offers.length === 0) {
      await this.requestAll(this.unanswered.splice(0))
    }
    this.isOver = true
    return this.selectBest()
  }

  private async requestAll (candidates: readonly planner.Candidate[]): Promise<void> {
    this.pendingCount = candidates.length
    if (candidates.length > 0) {
      await new Promise<void>(resolve => {
        this.finishWaiting = resolve
        for (const candidate of candidates) {
          this.requestOffer(candidate)
        }
      })
    }
  }

  private async requestOffer (candidate: planner.Candidate): Promise<void> {
    const link = this.servers.getLink(candidate.server)
    const { expectedInMs, holdMs = 0 } = this.offer
    const requestedAtMs = this.context.system.clock.monotonicMs()
    const answer = await link.call('work.offer', this.offer, this.context.timing.callTimeoutMs)
    answer.caseOf({
      Left: failure => this.handleRefusal(candidate, failure),
      Right: found => {
        const readyInMs = expectedInMs + found.waitMs
        const reservedUntilMs = requestedAtMs + readyInMs + holdMs
        this.handleAnswer({ name: candidate.name, candidate, link, answer: found, readyInMs, reservedUntilMs })
      }
    })
    this.pendingCount -= 1
    if (this.pendingCount === 0) {
      this.finishWaiting()
    } else if (answer.isRight()) {
      this.context.system.clock.after(secondAnswerTimeoutMs, this.finishWaiting)
    }
  }

  private handleAnswer (offered: ServerOffer): void {
    const { clusterView } = this.servers
    const { answer, name } = offered
    clusterView.recordLoad(name, answer.load, this.context.system.clock.monotonicMs())
    clusterView.recordAnswer(name)
    if (this.offer.kind === 'prefill') {
      this.correctPrefixes(name, answer.cachedTokens)
    }
    if (this.isOver) {
      release(offered, this.context.timing.callTimeoutMs)
      return
    }
    this.offers.push(offered)
  }

  private correctPrefixes (name: string, cachedTokens: number): void {
    const { prefixes } = this.offer
    const pieceTokens = this.context.configuration.getModel(this.offer.model)?.pieceTokens ?? 1024
    this.servers.clusterView.correctPrefixes(name, prefixes, Math.floor(cachedTokens / pieceTokens))
  }

  private handleRefusal (candidate: planner.Candidate, failure: failures.Failure): void {
    this.refusals.push(failure)
    if (failure.verdict === 'may_have_run') {
      this.unanswered.push(candidate)
    }
    if (failure.code === 'server_leaving') {
      this.servers.clusterView.recordLeaving(candidate.name, this.context.system.clock.monotonicMs())
      return
    }
    if (failure.verdict !== 'not_run' || failure.code === 'link_lost') {
      this.servers.clusterView.recordFailure(candidate.name, this.context.system.clock.monotonicMs())
    }
  }

  private selectBest (): failures.Result<ServerOffer> {
    const [best, ...others] = this.offers.sort((first, second) => this.getCost(first) - this.getCost(second))
    for (const other of others) {
      release(other, this.context.timing.callTimeoutMs)
    }
    if (best !== undefined) {
      return failures.succeed(best)
    }
    return failures.fail(this.createRefusal())
  }

  /** Returns the refusal with the shortest retry time. */
  private createRefusal (): failures.Failure {
    let soonest: failures.Failure | undefined
    for (const refusal of this.refusals) {
      if (refusal.retryAfterMs === undefined) {
        continue
      }
      if (soonest?.retryAfterMs === undefined || refusal.retryAfterMs < soonest.retryAfterMs) {
        soonest = refusal
      }
    }
    return soonest === undefined
      ? createNoServerFailure(this.offer.model)
      : failures.withVerdict(soonest, 'not_run')
  }
}

/** Returns the failure for a task that no server can take. Nothing has run. */
export function createNoServerFailure (subject: string): failures.Failure {
  return failures.createFailure('not_run', 'no_server', [subject], noServerRetryAfterMs)
}

function release (offered: ServerOffer, timeoutMs: number): void {
  if (offered.answer.reservation !== undefined) {
    offered.link.call('work.release', { reservation: offered.answer.reservation }, timeoutMs)
  }
}
