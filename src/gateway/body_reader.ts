/**
 * Buffers the body of a caller's request.
 */
import type * as buffer from 'node:buffer'
import type * as http from 'node:http'
import * as byteCollectors from './byte_collector.js'
import * as eventLoop from '../host/event_loop.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'

/**
 * Reads up to the limit. The rest of a longer body is read and discarded, so that the refusal reaches the caller.
 * Fails with `body_too_large`, `body_too_slow` after `timeoutMs`, or `caller_gone` when `gone` is aborted or the caller breaks off.
 */
export function readBody (
  request: http.IncomingMessage, limitBytes: number, timeoutMs: number, clock: host.Clock, gone: AbortSignal
): Promise<failures.Result<buffer.Buffer | undefined>> {
  return new Promise(resolve => {
    let isSettled = false
    const finish = (result: failures.Result<buffer.Buffer | undefined>): void => {
      isSettled = true
      stopTimer()
      gone.removeEventListener('abort', failGone)
      resolve(result)
    }
    const stopTimer = eventLoop.afterTimeout(clock, timeoutMs, () => {
      finish(failures.fail(failures.createFailure('not_run', 'body_too_slow', [Math.round(timeoutMs)])))
    })
    const body = new byteCollectors.ByteCollector()
    let bytes = 0
    request.on('data', (chunk: buffer.Buffer) => {
      bytes += chunk.length
      if (bytes <= limitBytes && !isSettled) {
        body.add(chunk)
      }
    })
    request.on('end', () => {
      if (bytes > limitBytes) {
        finish(failures.fail(failures.createFailure('not_run', 'body_too_large', [limitBytes])))
        return
      }
      const isEmpty = bytes === 0 && request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined
      finish(failures.succeed(isEmpty ? undefined : body.view()))
    })
    const failGone = (): void => finish(failures.fail(failures.createFailure('not_run', 'caller_gone')))
    gone.addEventListener('abort', failGone)
    request.on('error', failGone)
    request.on('close', () => {
      if (!request.complete) {
        failGone()
      }
    })
  })
}
