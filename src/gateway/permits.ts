/**
 * Permits for requests to servers with a limit, as this gateway takes and uses them.
 *
 * One gateway issues all permits of a server, so that the gateways together keep its limit whatever each of them is asked for.
 * While the issuer does not answer, a gateway uses its even share of the limit. Every send is counted: one without a permit is
 * reported to the issuer, which issues fewer permits afterwards.
 *
 * A cold server has a bound for any one second. Its permits are granted for waiting requests only, used within their lifetime or
 * lost, and never credited again: returned ones would be granted once more in the same second.
 */
import * as coldLimits from './availability/cold_limit.js'
import * as host from '../host/types.js'
import * as issuerChoices from './issuer_choice.js'
import * as messages from './peer_messages.js'
import * as permitIssuers from './permit_issuer.js'
import * as routing from '../contracts/routing.js'
import * as serverLimits from './server_limits.js'

/** Validity of a permit, in milliseconds: an unused one goes back to the issuer afterwards. */
const permitLifetimeMs = 300
/** Time for which an issuer that did not answer is not asked, in milliseconds. */
const issuerPauseMs = 500
/** Time ahead for which permits are requested at once, in milliseconds. */
const orderAheadMs = 100
/** Time constant of the average rate of attempts to take a permit, in milliseconds. */
const attemptAveragingMs = 1_000
/**
 * Longest random delay before the next order after a refused one, in milliseconds: several round trips between zones, so that the
 * issuer itself has no lead over the others.
 */
const orderJitterMs = 8
/** Orders for which one request waits: the one in progress, and one that includes the request. */
const maximumOrders = 2
/** Time for which permits for a cold server that no request waits for any more may be taken, in milliseconds. */
const coldHeldMs = 20
/** Time between two orders of one gateway that gets no permit, for each gateway and at most, in milliseconds: bounds the issuer's work. */
const coldOrderSpacingMs = 4
const maximumColdSpacingMs = 500
/** Limits on what another gateway states about a cold server. */
const maximumColdPerSecond = 1_000_000

/** Where a permit comes from; `none`: the server has no limit. */
export type PermitSource = 'none' | 'issuer' | 'share'

export type PermitVerdict =
  | { readonly kind: 'granted', readonly source: PermitSource }
  /** `waitMs`: time until the next permit may be had, in milliseconds. */
  | { readonly kind: 'refused', readonly waitMs: number }

/** Asks other gateways for permits; rejects if there is no answer in time. */
export abstract class PermitChannel {
  abstract ask (node: string, order: messages.PermitOrder): Promise<messages.PermitGrant>
}

/** A token bucket that holds at most one permit of this gateway's even share. */
interface Share {
  level: number
  updatedMs: number
}

/** Permits of one server. Times are on the monotonic clock, in milliseconds. */
interface Account {
  issuer: string
  /** Permits that were granted and not taken yet. */
  held: number
  heldUntilMs: number
  /** Permits that were taken and not used yet. */
  taken: number
  /** Requests sent without a permit less unused permits, since the last order. */
  spent: number
  /** Until when the issuer has no permits. */
  emptyUntilMs: number
  /** Until when the issuer is not asked because it did not answer. */
  silentUntilMs: number
  /** Set while the issuer does not answer. */
  share: Share | undefined
  /** This gateway's even share of the limit of a cold server. */
  coldShare: coldLimits.ColdBucket | undefined
  /** The order in progress. */
  order: Promise<void> | undefined
  waiting: number
  /** Average rate of attempts to take a permit, per second. */
  attemptsPerSecond: number
  attemptedMs: number
}

export class Permits {
  private readonly accounts = new Map<string, Account>()
  private readonly issuer = new permitIssuers.PermitIssuer()
  /** What this gateway may issue for cold servers. */
  private readonly coldBuckets = new Map<string, coldLimits.ColdBucket>()

  constructor (
    private readonly node: string,
    private readonly limits: serverLimits.ServerLimits,
    private readonly choice: issuerChoices.IssuerChoice,
    private readonly channel: PermitChannel,
    private readonly system: host.System
  ) {}

  /** Takes a permit for a request to a server. It is used by the next send to the server, or given back. */
  async take (server: routing.RoutedServer): Promise<PermitVerdict> {
    const limit = this.limits.getLimit(server, this.now())
    if (limit === undefined) {
      return { kind: 'granted', source: 'none' }
    }
    const account = this.getAccount(server)
    recordAttempt(account, this.now())
    const verdict = this.takeLocally(server, account, limit) ?? await this.awaitOrder(server, account, limit)
    account.taken += verdict.kind === 'granted' ? 1 : 0
    return verdict
  }

  /** Gives back a permit that was taken and not used; `source` is what `take` returned. */
  giveBack (server: routing.RoutedServer, source: PermitSource): void {
    const account = this.accounts.get(server.id)
    if (source !== 'none' && account !== undefined && account.taken > 0) {
      account.taken -= 1
      if (this.getCold(server) !== undefined) {
        return
      }
      account.held += 1
      account.heldUntilMs = this.now() + permitLifetimeMs
    }
  }

  /** Tells whether a request may be sent to a server now with what was taken for it at a time on the monotonic clock. */
  isUsable (server: routing.RoutedServer, source: PermitSource, takenMs: number): boolean {
    return this.getCold(server) === undefined || (source !== 'none' && this.now() - takenMs <= coldLimits.coldPermitMs)
  }

  /** Tells whether a server is cold, so that no request may reach it without a permit. */
  isCold (server: routing.RoutedServer): boolean {
    return this.getCold(server) !== undefined
  }

  /** Counts a request that is sent to a server, with a permit or without. */
  recordSend (server: routing.RoutedServer): void {
    const taken = this.accounts.get(server.id)
    if (taken !== undefined && taken.taken > 0) {
      taken.taken -= 1
      return
    }
    if (this.limits.getLimit(server, this.now()) !== undefined) {
      const account = this.getAccount(server)
      account.spent += 1
      this.startOrder(server, account)
    }
  }

  /** Returns the time until a permit of a server may be had, in milliseconds; 0 if that is not known to be later. */
  getWaitMs (server: routing.RoutedServer): number {
    const limit = this.limits.getLimit(server, this.now())
    const account = this.accounts.get(server.id)
    return limit === undefined || account === undefined ? 0 : this.getKnownWaitMs(server, account, limit) ?? 0
  }

  /** Returns what `getWaitMs` would, without a change of state, for an explanation. */
  observeWaitMs (server: routing.RoutedServer): number {
    const nowMs = this.now()
    const limit = this.limits.getLimit(server, nowMs)
    const account = this.accounts.get(server.id)
    if (limit === undefined || account === undefined) {
      return 0
    }
    const knownMs = this.getIssuedWaitMs(server, account, nowMs)
    if (knownMs !== 'share') {
      return knownMs ?? 0
    }
    const cold = this.getColdShare(server)
    if (cold !== undefined) {
      return account.coldShare?.observeWaitMs(cold, nowMs) ?? 0
    }
    const { level, ratePerMs } = this.computeShare(account.share, limit, nowMs)
    return Math.max(0, (1 - level) / ratePerMs)
  }

  /** Returns the servers of which a permit may be had now, as far as this gateway knows. */
  selectAvailable (servers: readonly routing.RoutedServer[]): readonly routing.RoutedServer[] {
    return this.accounts.size === 0 ? servers : servers.filter(server => this.getWaitMs(server) === 0)
  }

  /** Returns this gateway's even share of the limits of servers, in requests a second. */
  getSharePerSecond (servers: readonly routing.RoutedServer[]): number {
    let perSecond = 0
    for (const server of servers) {
      perSecond += this.limits.getLimit(server, this.now()) ?? 0
    }
    return perSecond / this.choice.gatewayCount
  }

  /** Name of the gateway that issues the permits of a server. */
  getIssuer (server: routing.RoutedServer): string {
    return this.choice.choose(server)
  }

  /** Decides on the order of a gateway for permits of a server. */
  decide (order: messages.PermitOrder): messages.PermitGrant {
    const nowMs = this.now()
    const { server, statement, node } = order
    if (statement !== undefined) {
      this.limits.merge({ [server]: statement }, node, nowMs, nowMs)
    }
    const known = this.limits.describe(server, nowMs)
    const perSecond = this.limits.getStatedLimit(server)
    const cold = this.limits.getColdLimit(server, nowMs) ?? readColdLimit(order)
    if (cold !== undefined) {
      return { ...this.issueCold(order, cold, perSecond ?? Infinity), statement: known, isCold: true }
    }
    this.coldBuckets.delete(server)
    if (perSecond === undefined) {
      return { granted: order.wanted, waitMs: 0, statement: known }
    }
    return { ...this.issuer.grant(order, perSecond * this.choice.getIssuedPart(), nowMs), statement: known }
  }

  /** Drops all permits of a server that has been removed. */
  forget (server: string): void {
    this.accounts.delete(server)
    this.coldBuckets.delete(server)
    this.issuer.forget(server)
    this.choice.forget(server)
  }

  /** Waits for the order in progress, and for another one if that brings no permit for this request. */
  private async awaitOrder (server: routing.RoutedServer, account: Account, limit: number): Promise<PermitVerdict> {
    account.waiting += 1
    let verdict: PermitVerdict | undefined
    for (let orders = 0; orders < maximumOrders && verdict === undefined; orders += 1) {
      await this.startOrder(server, account)
      verdict = this.takeLocally(server, account, limit)
    }
    account.waiting -= 1
    return verdict ?? { kind: 'refused', waitMs: orderAheadMs }
  }

  /** Decides without the issuer; undefined if it must be asked. */
  private takeLocally (server: routing.RoutedServer, account: Account, limit: number): PermitVerdict | undefined {
    this.dropExpired(server, account)
    const waitMs = this.getKnownWaitMs(server, account, limit)
    if (waitMs === undefined) {
      return undefined
    }
    if (waitMs > 0) {
      return { kind: 'refused', waitMs }
    }
    if (account.held > 0) {
      account.held -= 1
      return { kind: 'granted', source: 'issuer' }
    }
    const cold = this.getColdShare(server)
    if (cold !== undefined) {
      account.coldShare?.take(1, cold, this.now())
    } else if (account.share !== undefined) {
      account.share.level -= 1
    }
    return { kind: 'granted', source: 'share' }
  }

  /** Returns the time until this gateway has a permit, in milliseconds; undefined if the issuer must be asked. */
  private getKnownWaitMs (server: routing.RoutedServer, account: Account, limit: number): number | undefined {
    const nowMs = this.now()
    const issuedMs = this.getIssuedWaitMs(server, account, nowMs)
    if (issuedMs !== 'share') {
      return issuedMs
    }
    const cold = this.getColdShare(server)
    if (cold === undefined) {
      return this.refillShare(account, limit)
    }
    account.coldShare ??= new coldLimits.ColdBucket(nowMs, cold.depth, () => this.system.random.nextUnit())
    return account.coldShare.getWaitMs(cold, nowMs)
  }

  /** Returns the time until the issuer may grant a permit, in milliseconds; undefined if it must be asked, `share` if it does not answer. */
  private getIssuedWaitMs (server: routing.RoutedServer, account: Account, nowMs: number): number | 'share' | undefined {
    if (account.held > 0 && account.heldUntilMs > nowMs) {
      return 0
    }
    if (nowMs < account.emptyUntilMs) {
      return account.emptyUntilMs - nowMs
    }
    return nowMs >= account.silentUntilMs || this.choice.choose(server) !== account.issuer ? undefined : 'share'
  }

  /** Returns this gateway's even share of the limit of a cold server. */
  private getColdShare (server: routing.RoutedServer): coldLimits.ColdLimit | undefined {
    const cold = this.getCold(server)
    return cold === undefined ? undefined : coldLimits.scaleLimit(cold, 1 / this.choice.gatewayCount)
  }

  private getCold (server: routing.RoutedServer): coldLimits.ColdLimit | undefined {
    return this.limits.getColdLimit(server.id, this.now())
  }

  /** Issues permits for a cold server; a limit that it states as well is kept, too. */
  private issueCold ({ server, wanted, spent }: messages.PermitOrder, cold: coldLimits.ColdLimit, statedPerSecond: number): messages.PermitGrant {
    const nowMs = this.now()
    const limit = coldLimits.scaleLimit({ ...cold, perSecond: Math.min(cold.perSecond, statedPerSecond) }, this.choice.getResponsivePart())
    const bucket = this.coldBuckets.get(server) ?? new coldLimits.ColdBucket(nowMs, limit.depth, () => this.system.random.nextUnit())
    this.coldBuckets.set(server, bucket)
    bucket.spend(spent, limit, nowMs)
    const { granted, waitMs } = bucket.take(wanted, limit, nowMs)
    return { granted, waitMs: Math.max(waitMs, Math.min(maximumColdSpacingMs, this.choice.gatewayCount * coldOrderSpacingMs)) }
  }

  /** Counts expired permits as unused. */
  private dropExpired (server: routing.RoutedServer, account: Account): void {
    if (account.held > 0 && account.heldUntilMs <= this.now()) {
      account.spent -= this.getCold(server) === undefined ? account.held : 0
      account.held = 0
    }
  }

  /** Refills this gateway's even share of a limit; returns the time until it holds a permit, in milliseconds. */
  private refillShare (account: Account, limit: number): number {
    const nowMs = this.now()
    const { level, ratePerMs } = this.computeShare(account.share, limit, nowMs)
    account.share = { level, updatedMs: nowMs }
    return Math.max(0, (1 - level) / ratePerMs)
  }

  private computeShare (share: Share | undefined, limit: number, nowMs: number): { readonly level: number, readonly ratePerMs: number } {
    const ratePerMs = Math.max(limit, Number.EPSILON) / this.choice.gatewayCount / 1000
    const { level, updatedMs } = share ?? { level: 0, updatedMs: nowMs }
    return { level: Math.min(1, level + (nowMs - updatedMs) * ratePerMs), ratePerMs }
  }

  /** Starts an order unless one is in progress. Never rejects. */
  private startOrder (server: routing.RoutedServer, account: Account): Promise<void> {
    account.order ??= this.order(server, account).finally(() => {
      account.order = undefined
    })
    return account.order
  }

  /** Orders permits for the requests that wait, and for those expected soon. */
  private async order (server: routing.RoutedServer, account: Account): Promise<void> {
    const issuer = this.choice.choose(server)
    this.setIssuer(server, account, issuer)
    const startedMs = this.now()
    const { spent } = account
    const limit = this.limits.getLimit(server, startedMs) ?? 0
    const cold = this.getCold(server)
    const ahead = account.waiting === 0 || cold !== undefined ? 0 : Math.floor(Math.min(account.attemptsPerSecond, limit) * orderAheadMs / 1000)
    const wanted = account.waiting + ahead
    account.spent = 0
    const order: messages.PermitOrder = {
      node: this.node,
      server: server.id,
      wanted,
      spent,
      statement: this.limits.describe(server.id, startedMs),
      ...(cold === undefined ? {} : { cold: [cold.perSecond, cold.depth] })
    }
    try {
      const grant = issuer === this.node ? this.decide(order) : await this.channel.ask(issuer, order)
      if (cold !== undefined && grant.isCold !== true) {
        throw new Error('the issuer does not know cold servers')
      }
      this.applyGrant(server, account, wanted, grant, issuer)
    } catch (error) {
      account.spent += spent
      this.recordSilence(server, account, String(error), startedMs)
    }
  }

  private applyGrant (server: routing.RoutedServer, account: Account, wanted: number, grant: messages.PermitGrant, issuer: string): void {
    const nowMs = this.now()
    if (grant.statement !== undefined && issuer !== this.node) {
      this.limits.merge({ [server.id]: grant.statement }, issuer, nowMs, nowMs)
    }
    account.share = undefined
    account.silentUntilMs = -Infinity
    account.held += grant.granted
    account.heldUntilMs = nowMs + (this.getCold(server) === undefined ? permitLifetimeMs : coldHeldMs)
    if (grant.granted < wanted) {
      account.emptyUntilMs = nowMs + grant.waitMs + this.system.random.nextUnit() * orderJitterMs
    }
  }

  private recordSilence (server: routing.RoutedServer, account: Account, reason: string, startedMs: number): void {
    const nowMs = this.now()
    account.silentUntilMs = nowMs + issuerPauseMs
    if (account.share === undefined) {
      account.share = { level: 0, updatedMs: nowMs }
      this.system.log.warn('permit issuer silent', {
        server: server.id,
        issuer: account.issuer,
        reason,
        elapsedMs: Math.round(nowMs - startedMs),
        sharePerSecond: (this.limits.getLimit(server, nowMs) ?? 0) / this.choice.gatewayCount
      })
    }
  }

  private setIssuer (server: routing.RoutedServer, account: Account, issuer: string): void {
    if (account.issuer === issuer) {
      return
    }
    this.system.log.info('permit issuer chosen', {
      server: server.id, issuer, before: account.issuer === '' ? undefined : account.issuer, issuedPart: this.choice.getIssuedPart()
    })
    account.issuer = issuer
    account.share = undefined
  }

  private getAccount (server: routing.RoutedServer): Account {
    const found = this.accounts.get(server.id)
    if (found !== undefined) {
      return found
    }
    const created: Account = {
      issuer: '',
      held: 0,
      heldUntilMs: 0,
      taken: 0,
      spent: 0,
      emptyUntilMs: -Infinity,
      silentUntilMs: -Infinity,
      share: undefined,
      coldShare: undefined,
      order: undefined,
      waiting: 0,
      attemptsPerSecond: 0,
      attemptedMs: -Infinity
    }
    this.accounts.set(server.id, created)
    return created
  }

  private now (): number {
    return this.system.clock.monotonicMs()
  }
}

/** Returns the limit of a cold server that another gateway states; undefined for figures that are none. */
function readColdLimit ({ cold }: messages.PermitOrder): coldLimits.ColdLimit | undefined {
  const [perSecond = -1, depth = -1] = cold ?? []
  return perSecond >= 0 && perSecond <= maximumColdPerSecond && depth >= 0 && depth <= maximumColdPerSecond ? { perSecond, depth } : undefined
}

function recordAttempt (account: Account, nowMs: number): void {
  const decay = Math.exp(-(nowMs - account.attemptedMs) / attemptAveragingMs)
  account.attemptsPerSecond = account.attemptsPerSecond * decay + 1000 / attemptAveragingMs
  account.attemptedMs = nowMs
}
