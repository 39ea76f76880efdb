/**
 * Document of a replica together with a log of its latest changes.
 */
import * as changeLogs from './change_log.js'
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'
import * as identities from '../contracts/identity.js'
import * as protocol from '../contracts/protocol.js'

export class ReplicaDocument {
  readonly document = new documents.Document()
  private readonly changeLog = new changeLogs.ChangeLog()

  /**
   * Applies the changes that follow the document's version and ignores the others. Returns the names of the
   * changed sections, or `undefined` if nothing was applied.
   */
  applyChanges (changes: readonly configuration.Change[]): readonly string[] | undefined {
    const names: string[] = []
    let isChanged = false
    for (const change of changes) {
      if (!this.document.applyChange(change)) {
        continue
      }
      isChanged = true
      this.changeLog.add(change)
      names.push(...change.sections.map(section => section.name))
    }
    return isChanged ? names : undefined
  }

  /** Replaces the document by a newer snapshot. Returns the names of the changed sections, or `undefined` if it is not newer. */
  applySnapshot (snapshot: configuration.Snapshot): readonly string[] | undefined {
    const before = new Map(this.document.listSections().map(section => [section.name, section.version]))
    if (!this.document.applySnapshot(snapshot)) {
      return undefined
    }
    this.changeLog.clear()
    const names: string[] = []
    for (const section of this.document.listSections()) {
      if (before.get(section.name) !== section.version) {
        names.push(section.name)
      }
      before.delete(section.name)
    }
    return [...names, ...before.keys()]
  }

  /** Returns the answer for a peer whose document is at version `since`. */
  createAnswer (since: number, audience: identities.Role): protocol.Answer<'configuration.read'> {
    return changeLogs.createAnswer(this.document, this.changeLog, since, audience)
  }
}
