/**
 * Log of the latest changes of this process's document, for peers that are behind.
 */
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'

/** Maximum number of changes kept. */
const maximumChanges = 500

/** Maximum size of the log, in bytes. A peer that lacks more is sent a snapshot. */
const maximumBytes = 262_144

interface LoggedChange {
  readonly change: configuration.Change
  readonly bytes: number
}

export class ChangeLog {
  private readonly logged: LoggedChange[] = []
  private bytes = 0

  /** Adds the next change. Clears the log first if the change leaves a gap. */
  add (change: configuration.Change): void {
    const last = this.logged.at(-1)
    if (last !== undefined && last.change.version + 1 !== change.version) {
      this.clear()
    }
    const bytes = JSON.stringify(change).length
    this.logged.push({ change, bytes })
    this.bytes += bytes
    while (this.logged.length > maximumChanges || this.bytes > maximumBytes) {
      this.bytes -= this.logged.shift()?.bytes ?? 0
    }
  }

  clear (): void {
    this.logged.length = 0
    this.bytes = 0
  }

  /** Returns the changes after a version, or `undefined` if some of them are no longer kept. */
  getSince (version: number): readonly configuration.Change[] | undefined {
    const first = this.logged[0]?.change.version
    if (first === undefined || first > version + 1) {
      return undefined
    }
    return this.logged.slice(version + 1 - first).map(({ change }) => change)
  }
}

/** Returns the answer for a peer whose document is at version `since`. */
export function createAnswer (
  document: documents.Document, log: ChangeLog, since: number, audience: identities.Role
): protocol.Answer<'configuration.read'> {
  const version = document.version
  if (since >= version) {
    return { version, changes: [] }
  }
  const changes = log.getSince(since)
  if (changes === undefined) {
    return { version, changes: [], snapshot: document.createSnapshot(audience) }
  }
  return { version, changes: changes.map(change => redactChange(change, audience)) }
}

/** Returns the change without the secret sections unless the audience is an entry. */
export function redactChange (change: configuration.Change, audience: identities.Role): configuration.Change {
  if (audience === 'entry') {
    return change
  }
  return { ...change, sections: change.sections.filter(section => !configuration.isSecretSection(section.name)) }
}
