/**
 * Prefill: one prompt at a time, at a rate in tokens a second.
 */
import * as engineOptions from './engine_options.js'
import * as engineRequests from './engine_request.js'
import * as host from '../src/host/types.js'

const secondMs = 1000

export class PrefillUnit {
  private current: engineRequests.EngineRequest | undefined
  private startedAtMs = 0
  private tokens = 0
  private stopTimer: host.Stop = () => {}

  constructor (private readonly clock: host.Clock, private readonly options: engineOptions.EngineOptions) {}

  get isBusy (): boolean {
    return this.current !== undefined
  }

  /** Computes `tokens` tokens of the request; the unit must be free. */
  start (request: engineRequests.EngineRequest, tokens: number, done: () => void): void {
    const { prefillTokensPerSecond, prefillOverheadMs } = this.options
    this.current = request
    this.tokens = tokens
    this.startedAtMs = this.clock.monotonicMs()
    const durationMs = prefillOverheadMs + tokens / prefillTokensPerSecond * secondMs
    this.stopTimer = this.clock.after(durationMs, () => {
      this.current = undefined
      done()
    })
  }

  /** Breaks the prefill of a request off and returns the tokens computed in vain; 0 if it is not under way. */
  stop (request: engineRequests.EngineRequest): number {
    if (this.current !== request) {
      return 0
    }
    this.stopTimer()
    this.current = undefined
    const elapsedMs = this.clock.monotonicMs() - this.startedAtMs
    return Math.min(this.tokens, Math.floor(elapsedMs / secondMs * this.options.prefillTokensPerSecond))
  }
}
