/**
 * What waits for decode memory at all gateways, by service and rank.
 *
 * Pattern: each gateway orders its own queue, so an urgent request waits at one gateway while another places a less urgent one. Gateways
 * tell each other how many requests of each rank wait at them, the memory that these need, and how long the oldest has waited. What
 * a gateway told is dropped with its gossip, or 2 s after it was last heard. Performs no input or output.
 */
import * as host from '../../host/types.js'
import type * as messages from '../peer_messages.js'

/** Age from which a statement no longer counts, in milliseconds: the same as of committed loads. */
const expiryMs = 2_000
/** Bounds on one message: ranks over all services, the most urgent first, and services. */
export const maximumRanks = 24
export const maximumServices = 12
/** Figures above these are errors: no deployment has as many requests or as much memory. */
const maximumCount = 1_000_000
const maximumTokens = 1e12
/** Least time between two log lines on statements that cannot be used, in milliseconds. */
const logPauseMs = 1_000

/** A request that waits at this gateway. */
export interface WaitingRequest {
  readonly service: string
  /** 0 is the most urgent. */
  readonly rank: number
  /** Memory that it needs, in tokens. */
  readonly tokens: number
  /** When it came to this gateway. */
  readonly sinceMs: number
}

/** Demand of requests that wait. */
export interface Demand {
  readonly count: number
  readonly tokens: number
  /** How long the oldest had waited when that was told, in milliseconds. */
  readonly oldestMs: number
  /** Age of the oldest statement in it, in milliseconds. */
  readonly newsMs: number
}

type Statements = Readonly<Record<string, readonly messages.WaitingStatement[]>>

interface Peer {
  readonly asOfMs: number
  readonly services: ReadonlyMap<string, readonly messages.WaitingStatement[]>
}

const noDemand: Demand = { count: 0, tokens: 0, oldestMs: 0, newsMs: 0 }

export class WaitingDemand {
  private readonly peers = new Map<string, Peer>()
  private loggedMs = -Infinity

  constructor (private readonly log: host.Log) {}

  /** Replaces what another gateway, or the aggregate of a zone, tells as of a time on the monotonic clock. */
  updatePeer (peer: string, told: Statements | undefined, asOfMs: number, nowMs: number): void {
    const services = new Map<string, readonly messages.WaitingStatement[]>()
    for (const [service, statements] of Object.entries(told ?? {}).slice(0, maximumServices)) {
      const usable = statements.slice(0, maximumRanks).filter(isUsable)
      if (usable.length < statements.length && nowMs - this.loggedMs >= logPauseMs) {
        this.loggedMs = nowMs
        this.log.warn('told waiting demand not usable', { teller: peer, service, statements: statements.length, used: usable.length })
      }
      if (usable.length > 0) {
        services.set(service, usable)
      }
    }
    if (services.size === 0) {
      this.peers.delete(peer)
    } else {
      this.peers.set(peer, { asOfMs, services })
    }
  }

  /** Drops what was told under a name. */
  forgetPeer (peer: string): void {
    this.peers.delete(peer)
  }

  /** Returns the statement of this gateway for a message, undefined if nothing waits. */
  describe (own: readonly WaitingRequest[], nowMs: number): Record<string, messages.WaitingStatement[]> | undefined {
    return this.aggregate(own, [], nowMs)
  }

  /** Returns the sum of what waits at this gateway and at the named ones, undefined if nothing waits. */
  aggregate (own: readonly WaitingRequest[], names: readonly string[], nowMs: number): Record<string, messages.WaitingStatement[]> | undefined {
    const sums = new Map<string, Map<number, messages.WaitingStatement>>()
    for (const { service, rank, tokens, sinceMs } of own) {
      addStatement(sums, service, [rank, 1, tokens, nowMs - sinceMs])
    }
    for (const name of names) {
      const peer = this.peers.get(name)
      const newsMs = nowMs - (peer?.asOfMs ?? -Infinity)
      for (const [service, statements] of newsMs <= expiryMs ? peer?.services ?? [] : []) {
        for (const [rank, count, tokens, ageMs] of statements) {
          // The receiver compares the wait with the age of this message only, so the age of the statement is taken off here.
          addStatement(sums, service, [rank, count, tokens, ageMs - newsMs])
        }
      }
    }
    const ranked: [string, messages.WaitingStatement][] = []
    for (const [service, ranks] of [...sums].slice(0, maximumServices)) {
      for (const [rank, count, tokens, ageMs] of ranks.values()) {
        ranked.push([service, [rank, count, Math.round(tokens), Math.round(Math.max(0, ageMs))]])
      }
    }
    ranked.sort(([, [a]], [, [b]]) => a - b)
    const told: Record<string, messages.WaitingStatement[]> = {}
    for (const [service, statement] of ranked.slice(0, maximumRanks)) {
      (told[service] ??= []).push(statement)
    }
    return ranked.length === 0 ? undefined : told
  }

  /** Returns what waits at other gateways for a service, of the ranks up to `lastRank`. */
  getElsewhere (service: string, lastRank: number, nowMs: number): Demand {
    return this.sum(service, nowMs, ([rank]) => rank <= lastRank)
  }

  /**
   * Returns what waits at other gateways and is more urgent than a rank. Only statements count whose oldest request had waited longer than
   * the statement is old: of shorter waits it is as likely that they have ended since.
   */
  getMoreUrgent (service: string, rank: number, nowMs: number): Demand {
    return this.sum(service, nowMs, ([told, , , oldestMs], newsMs) => told < rank && oldestMs > newsMs)
  }

  private sum (service: string, nowMs: number, counts: (statement: messages.WaitingStatement, newsMs: number) => boolean): Demand {
    let sum = noDemand
    for (const { asOfMs, services } of this.peers.values()) {
      const newsMs = Math.max(0, nowMs - asOfMs)
      for (const statement of newsMs <= expiryMs ? services.get(service) ?? [] : []) {
        if (counts(statement, newsMs)) {
          const [, count, tokens, oldestMs] = statement
          sum = {
            count: sum.count + count,
            tokens: sum.tokens + tokens,
            oldestMs: Math.max(sum.oldestMs, oldestMs),
            newsMs: Math.max(sum.newsMs, newsMs)
          }
        }
      }
    }
    return sum
  }
}

function addStatement (sums: Map<string, Map<number, messages.WaitingStatement>>, service: string, [rank, count, tokens, ageMs]: messages.WaitingStatement): void {
  const ranks = sums.get(service) ?? new Map<number, messages.WaitingStatement>()
  sums.set(service, ranks)
  const [, knownCount, knownTokens, knownAgeMs] = ranks.get(rank) ?? [rank, 0, 0, 0]
  ranks.set(rank, [rank, knownCount + count, knownTokens + tokens, Math.max(knownAgeMs, ageMs)])
}

function isUsable ([rank, count, tokens, ageMs]: messages.WaitingStatement): boolean {
  return Number.isSafeInteger(rank) && Number.isSafeInteger(count) && count > 0 && count <= maximumCount &&
    Number.isFinite(tokens) && tokens > 0 && tokens <= maximumTokens && Number.isFinite(ageMs) && ageMs >= 0
}
