/**
 * Rates at which generations arrive at one gateway, of a service by level of urgency, with the memory that each of them takes.
 */

/** Time constant of the averages, in milliseconds: the length of a short burst. */
const averagingMs = 4_000
/** Rates below this are not reported, in generations a second. */
const minimumPerSecond = 0.02
/** Limit on the levels that are told apart; later ones count as the last. */
export const maximumLevels = 10

/** Generations a second, and the memory that they ask for in tokens a second. */
export type ArrivalRate = [generationsPerSecond: number, tokensPerSecond: number]

/** Arrival rates of a service, by level of urgency. */
export type LeveledArrivals = readonly ArrivalRate[]

export class ArrivalMeter {
  private readonly rates: [number, number][] = []
  private updatedMs = -Infinity

  record (level: number, tokens: number, nowMs: number): void {
    this.decay(nowMs)
    const index = Math.min(level, maximumLevels - 1)
    while (this.rates.length <= index) {
      this.rates.push([0, 0])
    }
    const rate = this.rates[index] as [number, number]
    rate[0] += 1000 / averagingMs
    rate[1] += tokens * 1000 / averagingMs
  }

  /** Returns the rates by level; empty if nothing has arrived lately. */
  read (nowMs: number): ArrivalRate[] {
    const factor = this.getDecayFactor(nowMs)
    const isQuiet = this.rates.every(([generations]) => generations * factor < minimumPerSecond)
    return isQuiet ? [] : this.rates.map(([generations, tokens]) => [Number((generations * factor).toFixed(3)), Math.round(tokens * factor)])
  }

  private getDecayFactor (nowMs: number): number {
    return Number.isFinite(this.updatedMs) ? Math.exp(-Math.max(0, nowMs - this.updatedMs) / averagingMs) : 1
  }

  private decay (nowMs: number): void {
    const factor = this.getDecayFactor(nowMs)
    for (const rate of this.rates) {
      rate[0] *= factor
      rate[1] *= factor
    }
    this.updatedMs = nowMs
  }
}

export function addArrivals (a: LeveledArrivals, b: LeveledArrivals): ArrivalRate[] {
  const sum: ArrivalRate[] = []
  for (let level = 0; level < Math.min(maximumLevels, Math.max(a.length, b.length)); level += 1) {
    const [generations, tokens] = a[level] ?? [0, 0]
    const [moreGenerations, moreTokens] = b[level] ?? [0, 0]
    sum.push([generations + moreGenerations, tokens + moreTokens])
  }
  return sum
}
