/**
 * Identifies a plain call by its content, as a prompt is identified by its parts: repeats of a call have the same fingerprint.
 */
import type * as buffer from 'node:buffer'
import * as crypto from 'node:crypto'

const fingerprintLength = 24

export function createFingerprint (route: string, method: string, path: string, body: buffer.Buffer | undefined): string {
  const hash = crypto.createHash('sha256').update(`${route} ${method} ${path}\n`)
  return `call-${hash.update(body ?? '').digest('hex').slice(0, fingerprintLength)}`
}
