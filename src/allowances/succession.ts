/**
 * State of this process as a standby: its promises to the leaseholders of the shards, and the low-water marks and the
 * local quota that they have sent. Low-water marks are `floors` and local quotas are shares on the wire.
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
  /** Highest term whose holder has reported that it has stopped. */
  releasedTerm: number
  /** This process promised not to take the shard over before this time. */
  untilMs: number
  /** Term of the holder that the last promise was given to. */
  promisedTerm: number
  /** Until then the holder of an earlier term may still use the local quota of this process. */
  earlierUntilMs: number
  floors: HeldFloors | undefined
  /** When the last use of the local quota ended; low-water marks announced before are rejected. */
  usedUntilMs: number
  share: Share | undefined
  /** Local quotas of records up to this revision are given up. */
  forgoneRevision: number
}

interface Share {
  readonly term: number
  readonly untilMs: number
}

interface HeldFloors {
  readonly term: number
  sequence: number
  readonly tokens: Map<string, number>
}

export class Succession {
  private readonly shards = new Map<number, ShardPromises>()

  /**
   * An earlier process of this VM may have given promises until shortly before `startedMs`, which this process keeps
   * as well.
   */
  constructor (
    private readonly boot: string,
    private readonly startedMs: number,
    private readonly timing: timings.KeeperTiming
  ) {}

  /** Records a term that was read from the store. */
  noteTerm (shard: number, term: number): void {
    const promises = this.getShard(shard)
    promises.term = Math.max(promises.term, term)
  }

  /**
   * Answers a request of a holder. `mayPromise` is false while this process holds the shard or tries to take it over.
   */
  answer (request: PromiseRequest, nowMs: number, mayPromise: boolean): PromiseAnswer {
    const promises = this.getShard(request.shard)
    if (request.term < promises.term || !this.isMeant(request)) {
      return { promised: false, term: promises.term, boot: this.boot, sequence: 0, atMs: nowMs, free: false, forgone: false }
    }
    promises.term = request.term
    const isFree = mayPromise && this.isUnlent(promises, request.term, nowMs)
    const answer = { term: promises.term, boot: this.boot, atMs: nowMs, forgone: false, free: false }
    if (request.forgo) {
      forgo(promises, request.revision)
      return { ...answer, promised: false, sequence: 0, forgone: isFree }
    }
    const sequence = applyFloors(promises, request)
    if (request.released) {
      release(promises, request.term)
      return { ...answer, sequence, promised: true }
    }
    if (!mayPromise || request.term <= promises.releasedTerm) {
      return { ...answer, sequence, promised: false }
    }
    this.promise(promises, request, nowMs)
    return { ...answer, sequence, promised: true, free: isFree }
  }

  /** Whether a request would have an effect. */
  isCurrent (request: PromiseRequest): boolean {
    return request.term >= this.getShard(request.shard).term && this.isMeant(request)
  }

  /** Returns the time since which this process may use its local quota; `undefined` if it must not use it now. */
  getShareFromMs (shard: number, nowMs: number): number | undefined {
    const promises = this.getShard(shard)
    const share = promises.share
    const isValid = share !== undefined && share.term === promises.term && share.term > promises.releasedTerm
    const fromMs = this.getPromisedUntilMs(shard)
    return isValid && nowMs >= fromMs && nowMs < share.untilMs ? fromMs : undefined
  }

  /** Returns what is known of the buckets of the current term. */
  getKnownFloors (shard: number): keepers.Inheritance {
    return this.getInheritance(shard, this.getShard(shard).term)
  }

  /** Drops the low-water marks, since part of the tokens below them has been used until now. */
  dropFloors (shard: number, nowMs: number): void {
    const promises = this.getShard(shard)
    promises.floors = undefined
    promises.usedUntilMs = nowMs
  }

  /** Whether the holder of a term has reported that it has stopped. */
  isReleased (shard: number, term: number): boolean {
    return term <= this.getShard(shard).releasedTerm
  }

  private promise (promises: ShardPromises, request: PromiseRequest, nowMs: number): void {
    const untilMs = nowMs + timings.getOutwaitMs(request.forMs, this.timing)
    promises.untilMs = Math.max(promises.untilMs, untilMs)
    promises.promisedTerm = request.term
    if (request.toBoot === this.boot && request.shareMs > 0 && request.revision > promises.forgoneRevision) {
      const shareUntilMs = request.echoMs + timings.getBelievedMs(request.shareMs, this.timing)
      promises.share = { term: request.term, untilMs: shareUntilMs }
    }
  }

  /** Whether no holder of an earlier term may still use the local quota of this process. */
  private isUnlent (promises: ShardPromises, term: number, nowMs: number): boolean {
    if (term > promises.promisedTerm) {
      promises.earlierUntilMs = Math.max(promises.earlierUntilMs, promises.untilMs)
    }
    const inheritedMs = this.startedMs + timings.getOutwaitMs(this.timing.promiseMs, this.timing)
    return nowMs >= Math.max(promises.earlierUntilMs, inheritedMs)
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
    return { floors: new Map(floors.tokens), isComplete: true, part: 1 }
  }

  private isMeant (request: PromiseRequest): boolean {
    return request.toBoot === undefined || request.toBoot === this.boot
  }

  private getShard (shard: number): ShardPromises {
    const known = this.shards.get(shard)
    if (known !== undefined) {
      return known
    }
    const fresh = createPromises()
    this.shards.set(shard, fresh)
    return fresh
  }
}

function createPromises (): ShardPromises {
  return {
    term: 0,
    releasedTerm: 0,
    untilMs: 0,
    promisedTerm: 0,
    earlierUntilMs: 0,
    floors: undefined,
    usedUntilMs: Number.NEGATIVE_INFINITY,
    share: undefined,
    forgoneRevision: 0
  }
}

/** Applies an announcement if its base is held. Returns the number of the announcement that is held afterwards. */
function applyFloors (promises: ShardPromises, request: PromiseRequest): number {
  const held = promises.floors?.term === request.term ? promises.floors : undefined
  const sequence = held?.sequence ?? 0
  if (request.sequence <= sequence || request.base > sequence || request.echoMs < promises.usedUntilMs) {
    return sequence
  }
  const tokens = request.base === 0 ? new Map<string, number>() : held?.tokens ?? new Map<string, number>()
  for (const floor of request.floors) {
    tokens.set(floor.workspace, floor.tokens)
  }
  promises.floors = { term: request.term, sequence: request.sequence, tokens }
  return request.sequence
}

function forgo (promises: ShardPromises, revision: number): void {
  promises.forgoneRevision = Math.max(promises.forgoneRevision, revision)
  promises.share = undefined
}

function release (promises: ShardPromises, term: number): void {
  promises.releasedTerm = Math.max(promises.releasedTerm, term)
  if (promises.promisedTerm <= term) {
    promises.untilMs = 0
  }
}
