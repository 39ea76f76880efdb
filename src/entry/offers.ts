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
export interface Offered {
  readonly name: string
  readonly candidate: planner.Candidate
  readonly link: links.Link
  readonly answer: work.OfferAnswer
  /** Time from the request of the offer until the server is expected to have capacity for the task, in milliseconds. */
  readonly readyInMs: number
  /** Monotonic time until which the capacity is reserved, in milliseconds. */
  readonly keptUntilMs: number
}

/** How long to wait for the second answer after the first has arrived, in milliseconds. */
const secondAnswerMs = 20

/** Retry time for callers when no server could be reached, in milliseconds. */
const noServerRetryMs = 1000

export class Offers {
  constructor (
    private readonly surroundings: types.Surroundings,
    private readonly servers: servers.Servers
  ) {}

  /**
   * Requests offers from the candidates and returns the one with the lowest cost; `getCost` returns milliseconds.
   * Fails with a refusal of the agents or with `no_server`; the verdict is always `not_run`.
   */
  async choose (
    candidates: readonly planner.Candidate[],
    offer: work.Offer,
    getCost: (offered: Offered) => number
  ): Promise<failures.Result<Offered>> {
    const round = new Round(this.surroundings, this.servers, offer, getCost)
    return await round.run(candidates)
  }

  /** Releases the reservation of an offer, if it has one. */
  release (offered: Offered): void {
    release(offered, this.surroundings.timing.callTimeoutMs)
  }
}

class Round {
  private readonly offered: Offered[] = []
  private readonly refusals: failures.Failure[] = []
  /** Candidates whose call was sent but not answered. */
  private readonly unanswered: planner.Candidate[] = []
  private isOver = false
  private settle: () => void = () => {}
  private waiting = 0

  constructor (
    private readonly surroundings: types.Surroundings,
    private readonly servers: servers.Servers,
    private readonly offer: work.Offer,
    private readonly getCost: (offered: Offered) => number
  ) {}

  /**
   * Repeats unanswered calls once if there is no offer at all: connections that broke while idle have been
   * replaced by then.
   */
  async run (candidates: readonly planner.Candidate[]): Promise<failures.Result<Offered>> {
    await this.askAll(candidates)
    if (this.offered.length === 0) {
      await this.askAll(this.unanswered.splice(0))
    }
    this.isOver = true
    return this.takeBest()
  }

  private async askAll (candidates: readonly planner.Candidate[]): Promise<void> {
    this.waiting = candidates.length
    if (candidates.length > 0) {
      await new Promise<void>(resolve => {
        this.settle = resolve
        for (const candidate of candidates) {
          this.ask(candidate)
        }
      })
    }
  }

  private async ask (candidate: planner.Candidate): Promise<void> {
    const link = this.servers.getLink(candidate.server)
    const { expectedInMs, holdMs = 0 } = this.offer
    const askedAtMs = this.surroundings.system.clock.monotonicMs()
    const answer = await link.call('work.offer', this.offer, this.surroundings.timing.callTimeoutMs)
    answer.caseOf({
      Left: failure => this.refused(candidate, failure),
      Right: found => {
        const readyInMs = expectedInMs + found.waitMs
        const keptUntilMs = askedAtMs + readyInMs + holdMs
        this.answered({ name: candidate.name, candidate, link, answer: found, readyInMs, keptUntilMs })
      }
    })
    this.waiting -= 1
    if (this.waiting === 0) {
      this.settle()
    } else if (answer.isRight()) {
      this.surroundings.system.clock.after(secondAnswerMs, this.settle)
    }
  }

  private answered (offered: Offered): void {
    const { picture } = this.servers
    const { answer, name } = offered
    picture.noteLoad(name, answer.load, this.surroundings.system.clock.monotonicMs())
    picture.noteAnswered(name)
    if (this.offer.kind === 'prefill') {
      this.correctPrefixes(name, answer.cachedTokens)
    }
    if (this.isOver) {
      release(offered, this.surroundings.timing.callTimeoutMs)
      return
    }
    this.offered.push(offered)
  }

  private correctPrefixes (name: string, cachedTokens: number): void {
    const { prefixes } = this.offer
    const pieceTokens = this.surroundings.configuration.getModel(this.offer.model)?.pieceTokens ?? 1024
    this.servers.picture.correctPrefixes(name, prefixes, Math.floor(cachedTokens / pieceTokens))
  }

  private refused (candidate: planner.Candidate, failure: failures.Failure): void {
    this.refusals.push(failure)
    if (failure.verdict === 'may_have_run') {
      this.unanswered.push(candidate)
    }
    if (failure.code === 'server_leaving') {
      this.servers.picture.noteLeaving(candidate.name, this.surroundings.system.clock.monotonicMs())
      return
    }
    if (failure.verdict !== 'not_run' || failure.code === 'link_lost') {
      this.servers.picture.noteFailure(candidate.name, this.surroundings.system.clock.monotonicMs())
    }
  }

  private takeBest (): failures.Result<Offered> {
    const [best, ...others] = this.offered.sort((first, second) => this.getCost(first) - this.getCost(second))
    for (const other of others) {
      release(other, this.surroundings.timing.callTimeoutMs)
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
      ? createNoServer(this.offer.model)
      : failures.withVerdict(soonest, 'not_run')
  }
}

/** Returns the failure for a task that no server can take. Nothing has run. */
export function createNoServer (subject: string): failures.Failure {
  return failures.createFailure('not_run', 'no_server', [subject], noServerRetryMs)
}

function release (offered: Offered, timeoutMs: number): void {
  if (offered.answer.reservation !== undefined) {
    offered.link.call('work.release', { reservation: offered.answer.reservation }, timeoutMs)
  }
}
