/**
 * Issues permits for requests to servers with a limit, to all gateways: a token bucket for each server.
 *
 * Performs no input or output.
 */
import * as messages from './peer_messages.js'

/** Time for which a server's unused rate is saved up, in milliseconds, and the permits that are saved in addition. */
const burstMs = 500
const burstPermits = 2
/** Lowest rate at which permits are issued, in requests a second: some request must reach a server for the end of its limit to be noticed. */
const minimumPerSecond = 0.25
/** Time by which the rate can be overdrawn by requests without a permit, in milliseconds. */
const maximumDebtMs = 4_000
/** Time for which a gateway that has asked counts as an asker, in milliseconds. */
const askerExpiryMs = 1_000
/** Shortest time between two refused asks of different gateways, in milliseconds, which bounds the issuer's work. */
const askSpacingMs = 4

interface Bucket {
  level: number
  updatedMs: number
  /** When each gateway last asked. */
  readonly askers: Map<string, number>
}

export class PermitIssuer {
  private readonly buckets = new Map<string, Bucket>()

  /** Grants as many of the wanted permits as a limit in requests a second allows. */
  grant ({ node, server, wanted, spent }: messages.PermitOrder, perSecond: number, nowMs: number): messages.PermitGrant {
    const rate = Math.max(perSecond, minimumPerSecond)
    const bucket = this.buckets.get(server) ?? { level: 0, updatedMs: nowMs, askers: new Map() }
    this.buckets.set(server, bucket)
    const depth = burstPermits + rate * burstMs / 1000
    const refilled = bucket.level + Math.max(0, nowMs - bucket.updatedMs) * rate / 1000
    bucket.level = Math.max(-rate * maximumDebtMs / 1000, Math.min(depth, refilled - spent))
    bucket.updatedMs = nowMs
    const granted = Math.max(0, Math.min(wanted, Math.floor(bucket.level)))
    bucket.level -= granted
    bucket.askers.set(node, nowMs)
    const untilNextMs = (1 - bucket.level) / rate * 1000
    return { granted, waitMs: Math.ceil(Math.max(untilNextMs, this.countAskers(bucket, nowMs) * askSpacingMs)) }
  }

  forget (server: string): void {
    this.buckets.delete(server)
  }

  private countAskers ({ askers }: Bucket, nowMs: number): number {
    for (const [asker, askedMs] of askers) {
      if (nowMs - askedMs > askerExpiryMs) {
        askers.delete(asker)
      }
    }
    return askers.size
  }
}
