/**
 * Checks a request's headers before anything uses them. Ambiguous headers, which two parsers could interpret
 * differently (request smuggling), are rejected.
 */
import * as failures from '../contracts/failure.js'
import * as settings from '../contracts/settings.js'

/** Headers that may occur at most once. */
const singleHeaders: ReadonlySet<string> = new Set([
  'authorization', 'host', 'content-length', 'transfer-encoding', 'content-type', 'idempotency-key', 'expect'
])

/** Headers that `Connection` must not list, because removing them would change the meaning of the request. */
const endToEndHeaders: ReadonlySet<string> = new Set([
  'authorization', 'host', 'content-length', 'content-type', 'idempotency-key', 'cookie'
])

/** Headers that may carry a key besides `Authorization`. */
const otherKeyHeaders: ReadonlySet<string> = new Set(['x-api-key', 'api-key', 'proxy-authorization'])

/** Headers that apply to one connection and are not forwarded to the backend server. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'http2-settings',
  'expect', 'host', 'content-length'
])

const credentialHeaders: ReadonlySet<string> = new Set([...otherKeyHeaders, 'authorization', 'cookie', 'cookie2'])

// eslint-disable-next-line no-control-regex
const controlCharacters = /[\u0000-\u0008\u000a-\u001f\u007f]/

type Headers = ReadonlyMap<string, readonly string[]>

/** Groups raw headers, an array of alternating names and values, by lower-case name. */
export function groupHeaders (rawHeaders: readonly string[]): Headers {
  const groups = new Map<string, string[]>()
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] as string).toLowerCase()
    const group = groups.get(name) ?? []
    group.push(rawHeaders[index + 1] as string)
    groups.set(name, group)
  }
  return groups
}

/** Returns why the headers are not acceptable, or `undefined`. */
export function checkHeaders (rawHeaders: readonly string[], limits: settings.Limits): failures.Failure | undefined {
  const headers = groupHeaders(rawHeaders)
  const error = findSizeError(rawHeaders, limits) ??
    findRepeatedHeader(headers) ??
    findFramingError(headers) ??
    findKeyError(headers) ??
    findConnectionError(headers)
  return error === undefined ? undefined : failures.createFailure('not_run', 'headers_invalid', [error])
}

/** Returns the names that `Connection` lists, in lower case. */
export function listConnectionNames (headers: Headers): string[] {
  const names: string[] = []
  for (const value of headers.get('connection') ?? []) {
    names.push(...value.split(',').map(name => name.trim().toLowerCase()))
  }
  return names
}

/** Returns the headers that may be forwarded to a backend server: no credentials, no hop-by-hop headers. */
export function selectForwarded (rawHeaders: readonly string[]): Record<string, string> {
  const headers = groupHeaders(rawHeaders)
  const named = new Set(listConnectionNames(headers))
  const forwarded: Record<string, string> = {}
  for (const [name, values] of headers) {
    if (hopByHopHeaders.has(name) || credentialHeaders.has(name) || named.has(name)) {
      continue
    }
    forwarded[name] = values.join(', ')
  }
  return forwarded
}

/** Returns the headers of a backend server's answer that may be sent to the caller. */
export function selectReturned (headers: Readonly<Record<string, string>>): Record<string, string> {
  const raw = Object.entries(headers).flat()
  const returned = selectForwarded(raw)
  delete returned['set-cookie']
  return returned
}

function findSizeError (rawHeaders: readonly string[], limits: settings.Limits): string | undefined {
  if (rawHeaders.length / 2 > limits.headerCount) {
    return `more than ${limits.headerCount} headers`
  }
  let bytes = 0
  for (const part of rawHeaders) {
    bytes += part.length + 2
    if (controlCharacters.test(part)) {
      return 'a control character'
    }
  }
  return bytes > limits.headerBytes ? `more than ${limits.headerBytes} bytes` : undefined
}

function findRepeatedHeader (headers: Headers): string | undefined {
  for (const name of singleHeaders) {
    if ((headers.get(name)?.length ?? 0) > 1) {
      return `several ${name} headers`
    }
  }
  return undefined
}

function findFramingError (headers: Headers): string | undefined {
  const encoding = headers.get('transfer-encoding')?.[0]
  const length = headers.get('content-length')?.[0]
  if (encoding !== undefined && length !== undefined) {
    return 'transfer-encoding beside content-length'
  }
  if (encoding !== undefined && encoding.trim().toLowerCase() !== 'chunked') {
    return 'an unknown transfer-encoding'
  }
  if (length !== undefined && !/^\d{1,15}$/.test(length)) {
    return 'a content-length that is not a number'
  }
  return undefined
}

function findKeyError (headers: Headers): string | undefined {
  const carriers = [...otherKeyHeaders, 'authorization'].filter(name => headers.has(name))
  return carriers.length > 1 ? 'several keys' : undefined
}

function findConnectionError (headers: Headers): string | undefined {
  const name = listConnectionNames(headers).find(listed => endToEndHeaders.has(listed))
  return name === undefined ? undefined : `the connection header lists ${name}`
}
