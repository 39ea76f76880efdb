/**
 * Which entries see to it that an agent hears of a new version: the ones that rank highest for it by
 * rendezvous hashing, so that all entries agree without asking each other.
 */
import * as crypto from 'node:crypto'
import * as identities from '../contracts/identity.js'

/** Entries responsible for each agent. */
export const dutyCopies = 2

/** Tells whether `own` is one of the entries responsible for the agent. */
export function isOnDuty (
  own: identities.Address, others: readonly identities.Address[], agent: identities.Address
): boolean {
  const ownRank = rank(own, agent)
  let higher = 0
  for (const other of others) {
    if (rank(other, agent) > ownRank) {
      higher += 1
    }
  }
  return higher < dutyCopies
}

function rank (entry: identities.Address, agent: identities.Address): string {
  return crypto.createHash('md5')
    .update(identities.formatAddress(entry)).update(' ').update(identities.formatAddress(agent))
    .digest('hex')
}
