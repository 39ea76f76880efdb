/**
 * Reads request bodies within a size limit and a time-out.
 */
import * as buffer from 'node:buffer'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as http from 'node:http'
import * as settings from '../contracts/settings.js'

/** Fails with `body_too_large`, `body_too_slow` or `caller_gone`; the rest of the body is then left unread. */
export function readBody (
  request: http.IncomingMessage, limits: settings.Limits, clock: host.Clock
): Promise<failures.Result<buffer.Buffer>> {
  const contentLength = Number(request.headers['content-length'] ?? 0)
  if (contentLength > limits.bodyBytes) {
    return Promise.resolve(failures.fail(createTooLarge(limits)))
  }
  return new Promise(resolve => {
    const reader = new Reader(request, limits, result => {
      stopTimer()
      resolve(result)
    })
    const stopTimer = clock.after(limits.bodyTimeoutMs, () => reader.stop(createTooSlow(limits)))
    reader.start()
  })
}

class Reader {
  private readonly chunks: buffer.Buffer[] = []
  private bytes = 0

  constructor (
    private readonly request: http.IncomingMessage,
    private readonly limits: settings.Limits,
    private readonly done: (result: failures.Result<buffer.Buffer>) => void
  ) {}

  start (): void {
    this.request.on('data', this.handleData)
    this.request.on('end', this.handleEnd)
    this.request.on('close', this.handleClose)
  }

  stop (failure: failures.Failure): void {
    this.detach()
    this.request.pause()
    this.done(failures.fail(failure))
  }

  private readonly handleData = (chunk: buffer.Buffer): void => {
    this.bytes += chunk.length
    if (this.bytes > this.limits.bodyBytes) {
      this.stop(createTooLarge(this.limits))
      return
    }
    this.chunks.push(chunk)
  }

  private readonly handleEnd = (): void => {
    this.detach()
    this.done(failures.succeed(buffer.Buffer.concat(this.chunks)))
  }

  private readonly handleClose = (): void => {
    this.stop(failures.createFailure('not_run', 'caller_gone'))
  }

  private detach (): void {
    this.request.off('data', this.handleData)
    this.request.off('end', this.handleEnd)
    this.request.off('close', this.handleClose)
  }
}

function createTooLarge (limits: settings.Limits): failures.Failure {
  return failures.createFailure('not_run', 'body_too_large', [limits.bodyBytes])
}

function createTooSlow (limits: settings.Limits): failures.Failure {
  return failures.createFailure('not_run', 'body_too_slow', [limits.bodyTimeoutMs])
}
