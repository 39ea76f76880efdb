/**
 * Memory of the decode servers that is kept free for more urgent generations.
 *
 * Pattern: many less urgent generations wait at all gateways and take each piece of memory as it becomes free. The few urgent ones, which
 * may wait for the shortest time, each wait at one gateway and would be refused. Each gateway leaves room for those that arrive while a
 * caller waits for its first event, at the same servers as the other gateways, so that little memory is kept free in total.
 */
import * as crypto from 'node:crypto'
import * as arrivals from './arrival_meter.js'

/** Standard deviations of the number of arrivals that the headroom covers beyond the expected number. */
const coveredDeviations = 1.5
/** Largest part of the decode servers that keep memory free: the rest is there for the less urgent whatever arrives. */
const maximumServersPart = 0.5
/** Limit on the positions that are kept. */
const maximumPositions = 2_048

export class MemoryHeadroom {
  private readonly positions = new Map<string, number>()

  /**
   * Returns the decode servers that keep memory free for generations more urgent than a level, and how much, in tokens. `goalMs` is the
   * time within which a more urgent generation needs its memory.
   */
  select (servers: readonly string[], level: number, rates: arrivals.LeveledArrivals, goalMs: number): ReadonlyMap<string, number> {
    let generations = 0
    let tokens = 0
    for (const [moreGenerations, moreTokens] of rates.slice(0, level)) {
      generations += moreGenerations
      tokens += moreTokens
    }
    const headroom = new Map<string, number>()
    if (generations <= 0) {
      return headroom
    }
    const expected = generations * goalMs / 1000
    const rooms = Math.ceil(expected + coveredDeviations * Math.sqrt(expected))
    const ordered = [...servers].sort((a, b) => this.getPosition(a) - this.getPosition(b))
    const count = Math.min(rooms, Math.floor(servers.length * maximumServersPart))
    for (const server of ordered.slice(0, count)) {
      headroom.set(server, Math.ceil(tokens / generations))
    }
    return headroom
  }

  /** The same position of a server at all gateways. */
  private getPosition (server: string): number {
    let position = this.positions.get(server)
    if (position === undefined) {
      if (this.positions.size >= maximumPositions) {
        this.positions.clear()
      }
      position = crypto.createHash('sha256').update(server).digest().readUInt32BE()
      this.positions.set(server, position)
    }
    return position
  }
}
