/**
 * Resolves a caller's API key to its workspace. Only hashes of keys are stored and compared; the key itself is
 * never logged.
 *
 * Every new call with a withdrawn key is rejected, on open connections too. Requests in flight with it, streams
 * included, end with an error within the sweep period after the change has arrived (see `exchanges.ts`).
 */
import * as buffer from 'node:buffer'
import * as crypto from 'node:crypto'
import * as documents from '../configuration/document.js'
import * as failures from '../contracts/failure.js'
import * as headerChecks from './headers.js'

/** An authenticated caller. */
export class Caller {
  readonly #key: buffer.Buffer

  constructor (readonly workspace: string, readonly keyHash: string, key: string) {
    this.#key = buffer.Buffer.from(key)
  }

  /** Whether bytes to be sent to a backend server contain the caller's key. */
  isKeyIn (bytes: buffer.Buffer | string): boolean {
    return bytes.includes(this.#key as buffer.Buffer & string)
  }
}

const bearer = /^Bearer ([A-Za-z0-9._~+/=-]{8,512})$/i

export class Authenticator {
  constructor (private readonly configuration: documents.ConfigurationView) {}

  /** Fails with `key_missing`, `key_unknown` or `key_withdrawn`. */
  authenticate (rawHeaders: readonly string[]): failures.Result<Caller> {
    const authorization = headerChecks.groupHeaders(rawHeaders).get('authorization')?.[0]
    const key = authorization === undefined ? undefined : bearer.exec(authorization.trim())?.[1]
    if (key === undefined) {
      return failures.fail(failures.createFailure('not_run', 'key_missing'))
    }
    const hash = crypto.createHash('sha256').update(key).digest('hex')
    const owner = this.configuration.findKey(hash)
    if (owner === undefined || !isEqual(owner.key.hash, hash)) {
      return failures.fail(failures.createFailure('not_run', 'key_unknown'))
    }
    const refusal = this.check(hash, owner.workspace)
    return refusal === undefined
      ? failures.succeed(new Caller(owner.workspace, hash, key))
      : failures.fail(refusal)
  }

  /** Returns why a key that was valid before is no longer valid, or `undefined`. */
  check (keyHash: string, workspace: string): failures.Failure | undefined {
    const owner = this.configuration.findKey(keyHash)
    const isKnown = owner?.workspace === workspace && this.configuration.getWorkspace(workspace) !== undefined
    if (!isKnown) {
      return failures.createFailure('not_run', 'key_unknown')
    }
    return owner.key.withdrawnAtMs === undefined ? undefined : failures.createFailure('not_run', 'key_withdrawn')
  }
}

function isEqual (first: string, second: string): boolean {
  const left = buffer.Buffer.from(first)
  const right = buffer.Buffer.from(second)
  return left.length === right.length && crypto.timingSafeEqual(left, right)
}
