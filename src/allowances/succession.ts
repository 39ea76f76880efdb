/**
 * What a successor has promised to the keepers of its shards, and the floors they have announced to it.
 */
import * as keepers from './keeper.js'
import * as protocol from '../contracts/protocol.js'
import * as timings from './timing.js'
import * as z from 'zod'

export type PromiseRequest = z.infer<typeof protocol.KeeperPromiseRequest>
export type PromiseAnswer = z.infer<typeof protocol.KeeperPromise>

interface ShardPromises {
  /** Highest term known. */
  term: number
  /** Highest term whose holder has stopped. */
  releasedTerm: number
  /** The shard is not taken over before this time. */
  untilMs: number
  /** Term of the holder to whom the promise was given. */
  promisedTerm: number
  floors: HeldFloors | undefined
}

interface HeldFloors {
  readonly term: number
  sequence: number
  readonly tokens: Map<string, number>
}

export class Succession {
  private readonly shards = new Map<number, ShardPromises>()

  /**
   * An earlier process of this VM may have given promises until shortly before `startedMs`; this one keeps
   * them.
   */
  constructor (
    private readonly boot: string,
    private readonly startedMs: number,
    private readonly timing: timings.KeeperTiming
  ) {}

  /** Takes note of a term that was read from the store. */
  noteTerm (shard: number, term: number): void {
    const promises = this.getShard(shard)
    promises.term = Math.max(promises.term, term)
  }

  /**
   * Answers a holder's request. `mayPromise` is false while this process tries to take the shard over itself.
   */
  answer (request: PromiseRequest, nowMs: number, mayPromise: boolean): PromiseAnswer {
    const promises = this.getShard(request.shard)
    if (request.term < promises.term || !this.isMeant(request)) {
      return { promised: false, term: promises.term, boot: this.boot, sequence: 0 }
    }
    promises.term = request.term
    const answer = { term: promises.term, boot: this.boot, sequence: applyFloors(promises, request) }
    if (request.released) {
      release(promises, request.term)
      return { promised: true, ...answer }
    }
    if (!mayPromise || request.term <= promises.releasedTerm) {
      return { promised: false, ...answer }
    }
    const untilMs = nowMs + timings.getOutwaitMs(request.forMs, this.timing)
    promises.untilMs = Math.max(promises.untilMs, untilMs)
    promises.promisedTerm = request.term
    return { promised: true, ...answer }
  }

  /** Returns the time before which this process must not take the shard over. */
  getPromisedUntilMs (shard: number): number {
    const inheritedMs = this.startedMs + timings.getOutwaitMs(this.timing.promiseMs, this.timing)
    return Math.max(inheritedMs, this.shards.get(shard)?.untilMs ?? 0)
  }

  /** Returns what is known of the buckets of the term that has just ended. */
  getInheritance (shard: number, endedTerm: number): keepers.Inheritance {
    const floors = this.shards.get(shard)?.floors
    if (floors === undefined || floors.term !== endedTerm || floors.sequence === 0) {
      return keepers.emptyInheritance
    }
    return { floors: new Map(floors.tokens), isComplete: true }
  }

  private isMeant (request: PromiseRequest): boolean {
    return request.toBoot === undefined || request.toBoot === this.boot
  }

  private getShard (shard: number): ShardPromises {
    const known = this.shards.get(shard)
    if (known !== undefined) {
      return known
    }
    const fresh = { term: 0, releasedTerm: 0, untilMs: 0, promisedTerm: 0, floors: undefined }
    this.shards.set(shard, fresh)
    return fresh
  }
}

/** Applies an announcement if it follows on what is held. Returns the number of the announcement held then. */
function applyFloors (promises: ShardPromises, request: PromiseRequest): number {
  const held = promises.floors?.term === request.term ? promises.floors : undefined
  const sequence = held?.sequence ?? 0
  if (request.sequence <= sequence || request.base > sequence) {
    return sequence
  }
  const tokens = request.base === 0 ? new Map<string, number>() : held?.tokens ?? new Map<string, number>()
  for (const floor of request.floors) {
    tokens.set(floor.workspace, floor.tokens)
  }
  promises.floors = { term: request.term, sequence: request.sequence, tokens }
  return request.sequence
}

function release (promises: ShardPromises, term: number): void {
  promises.releasedTerm = Math.max(promises.releasedTerm, term)
  if (promises.promisedTerm <= term) {
    promises.untilMs = 0
  }
}
