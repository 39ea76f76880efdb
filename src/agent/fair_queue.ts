/**
 * Weighted fair queue by virtual token counter (VTC): the workspace with the fewest tokens served per weight goes first.
 * The order within a workspace is FIFO.
 */
import * as heaps from './heap.js'

/** The properties of an item that the queue uses. */
export interface QueuedItem {
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

interface WorkspaceQueue<Item extends QueuedItem> extends Backlog {
  readonly workspace: string
  weight: number
  /** Tokens served, divided by the weight. */
  counter: number
  /** Key in the heap, at most `counter`; `peek` updates it lazily. */
  heapKey: number
  /** Position among equal keys; -1 if not in the heap. */
  order: number
  readonly items: Set<Item>
  /** Number of items that were taken and have not ended. */
  active: number
}

export class FairQueue<Item extends QueuedItem> {
  private readonly workspaceQueues = new Map<string, WorkspaceQueue<Item>>()
  private readonly heap = new heaps.Heap<WorkspaceQueue<Item>>(isBefore)
  private readonly total: Backlog = { count: 0, cost: 0, pieces: 0 }
  private nextOrder = 0
  /** Highest counter at which a workspace was served; the minimum counter of a workspace that becomes active again. */
  private minimumCounter = 0

  get size (): number {
    return this.total.count
  }

  /** Sums over all queued items. */
  get backlog (): Readonly<Backlog> {
    return this.total
  }

  add (item: Item): void {
    const queue = this.getWorkspaceQueue(item)
    if (queue.items.size === 0) {
      this.activate(queue)
    }
    queue.items.add(item)
    addTo(queue, item, 1)
    addTo(this.total, item, 1)
  }

  /** Removes an item; returns false if it was not queued. */
  remove (item: Item): boolean {
    const queue = this.workspaceQueues.get(item.workspace)
    if (queue === undefined || !queue.items.delete(item)) {
      return false
    }
    addTo(queue, item, -1)
    addTo(this.total, item, -1)
    return true
  }

  /** Returns the next item without removing it. */
  peek (): Item | undefined {
    for (;;) {
      const queue = this.heap.first
      if (queue === undefined) {
        return undefined
      }
      if (queue.items.size === 0) {
        this.heap.takeFirst()
        queue.order = -1
        continue
      }
      if (queue.heapKey < queue.counter) {
        queue.heapKey = queue.counter
        this.heap.siftDown()
        continue
      }
      return queue.items.values().next().value
    }
  }

  /** Removes the item that `peek` returned, and counts it as active. */
  take (item: Item): void {
    const queue = this.workspaceQueues.get(item.workspace)
    if (queue === undefined || !this.remove(item)) {
      return
    }
    this.minimumCounter = Math.max(this.minimumCounter, queue.counter)
    queue.active += 1
  }

  /** Counts an item as active that was not queued. */
  startUnqueued (item: Item): void {
    const queue = this.getWorkspaceQueue(item)
    if (queue.items.size === 0) {
      queue.counter = Math.max(queue.counter, this.getStartCounter())
    }
    queue.active += 1
  }

  /**
   * Returns the last item of the workspace with the largest backlog per weight. Returns `undefined` if no backlog is
   * larger than that of the newcomer's workspace would be.
   */
  findDisplaced (newcomer: Item): Item | undefined {
    const own = this.workspaceQueues.get(newcomer.workspace)
    let largestBacklog = ((own?.cost ?? 0) + newcomer.cost) / newcomer.weight
    let largest: WorkspaceQueue<Item> | undefined
    for (const queue of this.heap.unordered) {
      if (queue !== own && queue.cost / queue.weight > largestBacklog) {
        largestBacklog = queue.cost / queue.weight
        largest = queue
      }
    }
    return largest === undefined ? undefined : getLast(largest.items)
  }

  /** Adds served tokens to the counter of the item's workspace. */
  charge (item: Item, tokens: number): void {
    const queue = this.workspaceQueues.get(item.workspace)
    if (queue !== undefined) {
      queue.counter += tokens / item.weight
    }
  }

  /** Counts an active item as ended. */
  end (item: Item): void {
    const queue = this.workspaceQueues.get(item.workspace)
    if (queue !== undefined) {
      queue.active -= 1
    }
  }

  /** Returns the tokens served to a workspace, divided by its weight. */
  getCounter (workspace: string): number | undefined {
    return this.workspaceQueues.get(workspace)?.counter
  }

  /** Removes idle workspaces whose counter is not above the minimum for a return. */
  prune (): void {
    for (const queue of this.workspaceQueues.values()) {
      const isIdle = queue.order < 0 && queue.active === 0
      if (isIdle && queue.counter <= this.minimumCounter) {
        this.workspaceQueues.delete(queue.workspace)
      }
    }
  }

  /** Estimates the work served before a new item of a workspace. The weight defaults to the last one seen. */
  estimateAhead (workspace: string, givenWeight: number | undefined): Backlog {
    const own = this.workspaceQueues.get(workspace)
    const weight = givenWeight ?? own?.weight ?? 1
    const isBacklogged = own !== undefined && own.items.size > 0
    const counter = isBacklogged ? own.counter : Math.max(own?.counter ?? 0, this.getStartCounter())
    const finalCounter = counter + (own?.cost ?? 0) / weight
    const ahead: Backlog = { count: own?.count ?? 0, cost: own?.cost ?? 0, pieces: own?.pieces ?? 0 }
    for (const queue of this.heap.unordered) {
      if (queue === own || queue.cost === 0) {
        continue
      }
      const share = Math.min(1, Math.max(0, (finalCounter - queue.counter) * queue.weight / queue.cost))
      ahead.count += queue.count * share
      ahead.cost += queue.cost * share
      ahead.pieces += queue.pieces * share
    }
    return ahead
  }

  private getWorkspaceQueue (item: Item): WorkspaceQueue<Item> {
    const known = this.workspaceQueues.get(item.workspace)
    if (known !== undefined) {
      known.weight = item.weight
      return known
    }
    const queue: WorkspaceQueue<Item> = {
      workspace: item.workspace, weight: item.weight, counter: 0, heapKey: 0, order: -1, items: new Set(), active: 0, count: 0, cost: 0, pieces: 0
    }
    this.workspaceQueues.set(item.workspace, queue)
    return queue
  }

  /** Adds a workspace to the heap. Raises its counter to the current minimum, so that idle time earns no credit. */
  private activate (queue: WorkspaceQueue<Item>): void {
    queue.counter = Math.max(queue.counter, this.getStartCounter())
    if (queue.order >= 0) {
      return
    }
    queue.order = this.nextOrder
    this.nextOrder += 1
    queue.heapKey = queue.counter
    this.heap.add(queue)
  }

  private getStartCounter (): number {
    const first = this.peek()
    return first === undefined ? this.minimumCounter : (this.workspaceQueues.get(first.workspace)?.counter ?? this.minimumCounter)
  }
}

function isBefore (one: WorkspaceQueue<QueuedItem>, other: WorkspaceQueue<QueuedItem>): boolean {
  return one.heapKey < other.heapKey || (one.heapKey === other.heapKey && one.order < other.order)
}

function getLast<Item> (items: ReadonlySet<Item>): Item | undefined {
  let last: Item | undefined
  for (const item of items) {
    last = item
  }
  return last
}

function addTo (backlog: Backlog, item: QueuedItem, sign: 1 | -1): void {
  backlog.count += sign
  backlog.cost += sign * item.cost
  backlog.pieces += sign * item.pieces
}
