/**
 * Points in time at which something is due, earliest first.
 */
import * as heaps from './heap.js'

interface Entry<Value> {
  readonly atMs: number
  readonly order: number
  readonly value: Value
}

/** Deadlines of the same time come due in the order of their addition. */
export class Deadlines<Value> {
  private readonly heap = new heaps.Heap<Entry<Value>>(isEarlier)
  private nextOrder = 0

  /** The earliest deadline, or `undefined`. */
  get nextMs (): number | undefined {
    return this.heap.first?.atMs
  }

  add (atMs: number, value: Value): void {
    this.nextOrder += 1
    this.heap.add({ atMs, order: this.nextOrder, value })
  }

  /** Removes and returns the earliest value that is due; `undefined` if there is none. */
  takeDue (nowMs: number): Value | undefined {
    const first = this.heap.first
    if (first === undefined || first.atMs > nowMs) {
      return undefined
    }
    return this.heap.takeFirst()?.value
  }
}

function isEarlier (one: Entry<unknown>, other: Entry<unknown>): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order)
}
