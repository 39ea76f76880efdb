/**
 * The account of the memory that a gateway holds for callers: who may hold how much, who waits, and who is ended first.
 *
 * The load that it answers: many callers at once send bodies far over the limit, or bodies that stop just short of their end and stay open, and
 * so make the process run out of memory. A body is *small* up to a bound and counts as what it holds. A longer one needs a grant of all that it
 * may become, before it is read further; so a body that has a grant can always be completed, and bodies that are read in part cannot block each
 * other. Grants are given in the order of the requests for them. While one waits, the largest body with a grant that is slower than the least
 * rate is ended, and a wait that takes too long ends with a refusal. Small bodies have a part of the account for themselves: when it is used up,
 * the largest unfinished one is ended.
 *
 * A request that has been read whole is never ended; it keeps what it holds until its end. The bytes of a large body count until its buffer
 * has been collected, because a buffer that is no longer used still takes memory.
 */
import type * as garbage from '../../host/garbage_collector.js'

/** What bounds the account. Times are in milliseconds. */
export interface AccountLimits {
  /** Bytes for large bodies and for answers. */
  readonly largeBytes: number
  /** Bytes for small bodies. */
  readonly smallBytes: number
  /** Bytes read after which the pieces that they came in are to be collected. */
  readonly transientBytes: number
  /** Longest wait for a grant: the caller has sent part of a body for nothing then, and comes back. */
  readonly longestWaitMs: number
  /** Time that a body with a grant has before its rate counts. */
  readonly graceMs: number
  /** Least rate of a body with a grant while another one waits. */
  readonly leastBytesPerSecond: number
}

/** Why the account ended a body. */
export type EndReason = 'slow_body' | 'wait_too_long' | 'small_bodies' | 'connections'

/** The owner of a body. The account calls it; it must not call the account back from within. */
export abstract class BodyOwner {
  abstract granted (): void
  abstract ended (reason: EndReason): void
}

/** Unfinished bodies up to this size are not ended for the sake of others: the ordinary small request. */
const neverEndedBytes = 4_096

/** How long a look of an answer for memory counts as waiting; it looks more often. */
const answerWaitValidMs = 200
/** Time between major collections that free nothing, and between any two: one takes some ten milliseconds. */
const repeatCollectionMs = 1_000
const leastMajorMs = 300

interface Grant {
  readonly bytes: number
  readonly sinceMs: number
  /** Bytes that the body had when it got the grant. */
  readonly startBytes: number
}

export class BodyLease {
  /** Bytes that have come so far. */
  bytes = 0
  isComplete = false
  isOpen = true
  grant: Grant | undefined
  /** Bytes that it waits for, and since when. */
  wait: { readonly bytes: number, readonly sinceMs: number } | undefined

  constructor (readonly owner: BodyOwner) {}

  /** Bytes that count as a small body. */
  get smallBytes (): number {
    return this.isOpen && this.grant === undefined ? this.bytes : 0
  }
}

export class CallerMemory {
  private readonly leases = new Set<BodyLease>()
  private readonly waiting = new Set<BodyLease>()
  private largeBytes = 0
  private smallBytes = 0
  /** Bytes of buffers that are no longer used and not collected yet. */
  private uncollectedBytes = 0
  /** The last collection, with the uncollected bytes before it. */
  private tried: { readonly kind: garbage.CollectionKind, readonly bytes: number, readonly ms: number } = { kind: 'major', bytes: 0, ms: -Infinity }
  private majorMs = -Infinity
  /** What an answer has waited for last, and when. */
  private answerWaitBytes = 0
  private answerWaitMs = -Infinity
  /** Bytes of heads that count: those that wait behind another request, and those of many lines. */
  private headBytes = 0
  /** Bytes read since the last collection; Node.js reads each piece into a buffer of its own. */
  private transientBytes = 0

  constructor (readonly limits: AccountLimits) {}

  /** Bytes held for large bodies and answers, for small bodies, for heads, and not collected yet; and how many wait. */
  describe (): { readonly large: number, readonly small: number, readonly heads: number, readonly uncollected: number, readonly waiting: number } {
    return { heads: this.headBytes, large: this.largeBytes, small: this.smallBytes, uncollected: this.uncollectedBytes, waiting: this.waiting.size }
  }

  /** Whether something waits for memory. */
  isScarce (nowMs: number): boolean {
    return this.waiting.size > 0 || nowMs - this.answerWaitMs < answerWaitValidMs
  }

  /**
   * Returns the collection that may let something go on that waits. A minor one frees young buffers; a major one follows if something still waits,
   * because buffers that lived through two collections are old.
   */
  selectCollection (nowMs: number): garbage.CollectionKind | undefined {
    const [first] = this.waiting
    const bytes = first?.wait?.bytes ?? this.answerWaitBytes
    if (!this.isScarce(nowMs) || this.uncollectedBytes === 0 || this.largeBytes - this.uncollectedBytes + bytes > this.limits.largeBytes) {
      return undefined
    }
    if (this.tried.kind === 'minor' && nowMs - this.majorMs >= leastMajorMs) {
      return 'major'
    }
    if (this.uncollectedBytes !== this.tried.bytes) {
      return 'minor'
    }
    return nowMs - this.tried.ms >= repeatCollectionMs ? 'major' : undefined
  }

  /** Records that garbage is being collected. */
  recordCollection (kind: garbage.CollectionKind, nowMs: number): void {
    this.tried = { kind, bytes: this.uncollectedBytes, ms: nowMs }
    if (kind === 'major') {
      this.majorMs = nowMs
    }
  }

  /** Records that an answer waits for bytes. */
  recordAnswerWait (bytes: number, nowMs: number): void {
    this.answerWaitBytes = bytes
    this.answerWaitMs = nowMs
  }

  /** Records bytes that have been read. Returns whether the pieces that they came in are to be collected now. */
  recordRead (bytes: number): boolean {
    this.transientBytes += bytes
    if (this.transientBytes < this.limits.transientBytes) {
      return false
    }
    this.transientBytes = 0
    return true
  }

  open (owner: BodyOwner): BodyLease {
    const lease = new BodyLease(owner)
    this.leases.add(lease)
    return lease
  }

  /** Records bytes that have come, and ends the largest unfinished small bodies if these hold too much together. */
  add (lease: BodyLease, bytes: number): void {
    if (!lease.isOpen) {
      return
    }
    lease.bytes += bytes
    if (lease.grant !== undefined) {
      return
    }
    this.smallBytes += bytes
    while (this.smallBytes > this.limits.smallBytes) {
      const largest = this.findLargestSmall()
      if (largest === undefined) {
        return
      }
      this.end(largest, 'small_bodies')
    }
  }

  /** Asks for a grant of all that the body may become. Returns whether it is given at once; otherwise the owner is called. */
  request (lease: BodyLease, bytes: number, nowMs: number): boolean {
    if (!lease.isOpen || lease.grant !== undefined || lease.wait !== undefined) {
      return lease.grant !== undefined
    }
    lease.wait = { bytes, sinceMs: nowMs }
    if (this.waiting.size === 0 && this.fits(bytes)) {
      this.give(lease, bytes, nowMs)
      return true
    }
    this.waiting.add(lease)
    return false
  }

  /** Records that the body is whole: it is not ended any more, and holds what it has got. */
  complete (lease: BodyLease, nowMs: number): void {
    lease.isComplete = true
    if (lease.isOpen && lease.grant !== undefined) {
      this.largeBytes -= Math.max(0, lease.grant.bytes - lease.bytes)
      lease.grant = { ...lease.grant, bytes: Math.min(lease.grant.bytes, lease.bytes) }
      this.serveWaiting(nowMs)
    }
  }

  /** Ends the lease. With `hasBuffer`, the bytes of its grant count until `recordCollected`. */
  close (lease: BodyLease, hasBuffer: boolean, nowMs: number): void {
    this.remove(lease, hasBuffer)
    this.serveWaiting(nowMs)
  }

  /** Takes bytes for a request's head, unless heads hold as much as small bodies may hold. */
  takeHead (bytes: number): boolean {
    if (bytes > 0 && this.headBytes + bytes > this.limits.smallBytes) {
      return false
    }
    this.headBytes += bytes
    return true
  }

  giveBackHead (bytes: number): void {
    this.headBytes -= bytes
  }

  /** Takes bytes for an answer if they fit, ahead of bodies that wait: an answer that is delivered frees memory. */
  takeAnswer (bytes: number): boolean {
    if (!this.fits(bytes)) {
      return false
    }
    this.largeBytes += bytes
    return true
  }

  /** Gives back bytes of an answer, which count until `recordCollected` if they were in a buffer. */
  giveBackAnswer (bytes: number, hasBuffer: boolean, nowMs: number): void {
    if (hasBuffer) {
      this.uncollectedBytes += bytes
    } else {
      this.largeBytes -= bytes
      this.serveWaiting(nowMs)
    }
  }

  /** Records that buffers have been collected. */
  recordCollected (bytes: number, nowMs: number): void {
    const collected = Math.min(bytes, this.uncollectedBytes)
    this.uncollectedBytes -= collected
    this.largeBytes -= collected
    this.serveWaiting(nowMs)
  }

  /** Ends what waits for too long, and the largest slow body if another one waits. To be called several times a second. */
  check (nowMs: number): void {
    for (const lease of this.waiting) {
      if (lease.wait !== undefined && nowMs - lease.wait.sinceMs >= this.limits.longestWaitMs) {
        this.end(lease, 'wait_too_long')
      }
    }
    if (this.waiting.size > 0) {
      const slow = this.findLargestSlow(nowMs)
      if (slow !== undefined) {
        this.end(slow, 'slow_body')
      }
    }
    this.serveWaiting(nowMs)
  }

  /** Ends a body whose connection is needed for another caller. */
  endForConnection (lease: BodyLease): void {
    if (lease.isOpen && !lease.isComplete) {
      this.end(lease, 'connections')
    }
  }

  private fits (bytes: number): boolean {
    // One body is always served, however small the account is.
    return this.largeBytes + bytes <= this.limits.largeBytes || this.largeBytes === 0
  }

  private give (lease: BodyLease, bytes: number, nowMs: number): void {
    this.smallBytes -= lease.smallBytes
    this.waiting.delete(lease)
    lease.wait = undefined
    lease.grant = { bytes, sinceMs: nowMs, startBytes: lease.bytes }
    this.largeBytes += bytes
  }

  private serveWaiting (nowMs: number): void {
    for (const lease of this.waiting) {
      const bytes = lease.wait?.bytes ?? 0
      if (!this.fits(bytes)) {
        return
      }
      this.give(lease, bytes, nowMs)
      lease.owner.granted()
    }
  }

  private end (lease: BodyLease, reason: EndReason): void {
    this.remove(lease, lease.grant !== undefined)
    lease.owner.ended(reason)
  }

  private remove (lease: BodyLease, hasBuffer: boolean): void {
    if (!lease.isOpen) {
      return
    }
    this.smallBytes -= lease.smallBytes
    if (lease.grant !== undefined && hasBuffer) {
      // Of the buffer only the part that was written takes memory.
      const written = Math.min(lease.grant.bytes, lease.bytes)
      this.largeBytes -= lease.grant.bytes - written
      this.uncollectedBytes += written
    } else if (lease.grant !== undefined) {
      this.largeBytes -= lease.grant.bytes
    }
    lease.isOpen = false
    this.leases.delete(lease)
    this.waiting.delete(lease)
  }

  private findLargestSmall (): BodyLease | undefined {
    let found: BodyLease | undefined
    for (const lease of this.leases) {
      if (!lease.isComplete && lease.smallBytes > Math.max(neverEndedBytes, found?.bytes ?? 0)) {
        found = lease
      }
    }
    return found
  }

  private findLargestSlow (nowMs: number): BodyLease | undefined {
    let found: BodyLease | undefined
    for (const lease of this.leases) {
      if (lease.grant === undefined || lease.isComplete) {
        continue
      }
      const elapsedMs = nowMs - lease.grant.sinceMs
      const leastBytes = elapsedMs / 1000 * this.limits.leastBytesPerSecond
      const isSlow = elapsedMs >= this.limits.graceMs && lease.bytes - lease.grant.startBytes < leastBytes
      if (isSlow && lease.bytes > (found?.bytes ?? -1)) {
        found = lease
      }
    }
    return found
  }
}
