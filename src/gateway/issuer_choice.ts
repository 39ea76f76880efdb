/**
 * Which gateway decides for all on a server or a part of prompts: the same one for all gateways that see each other.
 */
import * as crypto from 'node:crypto'
import * as routing from '../contracts/routing.js'

/** Limit on the rankings that are kept. */
const maximumRankings = 2_048

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
  /** Members in order of preference, by server or part. */
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
    return this.listResponsive(server.id, server.zone)[0] ?? this.own.node
  }

  /** Returns the responsive gateways in the order in which they decide on something, those of a zone first; this gateway is among them. */
  listResponsive (id: string, zone?: string): readonly string[] {
    let ranking = this.rankings.get(id)
    if (ranking === undefined) {
      if (this.rankings.size >= maximumRankings) {
        this.rankings.clear()
      }
      ranking = rankMembers(this.members, id, zone)
      this.rankings.set(id, ranking)
    }
    const responsive: string[] = []
    for (const { node } of ranking) {
      if (node === this.own.node || this.isResponsive(node)) {
        responsive.push(node)
      }
    }
    return responsive
  }

  /** Returns the fraction of a limit that this gateway may issue: the other side of a partition issues the rest. */
  getIssuedPart (): number {
    return Math.min(1, this.getResponsivePart() * (1 + partitionExcess))
  }

  /** Returns the responsive gateways as a fraction of all: what the sides of a network partition issue of a limit that must not be exceeded. */
  getResponsivePart (): number {
    let responsive = 0
    for (const { node } of this.members) {
      responsive += node === this.own.node || this.isResponsive(node) ? 1 : 0
    }
    return responsive / this.members.length
  }

  forget (server: string): void {
    this.rankings.delete(server)
  }
}

/** Orders the members by rendezvous hashing, those in the zone first. */
function rankMembers (members: readonly FleetMember[], id: string, zone: string | undefined): readonly FleetMember[] {
  const ranked: { readonly member: FleetMember, readonly key: string }[] = []
  for (const member of members) {
    const hash = crypto.createHash('sha256').update(`${id} ${member.node}`).digest('hex')
    ranked.push({ member, key: `${member.zone === zone ? 0 : 1}${hash}` })
  }
  ranked.sort((a, b) => a.key < b.key ? -1 : 1)
  return ranked.map(({ member }) => member)
}
