/**
 * Weighted fair queue by virtual token counter (VTC): the workspace with the fewest tokens served per weight goes first.
 * The order within a workspace is FIFO.
 */
import * as heaps from './heap.js'

/** The properties of an item that the queue uses. */
export interface Queued {
  readonly workspace: string
  /** The workspace's weight. */
  readonly weight: number
  /** Expected tokens of the whole item. */
  readonly cost: number
  /** Expected pieces of memory. */
  readonly pieces: number
}

/** Sums over queued items. */
export interface Backlog {
  count: number
  cost: number
  pieces: number
}

interface Lane<Item extends Queued> extends Backlog {
  readonly workspace: string
  weight: number
  /** Tokens served, divided by the weight. */
  counter: number
  /** Key in the heap, at most `counter`; `peek` updates it lazily. */
  key: number
  /** Position among equal keys; -1 if not in the heap. */
  order: number
  readonly items: Set<Item>
  /** Number of items that were taken and have not ended. */
  active: number
}

export class FairQueue<Item extends Queued> {
  private readonly lanes = new Map<string, Lane<Item>>()
  private readonly heap = new heaps.Heap<Lane<Item>>(isBefore)
  private readonly total: Backlog = { count: 0, cost: 0, pieces: 0 }
  private nextOrder = 0
  /** Highest counter at which a workspace was served; the minimum counter of a workspace that becomes active again. */
  private floor = 0

  get size (): number {
    return this.total.count
  }

  /** Sums over all queued items. */
  get backlog (): Readonly<Backlog> {
    return this.total
  }

  add (item: Item): void {
    const lane = this.getLane(item)
    if (lane.items.size === 0) {
      this.activate(lane)
    }
    lane.items.add(item)
    addTo(lane, item, 1)
    addTo(this.total, item, 1)
  }

  /** Removes an item; returns false if it was not queued. */
  remove (item: Item): boolean {
    const lane = this.lanes.get(item.workspace)
    if (lane === undefined || !lane.items.delete(item)) {
      return false
    }
    addTo(lane, item, -1)
    addTo(this.total, item, -1)
    return true
  }

  /** Returns the next item without removing it. */
  peek (): Item | undefined {
    for (;;) {
      const lane = this.heap.first
      if (lane === undefined) {
        return undefined
      }
      if (lane.items.size === 0) {
        this.heap.takeFirst()
        lane.order = -1
        continue
      }
      if (lane.key < lane.counter) {
        lane.key = lane.counter
        this.heap.siftDown()
        continue
      }
      return lane.items.values().next().value
    }
  }

  /** Removes the item that `peek` returned, and counts it as active. */
  take (item: Item): void {
    const lane = this.lanes.get(item.workspace)
    if (lane === undefined || !this.remove(item)) {
      return
    }
    this.floor = Math.max(this.floor, lane.counter)
    lane.active += 1
  }

  /** Counts an item as active that was not queued. */
  begin (item: Item): void {
    const lane = this.getLane(item)
    if (lane.items.size === 0) {
      lane.counter = Math.max(lane.counter, this.getStart())
    }
    lane.active += 1
  }

  /**
   * Returns the last item of the workspace with the largest backlog per weight. Returns `undefined` if no backlog is
   * larger than that of the newcomer's workspace would be.
   */
  findYielding (newcomer: Item): Item | undefined {
    const own = this.lanes.get(newcomer.workspace)
    let longest = ((own?.cost ?? 0) + newcomer.cost) / newcomer.weight
    let yielding: Lane<Item> | undefined
    for (const lane of this.heap.unordered) {
      if (lane !== own && lane.cost / lane.weight > longest) {
        longest = lane.cost / lane.weight
        yielding = lane
      }
    }
    return yielding === undefined ? undefined : getLast(yielding.items)
  }

  /** Adds served tokens to the counter of the item's workspace. */
  charge (item: Item, tokens: number): void {
    const lane = this.lanes.get(item.workspace)
    if (lane !== undefined) {
      lane.counter += tokens / item.weight
    }
  }

  /** Counts an active item as ended. */
  end (item: Item): void {
    const lane = this.lanes.get(item.workspace)
    if (lane !== undefined) {
      lane.active -= 1
    }
  }

  /** Returns the tokens served to a workspace, divided by its weight. */
  getCounter (workspace: string): number | undefined {
    return this.lanes.get(workspace)?.counter
  }

  /** Removes idle workspaces whose counter is not above the minimum for a return. */
  prune (): void {
    for (const lane of this.lanes.values()) {
      const isIdle = lane.order < 0 && lane.active === 0
      if (isIdle && lane.counter <= this.floor) {
        this.lanes.delete(lane.workspace)
      }
    }
  }

  /** Estimates the work served before a new item of a workspace. The weight defaults to the last one seen. */
  estimateAhead (workspace: string, givenWeight: number | undefined): Backlog {
    const own = this.lanes.get(workspace)
    const weight = givenWeight ?? own?.weight ?? 1
    const isBacklogged = own !== undefined && own.items.size > 0
    const counter = isBacklogged ? own.counter : Math.max(own?.counter ?? 0, this.getStart())
    const turn = counter + (own?.cost ?? 0) / weight
    const ahead: Backlog = { count: own?.count ?? 0, cost: own?.cost ?? 0, pieces: own?.pieces ?? 0 }
    for (const lane of this.heap.unordered) {
      if (lane === own || lane.cost === 0) {
        continue
      }
      const share = Math.min(1, Math.max(0, (turn - lane.counter) * lane.weight / lane.cost))
      ahead.count += lane.count * share
      ahead.cost += lane.cost * share
      ahead.pieces += lane.pieces * share
    }
    return ahead
  }

  private getLane (item: Item): Lane<Item> {
    const known = this.lanes.get(item.workspace)
    if (known !== undefined) {
      known.weight = item.weight
      return known
    }
    const lane: Lane<Item> = {
      workspace: item.workspace, weight: item.weight, counter: 0, key: 0, order: -1, items: new Set(), active: 0, count: 0, cost: 0, pieces: 0
    }
    this.lanes.set(item.workspace, lane)
    return lane
  }

  /** Adds a workspace to the heap. Raises its counter to the current minimum, so that idle time earns no credit. */
  private activate (lane: Lane<Item>): void {
    lane.counter = Math.max(lane.counter, this.getStart())
    if (lane.order >= 0) {
      return
    }
    lane.order = this.nextOrder
    this.nextOrder += 1
    lane.key = lane.counter
    this.heap.add(lane)
  }

  private getStart (): number {
    const first = this.peek()
    return first === undefined ? this.floor : (this.lanes.get(first.workspace)?.counter ?? this.floor)
  }
}

function isBefore (one: Lane<Queued>, other: Lane<Queued>): boolean {
  return one.key < other.key || (one.key === other.key && one.order < other.order)
}

function getLast<Item> (items: ReadonlySet<Item>): Item | undefined {
  let last: Item | undefined
  for (const item of items) {
    last = item
  }
  return last
}

function addTo (sum: Backlog, item: Queued, sign: 1 | -1): void {
  sum.count += sign
  sum.cost += sign * item.cost
  sum.pieces += sign * item.pieces
}
