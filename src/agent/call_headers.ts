/**
 * Headers of calls to plain services: which pass, in either direction.
 */

/** Headers that belong to one connection, or that would tell a backend server who called with which key. */
const withheld: ReadonlySet<string> = new Set([
  'authorization', 'cookie', 'set-cookie2', 'x-api-key', 'connection', 'content-length', 'expect', 'forwarded', 'host',
  'http2-settings', 'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade'
])

/** Returns the headers of a call that go to a backend server. */
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

/** Returns the headers of an answer that go back. */
export function selectAnswerHeaders (
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
