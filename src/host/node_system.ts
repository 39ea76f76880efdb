/**
 * The `System` of a real process: Node's clock and random numbers, and pino for logs.
 */
import * as crypto from 'node:crypto'
import * as pino from 'pino'
import * as rateLimitedLogs from './rate_limited_log.js'
import * as host from './types.js'

class NodeClock extends host.Clock {
  override monotonicMs (): number {
    return performance.now()
  }

  override wallMs (): number {
    return Date.now()
  }

  override after (delayMs: number, action: () => void): host.Stop {
    const timer = setTimeout(action, delayMs)
    return () => clearTimeout(timer)
  }
}

/** Random bytes per identifier. */
const idBytes = 18
/** Random bytes generated at once. */
const randomPoolBytes = 256 * idBytes

class NodeRandom extends host.Random {
  private pool = Buffer.alloc(0)
  private poolOffset = 0

  override nextUnit (): number {
    return Math.random()
  }

  override nextId (): string {
    if (this.poolOffset === this.pool.length) {
      this.pool = crypto.randomBytes(randomPoolBytes)
      this.poolOffset = 0
    }
    const start = this.poolOffset
    this.poolOffset += idBytes
    return this.pool.toString('base64url', start, this.poolOffset)
  }
}

class PinoLog extends host.Log {
  constructor (private readonly logger: pino.Logger) {
    super()
  }

  override info (message: string, fields?: host.LogFields): void {
    this.logger.info(fields ?? {}, message)
  }

  override warn (message: string, fields?: host.LogFields): void {
    this.logger.warn(fields ?? {}, message)
  }

  override error (message: string, fields?: host.LogFields): void {
    this.logger.error(fields ?? {}, message)
  }
}

/** A log that discards everything. */
export class SilentLog extends host.Log {
  override info (): void {}
  override warn (): void {}
  override error (): void {}
}

class NodeSystem extends host.System {
  override readonly clock = new NodeClock()
  override readonly random = new NodeRandom()

  constructor (override readonly log: host.Log) {
    super()
  }
}

/** Creates a system that logs to standard error as JSON. */
export function createNodeSystem (node: string, level: string): host.System {
  const logger = pino.pino({ level, base: { node } }, pino.destination({ fd: 2, sync: true }))
  return new NodeSystem(new PinoLog(logger))
}

/** Limit of buffered log output; further lines are dropped while standard output can't keep up. */
const maximumBufferedLogBytes = 1_048_576
/** Log output is written in chunks of this size, or when the flush period ends. */
const logChunkBytes = 4_096
const logFlushPeriodMs = 100

/** Creates a system that logs to standard output as JSON, with a rate limit and without blocking on output. */
export function createStdoutSystem (node: string): host.System {
  const destination = pino.destination({
    fd: 1, sync: false, minLength: logChunkBytes, maxLength: maximumBufferedLogBytes, periodicFlush: logFlushPeriodMs
  })
  const logger = pino.pino({ level: 'info', base: { node } }, destination)
  const { clock } = new NodeSystem(new SilentLog())
  return new NodeSystem(new rateLimitedLogs.RateLimitedLog(new PinoLog(logger), clock))
}

/** Creates a system that logs to `log`. */
export function createSystem (log: host.Log): host.System {
  return new NodeSystem(log)
}

/** Creates a system that does not log. */
export function createSilentSystem (): host.System {
  return createSystem(new SilentLog())
}
