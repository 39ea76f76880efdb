/**
 * State of this process as a standby: its promises to the leaseholders of the shards, and the low-water marks and the
 * local quota that they have sent. Low-water marks are `floors` and local quotas are shares on the wire.
 */
import * as shardBuckets from './shard_buckets.js'
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
  earlierTermUntilMs: number
  marks: HeldMarks | undefined
  /** When the last use of the local quota ended; low-water marks announced before are rejected. */
  quotaEndedMs: number
  quota: LocalQuota | undefined
  /** Local quotas of records up to this revision are given up. */
  forgoneRevision: number
}

interface LocalQuota {
  readonly term: number
  readonly untilMs: number
}

interface HeldMarks {
  readonly term: number
  sequence: number
  readonly tokens: Map<string, number>
}

export class Standby {
  private readonly shards = new Map<number, ShardPromises>()

  /**
   * An earlier process of this VM may have given promises until shortly before `startedMs`, which this process keeps
   * as well.
   */
  constructor (
    private readonly boot: string,
    private readonly startedMs: number,
    private readonly timing: timings.LeaseTiming
  ) {}

  /** Records a term that was read from the store. */
  recordTerm (shard: number, term: number): void {
    const promises = this.getShard(shard)
    promises.term = Math.max(promises.term, term)
  }

  /**
   * Answers a request of a holder. `mayPromise` is false while this process holds the shard or tries to take it over.
   */
  answer (request: PromiseRequest, nowMs: number, mayPromise: boolean): PromiseAnswer {
    const promises = this.getShard(request.shard)
    if (request.term < promises.term || !this.isAddressed(request)) {
      return { promised: false, term: promises.term, boot: this.boot, sequence: 0, atMs: nowMs, free: false, forgone: false }
    }
    promises.term = request.term
    const isFree = mayPromise && this.isQuotaUnused(promises, request.term, nowMs)
    const answer = { term: promises.term, boot: this.boot, atMs: nowMs, forgone: false, free: false }
    if (request.forgo) {
      recordForgone(promises, request.revision)
      return { ...answer, promised: false, sequence: 0, forgone: isFree }
    }
    const sequence = applyMarks(promises, request)
    if (request.released) {
      recordRelease(promises, request.term)
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
    return request.term >= this.getShard(request.shard).term && this.isAddressed(request)
  }

  /** Returns the time since which this process may use its local quota; `undefined` if it must not use it now. */
  getQuotaStartMs (shard: number, nowMs: number): number | undefined {
    const promises = this.getShard(shard)
    const quota = promises.quota
    const isValid = quota !== undefined && quota.term === promises.term && quota.term > promises.releasedTerm
    const fromMs = this.getPromisedUntilMs(shard)
    return isValid && nowMs >= fromMs && nowMs < quota.untilMs ? fromMs : undefined
  }

  /** Returns what is known of the buckets of the current term. */
  getCurrentBalances (shard: number): shardBuckets.InitialBalances {
    return this.getInitialBalances(shard, this.getShard(shard).term)
  }

  /** Drops the low-water marks, since part of the tokens below them has been used until now. */
  dropLowWaterMarks (shard: number, nowMs: number): void {
    const promises = this.getShard(shard)
    promises.marks = undefined
    promises.quotaEndedMs = nowMs
  }

  /** Whether the holder of a term has reported that it has stopped. */
  isReleased (shard: number, term: number): boolean {
    return term <= this.getShard(shard).releasedTerm
  }

  private promise (promises: ShardPromises, request: PromiseRequest, nowMs: number): void {
    const untilMs = nowMs + timings.getExpiryWaitMs(request.forMs, this.timing)
    promises.untilMs = Math.max(promises.untilMs, untilMs)
    promises.promisedTerm = request.term
    if (request.toBoot === this.boot && request.shareMs > 0 && request.revision > promises.forgoneRevision) {
      const quotaUntilMs = request.echoMs + timings.getUsableMs(request.shareMs, this.timing)
      promises.quota = { term: request.term, untilMs: quotaUntilMs }
    }
  }

  /** Whether no holder of an earlier term may still use the local quota of this process. */
  private isQuotaUnused (promises: ShardPromises, term: number, nowMs: number): boolean {
    if (term > promises.promisedTerm) {
      promises.earlierTermUntilMs = Math.max(promises.earlierTermUntilMs, promises.untilMs)
    }
    const earlierPromiseUntilMs = this.startedMs + timings.getExpiryWaitMs(this.timing.promiseMs, this.timing)
    return nowMs >= Math.max(promises.earlierTermUntilMs, earlierPromiseUntilMs)
  }

  /** Returns the time before which this process must not take the shard over. */
  getPromisedUntilMs (shard: number): number {
    const earlierPromiseUntilMs = this.startedMs + timings.getExpiryWaitMs(this.timing.promiseMs, this.timing)
    return Math.max(earlierPromiseUntilMs, this.shards.get(shard)?.untilMs ?? 0)
  }

  /** Returns what is known of the buckets of the term that has just ended. */
  getInitialBalances (shard: number, endedTerm: number): shardBuckets.InitialBalances {
    const marks = this.shards.get(shard)?.marks
    if (marks === undefined || marks.term !== endedTerm || marks.sequence === 0) {
      return shardBuckets.emptyBalances
    }
    return { lowWaterMarks: new Map(marks.tokens), isComplete: true, part: 1 }
  }

  private isAddressed (request: PromiseRequest): boolean {
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
    earlierTermUntilMs: 0,
    marks: undefined,
    quotaEndedMs: Number.NEGATIVE_INFINITY,
    quota: undefined,
    forgoneRevision: 0
  }
}

/** Applies an announcement if its base is held. Returns the number of the announcement that is held afterwards. */
function applyMarks (promises: ShardPromises, request: PromiseRequest): number {
  const held = promises.marks?.term === request.term ? promises.marks : undefined
  const sequence = held?.sequence ?? 0
  if (request.sequence <= sequence || request.base > sequence || request.echoMs < promises.quotaEndedMs) {
    return sequence
  }
  const tokens = request.base === 0 ? new Map<string, number>() : held?.tokens ?? new Map<string, number>()
  for (const mark of request.floors) {
    tokens.set(mark.workspace, mark.tokens)
  }
  promises.marks = { term: request.term, sequence: request.sequence, tokens }
  return request.sequence
}

function recordForgone (promises: ShardPromises, revision: number): void {
  promises.forgoneRevision = Math.max(promises.forgoneRevision, revision)
  promises.quota = undefined
}

function recordRelease (promises: ShardPromises, term: number): void {
  promises.releasedTerm = Math.max(promises.releasedTerm, term)
  if (promises.promisedTerm <= term) {
    promises.untilMs = 0
  }
}
