/**
 * Order of timers and sockets in the event loop.
 */

/**
 * Calls back once the event loop has read what lies in the sockets. When the process was stopped for a while, expired timers run before the
 * sockets are read: what they find missing may have been there in time.
 */
export function afterSocketReads (action: () => void): void {
  setImmediate(action)
}
