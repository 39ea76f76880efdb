/**
 * Assigns agents to the entries that inform them of new versions. Uses rendezvous hashing, so that all entries agree
 * without communication.
 */
import * as crypto from 'node:crypto'
import * as identities from '../contracts/identity.js'

/** Number of entries responsible for each agent. */
export const responsibleEntries = 2

/** Returns whether `own` is one of the entries responsible for the agent. */
export function isResponsible (
  own: identities.Address, others: readonly identities.Address[], agent: identities.Address
): boolean {
  const ownRank = rank(own, agent)
  let higher = 0
  for (const other of others) {
    if (rank(other, agent) > ownRank) {
      higher += 1
    }
  }
  return higher < responsibleEntries
}

function rank (entry: identities.Address, agent: identities.Address): string {
  return crypto.createHash('md5')
    .update(identities.formatAddress(entry)).update(' ').update(identities.formatAddress(agent))
    .digest('hex')
}
