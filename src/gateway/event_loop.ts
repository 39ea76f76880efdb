/**
 * Order of timers and sockets in the event loop.
 */

/**
 * Calls back once the event loop has read what lies in the sockets, and the ends of connections behind it. When the process has stood still,
 * expired timers run before sockets are read, and the bytes of a socket are read one turn of the loop before its end: what is missing may have
 * been there in time, and who sent it may have left.
 */
export function afterSocketReads (action: () => void): void {
  setImmediate(() => setImmediate(action))
}
