/**
 * Clock of a stand-in process, with an optional scale: at scale 10, simulated time passes ten times as fast.
 * Its timers do not keep the process alive; the listener does.
 */
import * as host from '../src/host/types.js'

export class RealClock extends host.Clock {
  /** `scale` is simulated milliseconds per real millisecond. */
  constructor (private readonly scale = 1) {
    super()
  }

  override monotonicMs (): number {
    return performance.now() * this.scale
  }

  override wallMs (): number {
    return Date.now()
  }

  override after (delayMs: number, action: () => void): host.Stop {
    const timer = setTimeout(action, delayMs / this.scale)
    timer.unref()
    return () => clearTimeout(timer)
  }
}
