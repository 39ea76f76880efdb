/**
 * Reads the body of a caller's request whole.
 */
import * as buffer from 'node:buffer'
import type * as http from 'node:http'
import * as failures from '../contracts/failure.js'

/** Reads up to the limit; the rest of a longer body is read and dropped, so that the refusal reaches the caller. */
export function readBody (request: http.IncomingMessage, limitBytes: number): Promise<failures.Result<buffer.Buffer | undefined>> {
  return new Promise(resolve => {
    const chunks: buffer.Buffer[] = []
    let bytes = 0
    request.on('data', (chunk: buffer.Buffer) => {
      bytes += chunk.length
      if (bytes <= limitBytes) {
        chunks.push(chunk)
      }
    })
    request.on('end', () => {
      if (bytes > limitBytes) {
        resolve(failures.fail(failures.createFailure('not_run', 'body_too_large', [limitBytes])))
        return
      }
      const isEmpty = bytes === 0 && request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined
      resolve(failures.succeed(isEmpty ? undefined : buffer.Buffer.concat(chunks)))
    })
    const leave = (): void => resolve(failures.fail(failures.createFailure('not_run', 'caller_gone')))
    request.on('error', leave)
    request.on('close', () => {
      if (!request.complete) {
        leave()
      }
    })
  })
}
