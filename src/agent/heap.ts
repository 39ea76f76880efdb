/**
 * A binary heap.
 */
export class Heap<Item> {
  private readonly items: Item[] = []

  constructor (private readonly isBefore: (one: Item, other: Item) => boolean) {}

  get size (): number {
    return this.items.length
  }

  get first (): Item | undefined {
    return this.items[0]
  }

  /** All items, in no particular order. */
  get unordered (): readonly Item[] {
    return this.items
  }

  add (item: Item): void {
    this.items.push(item)
    this.siftUp(this.items.length - 1)
  }

  takeFirst (): Item | undefined {
    const first = this.items[0]
    const last = this.items.pop()
    if (last !== undefined && this.items.length > 0) {
      this.items[0] = last
      this.siftDown()
    }
    return first
  }

  /** Restores the heap order after the key of the first item has increased. */
  siftDown (): void {
    let index = 0
    for (;;) {
      const least = this.getLeast(index)
      if (least === index) {
        return
      }
      this.swap(index, least)
      index = least
    }
  }

  private siftUp (start: number): void {
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.isOrdered(index, parent)) {
        return
      }
      this.swap(index, parent)
      index = parent
    }
  }

  private getLeast (index: number): number {
    const left = 2 * index + 1
    const right = left + 1
    let least = index
    if (left < this.items.length && this.isOrdered(left, least)) {
      least = left
    }
    if (right < this.items.length && this.isOrdered(right, least)) {
      least = right
    }
    return least
  }

  private isOrdered (first: number, second: number): boolean {
    return this.isBefore(this.items[first] as Item, this.items[second] as Item)
  }

  private swap (first: number, second: number): void {
    const item = this.items[first] as Item
    this.items[first] = this.items[second] as Item
    this.items[second] = item
  }
}
