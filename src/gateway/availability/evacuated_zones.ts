/**
 * The zones that the operator has evacuated.
 *
 * Pattern: a zone is about to fail or to be repaired. From the moment at which a gateway knows of the evacuation it sends nothing to
 * the servers of the zone, whatever it placed or queued before. Performs no input or output.
 */
import * as host from '../../host/types.js'

/** Longest name of a zone that is believed, and limit on the names: each is kept in memory and logged. */
const maximumNameLength = 128
const maximumZones = 256

export class EvacuatedZones {
  private readonly zones = new Set<string>()
  /** Zones that have not been found among those of the servers yet; each is checked once, when the store has been read. */
  private readonly unchecked = new Set<string>()

  constructor (private readonly log: host.Log) {}

  get count (): number {
    return this.zones.size
  }

  has (zone: string): boolean {
    return this.zones.has(zone)
  }

  /** Adds a zone as of a revision of the store. */
  add (zone: string, revision: number): void {
    if (zone === '' || zone.length > maximumNameLength || this.zones.size >= maximumZones) {
      this.log.warn('evacuation ignored', { zone: zone.slice(0, maximumNameLength), revision, reason: zone === '' ? 'no name' : 'name too long or too many zones' })
      return
    }
    if (!this.zones.has(zone)) {
      this.zones.add(zone)
      this.unchecked.add(zone)
      this.log.warn('zone evacuated', { zone, revision })
    }
  }

  /** Removes a zone; returns whether it was evacuated. */
  remove (zone: string): boolean {
    this.unchecked.delete(zone)
    const wasEvacuated = this.zones.delete(zone)
    if (wasEvacuated) {
      this.log.warn('evacuation of a zone ended', { zone })
    }
    return wasEvacuated
  }

  /** Logs evacuations of zones without servers, once each. */
  check (knownZones: ReadonlySet<string>): void {
    for (const zone of this.unchecked) {
      if (!knownZones.has(zone)) {
        this.log.warn('evacuation of an unknown zone', { zone, knownZones: [...knownZones].sort().join(',') })
      }
    }
    this.unchecked.clear()
  }
}
