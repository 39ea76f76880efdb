/**
 * History of a section, from the accepted changes in the store.
 */
import * as changeRequests from './change_request.js'
import * as configuration from '../contracts/configuration.js'
import * as differences from './difference.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as layout from './layout.js'

/** Maximum number of changes in one range read. */
const pageLength = 25

export class History {
  constructor (private readonly store: host.Store) {}

  /**
   * Returns at most `limit` changes of a section, the latest first, after version `afterVersion` of the section.
   * The last one has no differences if the change before it is no longer in the store.
   */
  async read (
    section: string, documentVersion: number, limit: number, afterVersion = 0
  ): Promise<failures.Result<readonly changeRequests.HistoryEntry[]>> {
    const found = await this.findChanges(section, documentVersion, limit + 1, Math.max(1, afterVersion))
    return found.map(changes => createEntries(changes, afterVersion).slice(0, limit))
  }

  /**
   * Returns the bodies of a section by version, at least for those of `versions` that are among its last `limit`
   * changes. Version 0 stands for a section that does not exist yet; its body is `undefined`, like that of a deleted one.
   */
  async readBodies (
    section: string, documentVersion: number, versions: readonly number[], limit: number
  ): Promise<failures.Result<ReadonlyMap<number, unknown>>> {
    const found = await this.findChanges(section, documentVersion, limit, Math.max(1, Math.min(...versions)))
    return found.map(changes => {
      const bodies = new Map<number, unknown>()
      for (const { section: changed } of changes) {
        bodies.set(changed.version, changed.body)
      }
      return bodies.set(0, undefined)
    })
  }

  /** Finds the changes of a section, the latest first, until one has `lastVersion` of the section or an earlier version. */
  private async findChanges (
    section: string, documentVersion: number, limit: number, lastVersion: number
  ): Promise<failures.Result<readonly HistoryChange[]>> {
    const found: HistoryChange[] = []
    let last = documentVersion
    while (last > 0 && found.length < limit) {
      const page = await this.readPage(last)
      if (page.isLeft()) {
        return failures.fail(page.swap().unsafeCoerce())
      }
      const changes = page.unsafeCoerce()
      for (const change of changes) {
        const changed = change.sections.find(candidate => candidate.name === section)
        if (changed !== undefined) {
          found.push({ change, section: changed })
        }
      }
      const earliest = found.at(-1)?.section.version
      if (changes.length === 0 || (earliest !== undefined && earliest <= lastVersion)) {
        break
      }
      last -= pageLength
    }
    return failures.succeed(found)
  }

  /** Returns a page of changes that ends at version `last`, the latest first. */
  private async readPage (last: number): Promise<failures.Result<readonly configuration.Change[]>> {
    const after = layout.getChangeKey(Math.max(0, last - pageLength))
    const page = await this.store.readRange({ prefix: layout.changePrefix, after, limit: Math.min(pageLength, last) })
    return page.map(({ entries }) => {
      const changes: configuration.Change[] = []
      for (const entry of entries) {
        const change = layout.parseChange(entry.value)
        if (change !== undefined && change.version <= last) {
          changes.unshift(change)
        }
      }
      return changes
    })
  }
}

interface HistoryChange {
  readonly change: configuration.Change
  readonly section: configuration.Section
}

function createEntries (found: readonly HistoryChange[], afterVersion: number): changeRequests.HistoryEntry[] {
  const entries: changeRequests.HistoryEntry[] = []
  for (const [index, { change, section }] of found.entries()) {
    if (section.version <= afterVersion) {
      break
    }
    const before = found[index + 1]?.section
    const isComparable = before !== undefined || section.version === 1
    entries.push({
      version: change.version,
      sectionVersion: section.version,
      operation: change.operation,
      team: change.team,
      atMs: change.atMs,
      deleted: section.body === undefined,
      differences: isComparable ? [...differences.findDifferences(before?.body, section.body)] : []
    })
  }
  return entries
}
