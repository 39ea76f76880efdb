/**
 * Order of timers and sockets in the event loop.
 */
import * as host from './types.js'

/**
 * Calls back once the event loop has read what lies in the sockets, and the ends of connections behind it. When the process has stood still,
 * expired timers run before sockets are read, and the bytes of a socket are read one turn of the loop before its end: what is missing may have
 * been there in time, and who sent it may have left.
 */
export function afterSocketReads (action: () => void): void {
  setImmediate(() => setImmediate(action))
}

/** Resolves once the event loop has read what lies in the sockets, see `afterSocketReads`. */
export function readSockets (): Promise<void> {
  return new Promise(resolve => afterSocketReads(resolve))
}

/** Calls back when the time in milliseconds is over and what had come until then has been read. */
export function afterTimeout (clock: host.Clock, timeoutMs: number, action: () => void): host.Stop {
  let isStopped = false
  const stop = clock.after(timeoutMs, () => afterSocketReads(() => {
    if (!isStopped) {
      action()
    }
  }))
  return () => {
    isStopped = true
    stop()
  }
}
