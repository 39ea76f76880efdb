/**
 * Requests that wait for memory or a slot, by priority and then by arrival.
 */
import * as engineRequests from './engine_request.js'

export class WaitingQueue {
  private readonly requests: engineRequests.EngineRequest[] = []

  get size (): number {
    return this.requests.length
  }

  /** Returns the requests in the order in which they are to start. */
  list (): readonly engineRequests.EngineRequest[] {
    return [...this.requests]
  }

  add (request: engineRequests.EngineRequest): void {
    const index = this.requests.findIndex(other => goesBefore(request, other))
    this.requests.splice(index < 0 ? this.requests.length : index, 0, request)
  }

  /** Removes a request if it is here. */
  remove (request: engineRequests.EngineRequest): void {
    const index = this.requests.indexOf(request)
    if (index >= 0) {
      this.requests.splice(index, 1)
    }
  }
}

function goesBefore (first: engineRequests.EngineRequest, second: engineRequests.EngineRequest): boolean {
  if (first.completion.priority !== second.completion.priority) {
    return first.completion.priority < second.completion.priority
  }
  return first.order < second.order
}
