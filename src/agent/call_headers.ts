/**
 * Filters the headers of calls to plain services and of their responses.
 */

/** Hop-by-hop headers, and headers that would disclose the caller or its API key to a backend server. */
const withheld: ReadonlySet<string> = new Set([
  'authorization', 'cookie', 'set-cookie2', 'x-api-key', 'connection', 'content-length', 'expect', 'forwarded', 'host',
  'http2-settings', 'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Returns the request headers to forward to the backend server. */
export function selectRequestHeaders (headers: Readonly<Record<string, string>>): Record<string, string> {
  const selected: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    const lowerName = name.toLowerCase()
    if (!isWithheld(lowerName)) {
      selected[lowerName] = value
    }
  }
  return selected
}

/** Returns the response headers to forward to the caller. */
export function selectResponseHeaders (
  headers: Readonly<Record<string, string | readonly string[] | undefined>>
): Record<string, string> {
  const selected: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !isWithheld(name)) {
      selected[name] = typeof value === 'string' ? value : value.join(', ')
    }
  }
  return selected
}

function isWithheld (lowerName: string): boolean {
  return withheld.has(lowerName) || lowerName.startsWith('proxy-')
}
