/**
 * Reads the configuration from the store and watches it.
 */
import * as configuration from '../contracts/configuration.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as layout from './layout.js'

/** Maximum number of keys in one range read. */
const pageLength = 100

/** Changes in the store after a version of the document, up to a revision of the store. */
export interface StoreUpdate {
  readonly revision: number
  readonly changes: readonly configuration.Change[]
  /** Replaces the changes if some of them are no longer in the store. */
  readonly snapshot?: configuration.Snapshot
}

interface Head {
  readonly version: number
  readonly revision: number
}

interface EntryRange {
  readonly revision: number
  readonly entries: readonly host.StoreEntry[]
}

/** Failure of a read that a stale replica of the store answered. */
const staleRead = failures.createFailure('not_run', 'store_unavailable', ['the read is stale'])

export class StoreSource {
  constructor (private readonly store: host.Store) {}

  /** Returns the changes after the version, or a snapshot. */
  async readSince (version: number): Promise<failures.Result<StoreUpdate>> {
    const head = await this.readHead()
    if (head.isLeft()) {
      return failures.fail(head.swap().unsafeCoerce())
    }
    const { version: headVersion, revision } = head.unsafeCoerce()
    if (headVersion <= version) {
      return failures.succeed({ revision, changes: [] })
    }
    if (version === 0) {
      return this.readSnapshot(head.unsafeCoerce())
    }
    const read = await this.readChanges(version, revision)
    return read.caseOf<Promise<failures.Result<StoreUpdate>>>({
      Left: async failure => failures.fail(failure),
      Right: async update => isContiguous(update.changes, version, headVersion)
        ? failures.succeed(update)
        : await this.readSnapshot(head.unsafeCoerce())
    })
  }

  /** Reports the changes committed after the revision, in order. */
  watch (
    revision: number,
    changed: (change: configuration.Change) => void,
    ended: (failure: failures.Failure) => void
  ): host.Stop {
    return this.store.watch(layout.changePrefix, revision + 1, events => {
      for (const event of events) {
        const change = event.kind === 'put' ? layout.parseChange(event.entry.value) : undefined
        if (change !== undefined) {
          changed(change)
        }
      }
    }, ended)
  }

  /** Reads the head in a transaction, because a stale replica of the store cannot answer one. */
  private async readHead (): Promise<failures.Result<Head>> {
    const commit = await this.store.commit({ compare: [], success: [{ kind: 'get', key: layout.headKey }], failure: [] })
    return commit.chain(({ reads: [entry], revision }) => {
      const version = layout.parseHead(entry?.value)
      return version === undefined
        ? failures.fail(failures.createFailure('not_run', 'internal', ['the head record cannot be read']))
        : failures.succeed({ version, revision })
    })
  }

  /**
   * Reads the sections page by page, then applies the changes committed in the meantime so that all sections are at one
   * version.
   */
  private async readSnapshot (head: Head): Promise<failures.Result<StoreUpdate>> {
    const read = await this.readEntries(layout.sectionPrefix, undefined, head.revision)
    if (read.isLeft()) {
      return failures.fail(read.swap().unsafeCoerce())
    }
    const sections = new Map<string, configuration.Section>()
    for (const entry of read.unsafeCoerce().entries) {
      const section = layout.parseRecord(configuration.Section, entry.value)
      if (section !== undefined) {
        sections.set(section.name, section)
      }
    }
    return this.completeSnapshot(head, sections)
  }

  private async completeSnapshot (
    head: Head, sections: Map<string, configuration.Section>
  ): Promise<failures.Result<StoreUpdate>> {
    const later = await this.readHead()
    if (later.isLeft()) {
      return failures.fail(later.swap().unsafeCoerce())
    }
    const { version, revision } = later.unsafeCoerce()
    const read = await this.readChanges(head.version, revision)
    if (read.isLeft()) {
      return read
    }
    const update = read.unsafeCoerce()
    if (!isContiguous(update.changes, head.version, version)) {
      return failures.fail(failures.createFailure('not_run', 'store_unavailable', ['changes are missing']))
    }
    for (const change of update.changes) {
      for (const section of change.sections) {
        sections.set(section.name, section)
      }
    }
    const last = update.changes.at(-1)?.version ?? version
    return failures.succeed({ revision: update.revision, changes: [], snapshot: { version: last, sections: [...sections.values()] } })
  }

  /** Returns the changes after a version that are still in the store, read at `minimumRevision` of the store or later. */
  private async readChanges (version: number, minimumRevision: number): Promise<failures.Result<StoreUpdate>> {
    const read = await this.readEntries(layout.changePrefix, layout.getChangeKey(version), minimumRevision)
    return read.map(({ revision, entries }) => {
      const changes: configuration.Change[] = []
      for (const entry of entries) {
        const change = layout.parseChange(entry.value)
        if (change !== undefined) {
          changes.push(change)
        }
      }
      return { revision, changes }
    })
  }

  /** Reads a range page by page. Returns the revision of the first page. */
  private async readEntries (
    prefix: string, after: string | undefined, minimumRevision: number
  ): Promise<failures.Result<EntryRange>> {
    const entries: host.StoreEntry[] = []
    let revision: number | undefined
    let last = after
    for (;;) {
      const read = await this.store.readRange(createRange(prefix, last))
      if (read.isLeft()) {
        return failures.fail(read.swap().unsafeCoerce())
      }
      const page = read.unsafeCoerce()
      if (page.revision < minimumRevision) {
        return failures.fail(staleRead)
      }
      revision ??= page.revision
      entries.push(...page.entries)
      last = page.entries.at(-1)?.key
      if (!page.more || last === undefined) {
        return failures.succeed({ revision, entries })
      }
    }
  }
}

function createRange (prefix: string, after: string | undefined): host.StoreRange {
  return after === undefined ? { prefix, limit: pageLength } : { prefix, after, limit: pageLength }
}

/** Returns whether the changes follow `version` without a gap and reach at least `upTo`. */
function isContiguous (changes: readonly configuration.Change[], version: number, upTo: number): boolean {
  let next = version + 1
  for (const change of changes) {
    if (change.version !== next) {
      return false
    }
    next += 1
  }
  return next > upTo
}
