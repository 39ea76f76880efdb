/**
 * Errors of HTTP calls to a backend server.
 */

/** Error codes that prove that the request was not sent. */
const connectErrors: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'
])

/** Tells whether the connection could not be opened, so that the request was not sent. */
export function isConnectError (error: unknown): boolean {
  return connectErrors.has(getCode(error))
}

export function describeError (error: unknown): string {
  const code = getCode(error)
  const message = error instanceof Error ? error.message : String(error)
  return code === '' || message.includes(code) ? message : `${code}: ${message}`
}

function getCode (error: unknown): string {
  if (typeof error !== 'object' || error === null || !('code' in error)) {
    return ''
  }
  return String(error.code)
}
