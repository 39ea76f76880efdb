/**
 * Compares ways to keep an allowance across entries on the same load: shares lent to entries through the store,
 * and charges at keepers. `--json` prints the figures as JSON.
 *
 * Every workspace stays inside its rate and burst, as an exact bucket over the whole fleet tells, so that every
 * refusal is wrongful; one workspace in ten sends three times its rate, to provoke overshoot, and is not counted.
 */
import * as process from 'node:process'
import * as buckets from '../src/allowances/bucket.js'
import * as configuration from '../src/contracts/configuration.js'
import * as host from '../src/host/types.js'
import * as seededRandoms from '../src/host/seeded_random.js'
import * as textTables from '../src/cli/text_table.js'

const simulatedMs = 30_000
const requestsPerSecondPerEntry = 17
const smallestTokens = 100
const largestTokens = 1100
const meanTokens = (smallestTokens + largestTokens) / 2
const usedShare = 0.9
const runMs = 2000
/** Rate of a workspace that stays inside, as a multiple of the mean of its bounds. */
const headroom = 1.2
const burstSeconds = 4
/** One workspace in so many sends three times its rate. */
const floodPeriod = 10
const floodFactor = 3
const restartMs = 12_000
const keeperShards = 64
const leaseRenewalsPerSecond = 1
/** From the death of a keeper to the first charge at its successor, less the time that clients wait. */
const takeOverMs = 3400
const clientWaitMs = 1500

interface Size {
  readonly name: string
  readonly entries: number
  readonly workspaces: number
}

const sizes: readonly Size[] = [
  { name: 'today', entries: 3, workspaces: 5 },
  { name: 'a quarter', entries: 102, workspaces: 130 },
  { name: 'full', entries: 410, workspaces: 520 }
]

interface Request {
  readonly atMs: number
  readonly entry: number
  readonly workspace: number
  readonly tokens: number
}

/** One way to keep allowances. */
abstract class Scheme {
  storeCalls = 0
  /** Returns a function that settles the charge, or `undefined` if it is refused. */
  abstract charge (request: Request): ((used: number, nowMs: number) => void) | undefined
  /** The process of an entry is replaced. */
  abstract restart (entry: number, nowMs: number): void
}

interface Share {
  tokens: number
  untilMs: number
}

/** Entries take shares of the burst from the store and keep them for a while. */
class LentShares extends Scheme {
  private readonly central: buckets.Bucket[]
  private readonly shares = new Map<string, Share>()

  constructor (private readonly size: Size, private readonly allowance: configuration.Allowance, private readonly keptMs: number) {
    super()
    this.central = createBuckets(size, allowance)
  }

  override charge (request: Request): ((used: number, nowMs: number) => void) | undefined {
    const share = this.getShare(request)
    if (share.tokens < request.tokens && !this.fetch(share, request)) {
      return undefined
    }
    share.tokens -= request.tokens
    return used => {
      share.tokens += request.tokens - used
    }
  }

  override restart (entry: number): void {
    for (let workspace = 0; workspace < this.size.workspaces; workspace += 1) {
      this.shares.delete(`${entry} ${workspace}`)
    }
  }

  private getShare (request: Request): Share {
    const key = `${request.entry} ${request.workspace}`
    const known = this.shares.get(key)
    if (known !== undefined && known.untilMs > request.atMs) {
      return known
    }
    const fresh = { tokens: 0, untilMs: request.atMs + this.keptMs }
    this.shares.set(key, fresh)
    return fresh
  }

  private fetch (share: Share, request: Request): boolean {
    this.storeCalls += 1
    const wanted = Math.max(request.tokens, this.allowance.burstTokens / this.size.entries)
    const bucket = this.central[request.workspace] as buckets.Bucket
    const tokens = Math.min(wanted, bucket.getLevel(request.atMs))
    if (share.tokens + tokens < request.tokens) {
      return false
    }
    bucket.tryCharge(tokens, request.atMs)
    share.tokens += tokens
    return true
  }
}

/** Keepers charge each request; a keeper that dies is replaced after its lease, at three quarters of the level. */
class Keepers extends Scheme {
  private readonly buckets: buckets.Bucket[]
  private terms: number[] = []
  private readonly awayUntilMs: number[] = []

  constructor (private readonly size: Size, private readonly allowance: configuration.Allowance) {
    super()
    this.buckets = createBuckets(size, allowance)
    this.terms = this.buckets.map(() => 0)
  }

  override charge (request: Request): ((used: number, nowMs: number) => void) | undefined {
    const { workspace, atMs, tokens } = request
    const bucket = this.buckets[workspace] as buckets.Bucket
    const term = this.terms[workspace]
    if (atMs < (this.awayUntilMs[workspace] ?? 0)) {
      return undefined
    }
    const number = bucket.tryCharge(tokens, atMs)
    if (number === undefined) {
      return undefined
    }
    return (used, nowMs) => {
      if (this.terms[workspace] === term) {
        bucket.settle(number, tokens, used, nowMs)
      }
    }
  }

  /** Entry 0 keeps one shard in as many as there are entries, at most all. */
  override restart (entry: number, nowMs: number): void {
    const shards = Math.min(keeperShards, this.size.entries)
    for (const [workspace, bucket] of this.buckets.entries()) {
      if (workspace % shards === entry % shards) {
        const level = Math.max(0, bucket.getLevel(nowMs) - this.allowance.burstTokens / 4)
        this.buckets[workspace] = new buckets.Bucket(this.allowance, nowMs + takeOverMs, level)
        this.terms[workspace] = (this.terms[workspace] ?? 0) + 1
        this.awayUntilMs[workspace] = nowMs + takeOverMs - clientWaitMs
      }
    }
  }

  addRenewals (seconds: number): void {
    this.storeCalls += seconds * leaseRenewalsPerSecond * Math.min(keeperShards, this.size.entries)
  }
}

function createBuckets (size: Size, allowance: configuration.Allowance): buckets.Bucket[] {
  return Array.from({ length: size.workspaces }, () => new buckets.Bucket(allowance, 0, allowance.burstTokens))
}

function createAllowance (size: Size): configuration.Allowance {
  const perWorkspace = size.entries * requestsPerSecondPerEntry / size.workspaces
  const tokensPerSecond = perWorkspace * meanTokens * headroom
  return { tokensPerSecond, burstTokens: tokensPerSecond * burstSeconds }
}

function isFlooding (workspace: number): boolean {
  return workspace % floodPeriod === 0
}

/** Requests in the order of time; those of workspaces that stay inside only as far as an exact bucket grants them. */
function createRequests (size: Size, allowance: configuration.Allowance, random: host.Random): readonly Request[] {
  const exact = createBuckets(size, allowance)
  const requests: Request[] = []
  const count = size.entries * requestsPerSecondPerEntry * simulatedMs / 1000
  for (let index = 0; index < count; index += 1) {
    const atMs = index * simulatedMs / count
    const workspace = random.nextInteger(size.workspaces)
    const repeats = isFlooding(workspace) ? floodFactor : 1
    for (let repeat = 0; repeat < repeats; repeat += 1) {
      const tokens = smallestTokens + random.nextInteger(largestTokens - smallestTokens)
      const request = { atMs, entry: random.nextInteger(size.entries), workspace, tokens }
      const isInside = (exact[workspace] as buckets.Bucket).tryCharge(tokens, atMs) !== undefined
      if (isInside || isFlooding(workspace)) {
        requests.push(request)
      }
    }
  }
  return requests
}

interface Used {
  readonly atMs: number
  readonly tokens: number
}

/** Returns the most by which any window passed the allowance, in tokens. */
function getOvershoot (used: readonly Used[], allowance: configuration.Allowance): number {
  let deficit = 0
  let worst = 0
  let lastMs = 0
  for (const { atMs, tokens } of used) {
    deficit = Math.max(0, deficit - (atMs - lastMs) * allowance.tokensPerSecond / 1000) + tokens
    lastMs = atMs
    worst = Math.max(worst, deficit - allowance.burstTokens)
  }
  return worst
}

interface Row {
  readonly size: string
  readonly scheme: string
  readonly storeCallsPerSecond: number
  readonly wrongfulPercent: number
  readonly overshootPercentOfBurst: number
}

function simulate (size: Size, name: string, scheme: Scheme, requests: readonly Request[], allowance: configuration.Allowance): Row {
  const settlements: { readonly atMs: number, readonly settle: () => void }[] = []
  const used: Used[][] = Array.from({ length: size.workspaces }, () => [])
  let refused = 0
  let counted = 0
  let isRestarted = false
  let settled = 0
  for (const request of requests) {
    while ((settlements[settled]?.atMs ?? Number.POSITIVE_INFINITY) <= request.atMs) {
      settlements[settled]?.settle()
      settled += 1
    }
    if (!isRestarted && request.atMs >= restartMs) {
      isRestarted = true
      scheme.restart(0, request.atMs)
    }
    const settle = scheme.charge(request)
    counted += isFlooding(request.workspace) ? 0 : 1
    if (settle === undefined) {
      refused += isFlooding(request.workspace) ? 0 : 1
      continue
    }
    const tokens = Math.floor(request.tokens * usedShare)
    used[request.workspace]?.push({ atMs: request.atMs, tokens })
    settlements.push({ atMs: request.atMs + runMs, settle: () => settle(tokens, request.atMs + runMs) })
  }
  const overshoot = Math.max(...used.map(list => getOvershoot(list, allowance)))
  return {
    size: size.name,
    scheme: name,
    storeCallsPerSecond: Math.round(scheme.storeCalls * 1000 / simulatedMs),
    wrongfulPercent: Number((refused * 100 / counted).toFixed(3)),
    overshootPercentOfBurst: Number((overshoot * 100 / allowance.burstTokens).toFixed(2))
  }
}

function main (): void {
  const rows: Row[] = []
  for (const size of sizes) {
    const allowance = createAllowance(size)
    const requests = createRequests(size, allowance, new seededRandoms.SeededRandom(1))
    for (const keptMs of [1000, 10_000, 60_000]) {
      const lent = new LentShares(size, allowance, keptMs)
      rows.push(simulate(size, `shares kept ${keptMs / 1000} s`, lent, requests, allowance))
    }
    const keepers = new Keepers(size, allowance)
    keepers.addRenewals(simulatedMs / 1000)
    rows.push(simulate(size, 'keepers', keepers, requests, allowance))
  }
  if (process.argv.includes('--json')) {
    console.log(JSON.stringify(rows, undefined, 2))
    return
  }
  const titles = ['size', 'scheme', 'store calls/s', 'wrongful %', 'overshoot % of burst']
  console.log(textTables.formatTable(titles, rows.map(row => Object.values(row))))
}

main()
