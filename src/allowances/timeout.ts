/**
 * Bounds the wait for a call.
 */
import * as host from '../host/types.js'

/** Resolves with the call's result, or with `undefined` after `timeoutMs` milliseconds. */
export function limitCall<Value> (call: Promise<Value>, timeoutMs: number, clock: host.Clock): Promise<Value | undefined> {
  return new Promise(resolve => {
    const stop = clock.after(timeoutMs, () => resolve(undefined))
    call.then(value => {
      stop()
      resolve(value)
    }, () => {
      stop()
      resolve(undefined)
    })
  })
}
