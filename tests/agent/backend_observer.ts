/**
 * Collects what a backend reports about one order.
 */
import * as backends from '../../src/agent/backend.js'
import * as failures from '../../src/contracts/failure.js'
import * as types from '../../src/agent/types.js'
import * as work from '../../src/contracts/work.js'

export class CollectingObserver extends backends.BackendObserver {
  text = ''
  tokens = 0
  completion: types.Completion | undefined
  failure: failures.Failure | undefined
  released: boolean | undefined
  /** Resolves when the order has ended. */
  readonly ended: Promise<void>
  private resolveEnded: () => void = () => {}
  private readonly waiters: { readonly tokens: number, readonly resolve: () => void }[] = []

  constructor () {
    super()
    this.ended = new Promise(resolve => { this.resolveEnded = resolve })
  }

  /** Resolves once the given number of tokens has been received. */
  waitForTokens (tokens: number): Promise<void> {
    return new Promise(resolve => this.waiters.push({ tokens, resolve }))
  }

  override progress (_order: number, text: string, tokens: number): void {
    this.text += text
    this.tokens += tokens
    for (const waiter of this.waiters) {
      if (this.tokens >= waiter.tokens) {
        waiter.resolve()
      }
    }
  }

  override finished (_order: number, completion: types.Completion): void {
    this.completion = completion
    this.resolveEnded()
  }

  override failed (_order: number, failure: failures.Failure, released: boolean): void {
    this.failure = failure
    this.released = released
    this.resolveEnded()
  }
}

export function createOrder (order: number, task: work.Task, fence = 5): types.Order {
  return { order, fence, id: { request: 'r', attempt: `a${order}` }, workspace: 'w', task }
}

/** Launches an order and waits for its end. */
export async function runOrder (backend: backends.Backend, order: types.Order): Promise<CollectingObserver> {
  const observer = new CollectingObserver()
  backend.launch(order, observer)
  await observer.ended
  return observer
}
