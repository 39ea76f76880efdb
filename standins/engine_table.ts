/**
 * Requests of an engine by identifier, and what becomes of those whose callers have gone.
 */
import * as engineRequests from './engine_request.js'
import * as host from '../src/host/types.js'

/** How long a finished request can be resumed, in milliseconds, and how many are kept. */
const finishedKeptMs = 30_000
const maximumRequests = 20_000

export class RequestTable {
  private readonly requests = new Map<string, engineRequests.EngineRequest>()

  constructor (
    private readonly clock: host.Clock,
    private readonly getAbandonMs: () => number,
    private readonly abandon: (request: engineRequests.EngineRequest) => void
  ) {}

  /** Adds a request. A later one with the same identifier takes its place. */
  add (request: engineRequests.EngineRequest): void {
    const { id } = request.completion
    this.requests.delete(id)
    this.requests.set(id, request)
    this.forgetOldest()
  }

  get (id: string): engineRequests.EngineRequest | undefined {
    return this.requests.get(id)
  }

  list (): Iterable<engineRequests.EngineRequest> {
    return this.requests.values()
  }

  /** To be called when a caller has disconnected. */
  noteDetached (request: engineRequests.EngineRequest): void {
    if (request.isOver) {
      this.clock.after(finishedKeptMs, () => this.forget(request))
      return
    }
    this.clock.after(this.getAbandonMs(), () => {
      if (!request.isOver && request.listenerCount === 0) {
        this.abandon(request)
      }
    })
  }

  private forget (request: engineRequests.EngineRequest): void {
    const { id } = request.completion
    if (this.requests.get(id) === request) {
      this.requests.delete(id)
    }
  }

  private forgetOldest (): void {
    for (const [id, request] of this.requests) {
      if (this.requests.size <= maximumRequests) {
        return
      }
      if (request.isOver) {
        this.requests.delete(id)
      }
    }
  }
}
