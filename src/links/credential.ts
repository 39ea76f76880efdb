/**
 * Challenge-response authentication with the deployment's shared credential. Each side signs (HMAC) a fresh
 * challenge of the other, so that a recorded proof can't be replayed.
 */
import * as crypto from 'node:crypto'
import * as identities from '../contracts/identity.js'

/** The side that sends the proof. Part of the claim, so that a proof can't be reflected to its sender. */
export type Side = 'client' | 'listener'

/** The data that a proof authenticates. */
export interface Claim {
  readonly side: Side
  readonly challenge: string
  readonly session: string
  readonly identity: identities.Identity
}

/** Returns the HMAC of the claim under the deployment's credential. */
export function createProof (credential: string, claim: Claim): string {
  const { node, boot, role, zone, region } = claim.identity
  const text = JSON.stringify([claim.side, claim.challenge, claim.session, node, boot, role, zone, region])
  return crypto.createHmac('sha256', credential).update(text).digest('base64url')
}

/** Returns whether the proof matches the claim, by a comparison in constant time. */
export function isValidProof (credential: string, claim: Claim, proof: string): boolean {
  const expected = Buffer.from(createProof(credential, claim))
  const given = Buffer.from(proof)
  return expected.length === given.length && crypto.timingSafeEqual(expected, given)
}
