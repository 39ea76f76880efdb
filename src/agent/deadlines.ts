/**
 * A priority queue of deadlines, earliest first.
 */
import * as heaps from './heap.js'

interface Entry<Value> {
  readonly atMs: number
  readonly order: number
  readonly value: Value
}

/** Values with equal deadlines are returned in insertion order. */
export class Deadlines<Value> {
  private readonly heap = new heaps.Heap<Entry<Value>>(isEarlier)
  private nextOrder = 0

  /** The earliest deadline; `undefined` if there is none. */
  get nextMs (): number | undefined {
    return this.heap.first?.atMs
  }

  add (atMs: number, value: Value): void {
    this.nextOrder += 1
    this.heap.add({ atMs, order: this.nextOrder, value })
  }

  /** Removes and returns the value with the earliest deadline; `undefined` if none is due. */
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
