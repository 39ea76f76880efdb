/**
 * Reads the configuration from other processes.
 */
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as peersModule from './peers.js'
import * as protocol from '../contracts/protocol.js'

/** Time-out of a call to a peer, in milliseconds. */
const peerTimeoutMs = 2_000

/** Number of entries probed at once. */
const maximumProbes = 3

/** Higher than the version of any process, so that the answer contains only the version. */
const beyondAnyVersion = Number.MAX_SAFE_INTEGER

export class PeerReader {
  constructor (private readonly peers: peersModule.Peers, private readonly random: host.Random) {}

  /** Reads the changes after a version from a process, or its snapshot. */
  async readSince (peer: identities.Identity, since: number): Promise<failures.Result<protocol.Answer<'configuration.read'>>> {
    const link = this.peers.getLink(peer)
    if (link === undefined) {
      return failures.fail(failures.createFailure('not_run', 'link_lost', [peer.node]))
    }
    return link.call('configuration.read', { since }, peerTimeoutMs)
  }

  /** Requests the versions of a few randomly chosen entries, and reports each answer. */
  async probe (report: (version: number, from: identities.Identity | undefined) => void): Promise<void> {
    const entries = [...this.peers.listEntries()]
    const probes: Promise<void>[] = []
    while (probes.length < maximumProbes && entries.length > 0) {
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
