/**
 * What the messages of a process carry besides their content: Lamport time and configuration version.
 */
import * as identities from '../contracts/identity.js'
import * as links from '../links/types.js'
import * as rings from '../timeline/ring.js'

/** Learns of configuration versions that other processes know. */
export abstract class VersionWatch {
  /** The version in force in this process. */
  abstract readonly version: number
  abstract hear (version: number, from: identities.Identity): void
}

export class ProcessPiggyback extends links.Piggyback {
  /** Set once the configuration exists; links may open before. */
  watch: VersionWatch | undefined

  constructor (private readonly lamport: rings.LamportClock) {
    super()
  }

  override stamp (): links.Stamp {
    return { tick: this.lamport.advance(), version: this.watch?.version ?? 0 }
  }

  override accept (stamp: links.Stamp, from: identities.Identity | undefined): void {
    this.lamport.witness(stamp.tick)
    if (from !== undefined) {
      this.watch?.hear(stamp.version, from)
    }
  }
}
