/**
 * Proofs that a process holds the deployment's credential. Each side proves it over a fresh challenge of the
 * other, so that a recorded proof is worthless.
 */
import * as crypto from 'node:crypto'
import * as identities from '../contracts/identity.js'

/** Which side gives the proof; keeps a proof from being reflected to its receiver. */
export type Side = 'client' | 'listener'

/** What a proof covers. */
export interface Claim {
  readonly side: Side
  readonly challenge: string
  readonly session: string
  readonly identity: identities.Identity
}

/** Proves a claim under the deployment's credential. */
export function createProof (credential: string, claim: Claim): string {
  const { node, boot, role, zone, region } = claim.identity
  const text = JSON.stringify([claim.side, claim.challenge, claim.session, node, boot, role, zone, region])
  return crypto.createHmac('sha256', credential).update(text).digest('base64url')
}

/** Tells whether the proof was made for this claim; takes the same time for every wrong proof. */
export function isValidProof (credential: string, claim: Claim, proof: string): boolean {
  const expected = Buffer.from(createProof(credential, claim))
  const given = Buffer.from(proof)
  return expected.length === given.length && crypto.timingSafeEqual(expected, given)
}
