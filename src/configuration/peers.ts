/**
 * Access to the other processes of the deployment for reading and distributing the configuration.
 */
import * as allowances from '../allowances/types.js'
import * as identities from '../contracts/identity.js'
import * as links from '../links/types.js'

export abstract class Peers {
  /** Returns the link for calls to a process, or `undefined` if the address of its listener is not known. */
  abstract getLink (peer: identities.Identity): links.Link | undefined
  /** Returns the link to a listener. */
  abstract getLinkTo (address: identities.Address): links.Link
  /** Returns the listeners of the known live entries other than this process. */
  abstract listEntries (): readonly identities.Address[]
  /** Returns the open links of this process. */
  abstract listOpenLinks (): readonly links.Link[]
}

/** Peers from the directory of VMs. Without a directory, as in an agent, only processes that have called are known. */
export class DirectoryPeers extends Peers {
  constructor (
    private readonly pool: links.LinkPool,
    private readonly directory: allowances.Entries | undefined
  ) {
    super()
  }

  override getLink (peer: identities.Identity): links.Link | undefined {
    const address = peer.control ?? this.findAddress(peer.node)
    return address === undefined ? undefined : this.pool.get(address)
  }

  override getLinkTo (address: identities.Address): links.Link {
    return this.pool.get(address)
  }

  override listEntries (): readonly identities.Address[] {
    const addresses: identities.Address[] = []
    for (const entry of this.directory?.list() ?? []) {
      if (entry.state === 'live' && entry.node !== this.directory?.self.node) {
        addresses.push(entry.address)
      }
    }
    return addresses
  }

  override listOpenLinks (): readonly links.Link[] {
    return this.pool.list().filter(link => link.isOpen)
  }

  private findAddress (node: string): identities.Address | undefined {
    for (const entry of this.directory?.list() ?? []) {
      if (entry.node === node) {
        return entry.address
      }
    }
    return undefined
  }
}
