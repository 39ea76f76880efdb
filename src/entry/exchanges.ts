/**
 * The callers' requests in flight. Their number is limited, requests whose key is withdrawn are ended, and a graceful
 * shutdown waits for the last one.
 */
import * as authenticators from './authenticator.js'
import type * as bodyIntakes from '../gateway/caller_memory/body_intake.js'
import * as callerMemories from './caller_memory.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as http from 'node:http'
import * as replies from './reply.js'
import * as settings from '../contracts/settings.js'
import * as types from './types.js'

/** Period of the check of requests in flight against configuration changes, in milliseconds. */
const sweepPeriodMs = 500

/** One caller's request and its answer. */
export class Exchange {
  readonly id: string
  readonly receivedAtMs: number
  readonly reply: replies.Reply
  caller: authenticators.Caller | undefined
  private readonly controller = new AbortController()
  private readonly stopTimer: host.Stop

  constructor (
    context: types.EntryContext,
    memory: callerMemories.CallerMemory,
    readonly request: http.IncomingMessage,
    readonly response: http.ServerResponse,
    readonly body: bodyIntakes.BodyIntake
  ) {
    const { limits, system } = context
    this.id = system.random.nextId()
    this.receivedAtMs = system.clock.monotonicMs()
    this.reply = new replies.Reply(response, limits, system.clock, memory, () => this.abort(createStalledFailure(limits)))
    this.stopTimer = system.clock.after(limits.requestTimeoutMs, () => this.abort(createTimeoutFailure(limits)))
    response.once('close', () => this.handleClose())
  }

  /** Aborted, with a `Failure` as its reason, when the request must end immediately. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  abort (failure: failures.Failure): void {
    if (!this.controller.signal.aborted) {
      this.controller.abort(failure)
    }
  }

  close (): void {
    this.stopTimer()
  }

  private handleClose (): void {
    if (!this.response.writableFinished) {
      this.abort(failures.createFailure('may_have_run', 'caller_gone'))
    }
  }
}

function createStalledFailure (limits: settings.Limits): failures.Failure {
  return failures.createFailure('may_have_run', 'caller_stalled', [limits.stalledCallerMs])
}

function createTimeoutFailure (limits: settings.Limits): failures.Failure {
  return failures.createFailure('may_have_run', 'request_timeout', [limits.requestTimeoutMs])
}

export class Exchanges {
  private readonly open = new Set<Exchange>()
  private readonly waiters: (() => void)[] = []
  private readonly stopSweeping: host.Stop
  private sweptVersion = 0

  constructor (
    private readonly surroundings: types.EntryContext,
    private readonly authenticator: authenticators.Authenticator
  ) {
    this.stopSweeping = surroundings.system.clock.every(sweepPeriodMs, () => this.sweep())
  }

  get size (): number {
    return this.open.size
  }

  add (exchange: Exchange): void {
    this.open.add(exchange)
  }

  /** Removes a request that has ended, once its answer has left or its caller is gone. */
  remove (exchange: Exchange): void {
    exchange.close()
    if (exchange.response.closed) {
      this.drop(exchange)
      return
    }
    exchange.response.once('close', () => this.drop(exchange))
  }

  private drop (exchange: Exchange): void {
    this.open.delete(exchange)
    if (this.open.size > 0) {
      return
    }
    for (const wake of this.waiters.splice(0)) {
      wake()
    }
  }

  /** Stops the periodic check of keys. No request may be added afterwards. */
  stop (): void {
    this.stopSweeping()
  }

  /** Resolves once no request is in flight and no answer is left to be written. */
  async waitUntilEmpty (): Promise<void> {
    if (this.open.size > 0) {
      await new Promise<void>(resolve => this.waiters.push(resolve))
    }
  }

  /** Aborts the requests whose keys are no longer valid. */
  private sweep (): void {
    const { version } = this.surroundings.configuration
    if (version === this.sweptVersion) {
      return
    }
    this.sweptVersion = version
    for (const exchange of this.open) {
      const { caller } = exchange
      const failure = caller && this.authenticator.check(caller.keyHash, caller.workspace)
      if (failure !== undefined) {
        exchange.abort(failure)
      }
    }
  }
}
