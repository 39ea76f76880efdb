/**
 * Which gateway issues the permits of a server: the same one for all gateways that see each other.
 */
import * as crypto from 'node:crypto'
import * as routing from '../contracts/routing.js'

/**
 * Excess over a limit that the two sides of a network partition may use together, as a fraction: keeps the limit in use while a
 * gateway restarts.
 */
const partitionExcess = 0.35

/** A gateway of the deployment. */
export interface FleetMember {
  readonly node: string
  readonly zone: string
}

export class IssuerChoice {
  private members: readonly FleetMember[]
  /** Members by server in order of preference. */
  private readonly rankings = new Map<string, readonly FleetMember[]>()

  constructor (private readonly own: FleetMember, private readonly isResponsive: (node: string) => boolean) {
    this.members = [own]
  }

  /** Number of gateways of the deployment. */
  get gatewayCount (): number {
    return this.members.length
  }

  /** Sets the other gateways of the deployment. */
  setOthers (others: readonly FleetMember[]): void {
    this.members = [this.own, ...others]
    this.rankings.clear()
  }

  /** Returns the responsive gateway that issues the permits of a server: one in the server's zone if there is any. */
  choose (server: routing.RoutedServer): string {
    let ranking = this.rankings.get(server.id)
    if (ranking === undefined) {
      ranking = rankMembers(this.members, server)
      this.rankings.set(server.id, ranking)
    }
    for (const { node } of ranking) {
      if (node === this.own.node || this.isResponsive(node)) {
        return node
      }
    }
    return this.own.node
  }

  /** Returns the fraction of a limit that this gateway may issue: the other side of a partition issues the rest. */
  getIssuedPart (): number {
    let responsive = 0
    for (const { node } of this.members) {
      responsive += node === this.own.node || this.isResponsive(node) ? 1 : 0
    }
    return Math.min(1, responsive / this.members.length * (1 + partitionExcess))
  }

  forget (server: string): void {
    this.rankings.delete(server)
  }
}

/** Orders the members by rendezvous hashing, those in the server's zone first. */
function rankMembers (members: readonly FleetMember[], server: routing.RoutedServer): readonly FleetMember[] {
  const ranked: { readonly member: FleetMember, readonly key: string }[] = []
  for (const member of members) {
    const hash = crypto.createHash('sha256').update(`${server.id} ${member.node}`).digest('hex')
    ranked.push({ member, key: `${member.zone === server.zone ? 0 : 1}${hash}` })
  }
  ranked.sort((a, b) => a.key < b.key ? -1 : 1)
  return ranked.map(({ member }) => member)
}
