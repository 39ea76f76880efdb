/**
 * Calls of a stand-in over HTTP, for tests and tools.
 */
import * as undici from 'undici'

export interface Reply {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
  /** The body as JSON; `undefined` if it is not JSON. */
  readonly json: any
}

/** Sends one request; throws when the connection fails. */
export async function send (
  method: undici.Dispatcher.HttpMethod, url: string, body?: unknown, headers: Readonly<Record<string, string>> = {}
): Promise<Reply> {
  const response = await undici.request(url, {
    method,
    headers: { 'content-type': 'application/json', ...headers },
    ...(body === undefined ? {} : { body: JSON.stringify(body) })
  })
  const text = await response.body.text()
  return { status: response.statusCode, headers: response.headers, text, json: tryParse(text) }
}

export function get (url: string): Promise<Reply> {
  return send('GET', url)
}

export function post (url: string, body: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Reply> {
  return send('POST', url, body, headers)
}

function tryParse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
