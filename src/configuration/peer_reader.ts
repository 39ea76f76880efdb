/**
 * Asks other processes for the configuration.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as peersModule from './peers.js'
import * as protocol from '../contracts/protocol.js'

/** Longest wait for the answer of a peer, in milliseconds. */
const peerTimeoutMs = 2_000

/** Entries asked for their versions at once. */
const probedEntries = 3

/** A version that no process has: the answer to such a request is a version alone. */
const beyondAnyVersion = Number.MAX_SAFE_INTEGER

export class PeerReader {
  constructor (private readonly peers: peersModule.Peers, private readonly random: host.Random) {}

  /** Returns what a process has beyond a version. */
  async ask (peer: identities.Identity, since: number): Promise<failures.Result<protocol.Answer<'configuration.read'>>> {
    const link = this.peers.getLink(peer)
    if (link === undefined) {
      return failures.fail(failures.createFailure('not_run', 'link_lost', [peer.node]))
    }
    return link.call('configuration.read', { since }, peerTimeoutMs)
  }

  /** Asks some entries, chosen at random, for their versions; reports each answer. */
  async probe (report: (version: number, from: identities.Identity | undefined) => void): Promise<void> {
    const entries = [...this.peers.listEntries()]
    const probes: Promise<void>[] = []
    while (probes.length < probedEntries && entries.length > 0) {
      const [address] = entries.splice(this.random.nextInteger(entries.length), 1)
      if (address !== undefined) {
        probes.push(this.probeOne(address, report))
      }
    }
    await Promise.all(probes)
  }

  private async probeOne (
    address: identities.Address, report: (version: number, from: identities.Identity | undefined) => void
  ): Promise<void> {
    const link = this.peers.getLinkTo(address)
    const answer = await link.call('configuration.read', { since: beyondAnyVersion }, peerTimeoutMs)
    answer.ifRight(({ version }) => report(version, link.remote))
  }
}
