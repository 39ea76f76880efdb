/**
 * Time-outs of calls.
 */
import * as host from '../host/types.js'

/** Resolves with the call's result, or with `undefined` if the call fails or takes longer than `timeoutMs`. */
export function awaitWithTimeout<Value> (call: Promise<Value>, timeoutMs: number, clock: host.Clock): Promise<Value | undefined> {
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
