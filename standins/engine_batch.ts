/**
 * Continuous batching: each decode step yields one token for every running request.
 */
import * as engineRequests from './engine_request.js'
import * as host from '../src/host/types.js'

/** Steps made up for at once after the process was late; a longer delay is lost time. */
const maximumLateSteps = 4

export class DecodeBatch {
  private readonly running = new Set<engineRequests.EngineRequest>()
  private nextAtMs = 0
  private isPlanned = false

  /** `getStepMs` returns the time of the next step; `step` yields the tokens of one step. */
  constructor (
    private readonly clock: host.Clock,
    private readonly getStepMs: () => number,
    private readonly step: (running: readonly engineRequests.EngineRequest[]) => void
  ) {}

  get size (): number {
    return this.running.size
  }

  add (request: engineRequests.EngineRequest): void {
    this.running.add(request)
    if (!this.isPlanned) {
      this.nextAtMs = this.clock.monotonicMs() + this.getStepMs()
      this.plan()
    }
  }

  remove (request: engineRequests.EngineRequest): void {
    this.running.delete(request)
  }

  has (request: engineRequests.EngineRequest): boolean {
    return this.running.has(request)
  }

  /** Returns the running request that arrived last. */
  getYoungest (): engineRequests.EngineRequest | undefined {
    let youngest: engineRequests.EngineRequest | undefined
    for (const request of this.running) {
      if (youngest === undefined || request.order > youngest.order) {
        youngest = request
      }
    }
    return youngest
  }

  private plan (): void {
    this.isPlanned = this.running.size > 0
    if (this.isPlanned) {
      this.clock.after(Math.max(0, this.nextAtMs - this.clock.monotonicMs()), () => this.run())
    }
  }

  private run (): void {
    const now = this.clock.monotonicMs()
    let steps = 0
    while (this.running.size > 0 && this.nextAtMs <= now && steps < maximumLateSteps) {
      this.step([...this.running])
      this.nextAtMs += this.getStepMs()
      steps += 1
    }
    this.nextAtMs = Math.max(this.nextAtMs, now)
    this.plan()
  }
}
