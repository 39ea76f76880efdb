/**
 * Which parts of prompts end the servers that answer them, judged from the ends of servers and from answers that went well.
 *
 * Pattern: a server ends with many runs in flight, and at most one of them is to blame. A part that ends servers does so when the
 * answer begins, so only runs without an answer are suspects, and a part that an answer has begun on is not to blame. Parts that are
 * there by chance are at one end each, or get answers elsewhere; the part that is to blame is at several ends and gets none.
 *
 * Gateways report their evidence to each other; reports are merged as sets, so that their order and repetition do not matter.
 * Performs no input or output.
 */
import * as host from '../host/types.js'
import * as messages from './peer_messages.js'

/** Time for which an answer counts in favour of a part, in milliseconds. */
const goodRetentionMs = 600_000
/** Time since the last end of a server after which a part that was suspected only is forgotten, in milliseconds. */
const suspicionMs = 60_000
/** Time since the last end of a server for which a part stays blocked, in milliseconds; then requests are tried one at a time. */
export const blockMs = 600_000
/** Time since the last end of a server after which a part that was blocked is forgotten, in milliseconds. */
const retentionMs = 3_600_000
/** Ends from which a part is suspected: one, or two if answers have begun on it lately. */
const suspiciousEnds = 1
const suspiciousEndsOfGoodPart = 2
/** Ends from which a part is blocked: a trial among them, or so many that had no other cause. */
const blockingEnds = 2
const blockingEndsWithoutTrial = 3
/**
 * Ends, and trials among them, from which a block applies to all prompts with the part, and not only to those with all suspects of one
 * of the lost runs; and the time for which it then does, in milliseconds, doubled with each further end: a part that most prompts have
 * must get its chance soon.
 */
const generalEnds = 3
const generalTrials = 2
const generalBlockMs = 30_000
/**
 * Limits on the parts with evidence, on the parts known to be good, on the ends kept for a part, on the other parts kept for an end, and on
 * the workspaces kept for a part.
 */
const maximumRecords = 512
const maximumGoodParts = 8_192
const maximumEnds = 6
const maximumCompanions = 8
const maximumGoodWorkspaces = 32
/** Time for which a change is reported in each message to another gateway, in milliseconds, and the limit on the parts in one message. */
const newsMs = 5_000
const reportedParts = 6
/** Messages of which one reminds of a part that has not changed lately, in turn: the store tells gateways that start. */
const reportsPerReminder = 8
/** Value that stands for a part without an answer in messages. */
const noAnswer = -1

/**
 * How much the end of a server says about the parts of a run that it lost: other servers ended at the same moment; only this one did;
 * and the run was a trial, which has a part on its own.
 */
export const weights = { ambiguous: 0, single: 1, trial: 2 } as const
export type Weight = typeof weights[keyof typeof weights]

/** The end of a server on which a part was in flight, without an answer. */
interface ServerEnd {
  /** Workspace of the run. */
  readonly workspace: string
  readonly weight: number
  /** Other parts of the run. */
  readonly companions: readonly string[]
  /** On the monotonic clock, in milliseconds. */
  readonly atMs: number
}

/** Evidence on one part. Times are on the monotonic clock, in milliseconds. */
interface PartRecord {
  /** Ends by server process, since the last answer that clears them. */
  readonly ends: Map<string, ServerEnd>
  /** Latest answers that began on the part, by workspace. */
  readonly answers: Map<string, number>
  readonly wasGood: boolean
  changedMs: number
  isBlocked: boolean
}

/** What the gateway believes of a prompt. */
export type PromptVerdict =
  | { readonly kind: 'clear' }
  /** Requests with the parts are tried one at a time; `ends` is the largest number of servers that ended with one of them. */
  | { readonly kind: 'suspect', readonly parts: readonly string[], readonly ends: number }
  | { readonly kind: 'blocked', readonly part: string, readonly ends: number, readonly ageMs: number, readonly leftMs: number }

const clearVerdict: PromptVerdict = { kind: 'clear' }

export class CrashEvidence {
  private readonly records = new Map<string, PartRecord>()
  /** When an answer last began on a part; in order of time. */
  private readonly goodParts = new Map<string, number>()
  /** Number of messages so far. */
  private reports = 0
  /** Called when a part has come under suspicion, is blocked or is cleared. */
  onChange: () => void = () => {}
  /** Called when a part is blocked by evidence of this gateway. */
  onBlock: (part: string) => void = () => {}

  constructor (private readonly log: host.Log) {}

  get isEmpty (): boolean {
    return this.records.size === 0
  }

  /** Number of parts by state. */
  count (nowMs: number): { readonly suspect: number, readonly blocked: number } {
    let suspect = 0
    let blocked = 0
    for (const record of this.records.values()) {
      if (record.isBlocked && nowMs - getLastEndMs(record) <= blockMs) {
        blocked += 1
      } else if (isSuspicious(record)) {
        suspect += 1
      }
    }
    return { suspect, blocked }
  }

  /** Judges a prompt of a workspace by its parts. */
  judge (parts: readonly string[], workspace: string, nowMs: number): PromptVerdict {
    if (this.records.size === 0) {
      return clearVerdict
    }
    const suspects: string[] = []
    let ends = 0
    for (const part of parts) {
      const record = this.records.get(part)
      if (record === undefined || !this.isSuspectFor(record, workspace, nowMs)) {
        continue
      }
      const ageMs = nowMs - getLastEndMs(record)
      if (ageMs <= blockMs && isBlockedFor(record, workspace) && this.coversPrompt(record, parts, ageMs)) {
        return { kind: 'blocked', part, ends: record.ends.size, ageMs, leftMs: blockMs - ageMs }
      }
      suspects.push(part)
      ends = Math.max(ends, record.ends.size)
    }
    return suspects.length === 0 ? clearVerdict : { kind: 'suspect', parts: suspects, ends }
  }

  /** Records that a server process ended with a run in flight that had no answer. */
  recordEnd (server: string, parts: readonly string[], workspace: string, weight: Weight, nowMs: number): void {
    for (const part of parts) {
      const companions = parts.filter(other => other !== part).slice(0, maximumCompanions)
      this.addEnd(part, server, { workspace, weight, companions, atMs: nowMs }, nowMs, undefined)
    }
  }

  /** Records that an answer to a run has begun. */
  recordAnswer (parts: readonly string[], workspace: string, nowMs: number): void {
    for (const part of parts) {
      this.setGood(part, nowMs)
      this.applyAnswer(part, workspace, nowMs, nowMs, undefined)
    }
  }

  /** Returns evidence for a message to another gateway, the latest changes first; undefined if there is none. */
  listReported (nowMs: number): Record<string, messages.PartStatement> | undefined {
    if (this.records.size === 0) {
      return undefined
    }
    this.expire(nowMs)
    const changed = [...this.records].filter(([, { changedMs }]) => nowMs - changedMs <= newsMs)
    if (changed.length > reportedParts) {
      changed.sort(([, a], [, b]) => b.changedMs - a.changedMs)
    }
    const reported = new Map(changed.slice(0, reportedParts))
    this.reports += 1
    if (this.reports % reportsPerReminder === 0) {
      const records = [...this.records]
      const [part, record] = records[this.reports / reportsPerReminder % records.length] ?? []
      if (part !== undefined && record !== undefined) {
        reported.set(part, record)
      }
    }
    return reported.size === 0 ? undefined : Object.fromEntries([...reported].map(([part, record]) => [part, createStatement(record, nowMs)]))
  }

  /** Returns the evidence on parts as a message carries it. */
  describe (parts: readonly string[], nowMs: number): Record<string, messages.PartStatement> {
    const described: Record<string, messages.PartStatement> = {}
    for (const part of parts) {
      const record = this.records.get(part)
      if (record !== undefined) {
        described[part] = createStatement(record, nowMs)
      }
    }
    return described
  }

  /** Merges evidence that another gateway reported as of a time on the monotonic clock. */
  merge (reported: Readonly<Record<string, messages.PartStatement>>, teller: string, asOfMs: number, nowMs: number): void {
    for (const [part, { ends, answer }] of Object.entries(reported)) {
      for (const [server, workspace, weight, ageMs, companions] of ends) {
        this.addEnd(part, server, { workspace, weight, companions: companions.slice(0, maximumCompanions), atMs: asOfMs - Math.max(0, ageMs) }, nowMs, teller)
      }
      const [workspace, ageMs] = answer ?? ['', noAnswer]
      if (ageMs !== noAnswer) {
        this.setGood(part, asOfMs - Math.max(0, ageMs))
        this.applyAnswer(part, workspace, asOfMs - Math.max(0, ageMs), nowMs, teller)
      }
    }
  }

  private setGood (part: string, atMs: number): void {
    const latestMs = Math.max(atMs, this.goodParts.get(part) ?? -Infinity)
    this.goodParts.delete(part)
    this.goodParts.set(part, latestMs)
    if (this.goodParts.size > maximumGoodParts) {
      const [leastRecent] = this.goodParts.keys()
      this.goodParts.delete(leastRecent ?? '')
    }
  }

  private addEnd (part: string, server: string, end: ServerEnd, nowMs: number, teller: string | undefined): void {
    const goodMs = this.goodParts.get(part) ?? -Infinity
    const record = this.records.get(part) ?? {
      ends: new Map(), answers: new Map(), wasGood: nowMs - goodMs <= goodRetentionMs, changedMs: nowMs, isBlocked: false
    }
    const known = record.ends.get(server)
    const isOutdated = goodMs >= end.atMs || [...record.answers.values()].some(answeredMs => answeredMs >= end.atMs)
    if (known === undefined ? isOutdated || !makeRoom(record, end.atMs) : !isStronger(end, known)) {
      return
    }
    record.ends.set(server, known === undefined ? end : { ...end, atMs: known.atMs })
    if (!this.records.has(part)) {
      this.records.set(part, record)
      this.limitRecords()
    }
    this.noteChange(part, record, nowMs, { server, weight: end.weight, teller })
  }

  /** An answer clears a suspected part; a blocked one it clears for its own workspace only, which cannot clear those that others see end servers. */
  private applyAnswer (part: string, workspace: string, atMs: number, nowMs: number, teller: string | undefined): void {
    const record = this.records.get(part)
    if (record === undefined || atMs <= (record.answers.get(workspace) ?? -Infinity)) {
      return
    }
    const endsBefore = record.ends.size
    if (record.answers.size >= maximumGoodWorkspaces && !record.answers.has(workspace)) {
      return
    }
    record.answers.set(workspace, atMs)
    for (const [server, end] of record.ends) {
      if (end.atMs <= atMs && (!record.isBlocked || end.workspace === workspace)) {
        record.ends.delete(server)
      }
    }
    if (record.ends.size < endsBefore) {
      this.noteChange(part, record, nowMs, { teller })
    }
  }

  private noteChange (part: string, record: PartRecord, nowMs: number, fields: host.LogFields): void {
    const wasBlocked = record.isBlocked
    record.changedMs = nowMs
    record.isBlocked = this.hasBlockingEnds(part, record)
    for (const [otherPart, other] of this.records) {
      if (other !== record && [...record.ends.keys()].some(server => other.ends.has(server))) {
        other.isBlocked = this.hasBlockingEnds(otherPart, other)
      }
    }
    const state = record.isBlocked ? 'blocked' : isSuspicious(record) ? 'suspected' : record.ends.size === 0 ? 'cleared' : 'noted'
    this.log.info(`part of prompts ${state}`, {
      part,
      ends: record.ends.size,
      workspaces: countWorkspaces(record),
      ageMs: record.ends.size === 0 ? undefined : Math.round(nowMs - getLastEndMs(record)),
      wasGood: record.wasGood,
      ...fields
    })
    if (record.isBlocked && !wasBlocked && fields['teller'] === undefined) {
      this.onBlock(part)
    }
    if (record.isBlocked || wasBlocked || isSuspicious(record) || record.ends.size === 0) {
      this.onChange()
    }
  }

  private hasBlockingEnds (part: string, record: PartRecord): boolean {
    let trials = 0
    let unambiguous = 0
    for (const [server, { weight }] of record.ends) {
      trials += weight === weights.trial && !this.isContested(part, server) ? 1 : 0
      unambiguous += weight >= weights.single ? 1 : 0
    }
    return isSuspicious(record) && ((record.ends.size >= blockingEnds && trials > 0) || unambiguous >= blockingEndsWithoutTrial)
  }

  /** Tells whether a trial of another part was lost at the same end, so that either may be to blame. */
  private isContested (part: string, server: string): boolean {
    for (const [other, { ends }] of this.records) {
      const end = ends.get(server)
      if (other !== part && end?.weight === weights.trial && !end.companions.includes(part)) {
        return true
      }
    }
    return false
  }

  private isSuspectFor (record: PartRecord, workspace: string, nowMs: number): boolean {
    const lastMs = getLastEndMs(record)
    const ageMs = nowMs - lastMs
    if (!isSuspicious(record) || ageMs > (record.isBlocked ? retentionMs : suspicionMs)) {
      return false
    }
    const isProvenSound = (record.answers.get(workspace) ?? -Infinity) >= lastMs
    return !isProvenSound && (record.isBlocked || this.listUnexplained(record, []).length > 0)
  }

  /**
   * Tells whether the block of a part covers a prompt. While few ends speak against the part, it covers prompts with all suspects of
   * one of the lost runs; another prompt may show in a trial that the part was there by chance.
   */
  private coversPrompt (record: PartRecord, prompt: readonly string[], ageMs: number): boolean {
    const unexplained = this.listUnexplained(record, prompt)
    if (unexplained.length < blockingEnds) {
      return false
    }
    const trials = unexplained.filter(({ weight }) => weight === weights.trial).length
    const isGeneral = unexplained.length >= generalEnds && trials >= generalTrials && ageMs <= generalBlockMs * 2 ** (unexplained.length - generalEnds)
    return isGeneral ||
      unexplained.some(({ companions }) => companions.every(part => prompt.includes(part) || (this.records.get(part)?.ends.size ?? 0) === 0))
  }

  /**
   * Returns the ends of a part for which no blocked part, other than those of the prompt, accounts. A part that answers have begun on
   * accounts for no end of one without answers: it may be blocked because it was in flight with that one, which would then be tried
   * again and again in prompts without it.
   */
  private listUnexplained (record: PartRecord, prompt: readonly string[]): readonly ServerEnd[] {
    const unexplained = new Map(record.ends)
    for (const [part, other] of this.records) {
      if (other === record || !other.isBlocked || prompt.includes(part) || (hasAnswers(other) && !hasAnswers(record))) {
        continue
      }
      for (const server of other.ends.keys()) {
        unexplained.delete(server)
      }
    }
    return [...unexplained.values()]
  }

  private expire (nowMs: number): void {
    for (const [part, record] of this.records) {
      const ageMs = nowMs - Math.max(getLastEndMs(record), record.ends.size === 0 ? record.changedMs : -Infinity)
      const limitMs = record.ends.size === 0 ? newsMs : record.isBlocked ? retentionMs : suspicionMs
      if (ageMs > limitMs) {
        this.records.delete(part)
        if (record.ends.size > 0) {
          this.log.info('part of prompts forgotten', { part, ends: record.ends.size, ageMs: Math.round(ageMs), wasBlocked: record.isBlocked })
        }
      }
    }
  }

  /** Drops the record that changed least recently, one that is not blocked if there is any. */
  private limitRecords (): void {
    if (this.records.size <= maximumRecords) {
      return
    }
    let oldest: string | undefined
    let oldestRank = Infinity
    for (const [part, { isBlocked, changedMs }] of this.records) {
      const rank = changedMs + (isBlocked ? retentionMs : 0)
      if (rank < oldestRank) {
        oldest = part
        oldestRank = rank
      }
    }
    this.records.delete(oldest ?? '')
  }
}

function isSuspicious (record: PartRecord): boolean {
  return record.ends.size >= (hasAnswers(record) ? suspiciousEndsOfGoodPart : suspiciousEnds)
}

function hasAnswers ({ wasGood, answers }: PartRecord): boolean {
  return wasGood || answers.size > 0
}

/** Tells which of two statements on one end is kept; the order by workspace and parts makes it the same one at all gateways. */
function isStronger (end: ServerEnd, known: ServerEnd): boolean {
  if (end.weight !== known.weight) {
    return end.weight > known.weight
  }
  return end.workspace === known.workspace ? end.companions.join() < known.companions.join() : end.workspace < known.workspace
}

/** Drops the earliest end of a full record if it is earlier than a new one; returns false if the new one is the earliest. */
function makeRoom ({ ends }: PartRecord, atMs: number): boolean {
  if (ends.size < maximumEnds) {
    return true
  }
  const [server, earliest] = [...ends].reduce((found, entry) => entry[1].atMs < found[1].atMs ? entry : found)
  return earliest.atMs < atMs && ends.delete(server)
}

/**
 * A block applies to the workspaces whose runs were lost, and to all of them once there are several: callers state the parts, so the
 * runs of one workspace prove nothing against the prompts of others.
 */
function isBlockedFor (record: PartRecord, workspace: string): boolean {
  if (!record.isBlocked) {
    return false
  }
  const workspaces = new Set([...record.ends.values()].map(end => end.workspace))
  return workspaces.size > 1 || workspaces.has(workspace)
}

function countWorkspaces ({ ends }: PartRecord): number {
  return new Set([...ends.values()].map(({ workspace }) => workspace)).size
}

function getLastEndMs ({ ends }: PartRecord): number {
  let lastMs = -Infinity
  for (const { atMs } of ends.values()) {
    lastMs = Math.max(lastMs, atMs)
  }
  return lastMs
}

function createStatement ({ ends, answers }: PartRecord, nowMs: number): messages.PartStatement {
  const latest = [...answers].reduce<[string, number] | undefined>((found, entry) => found === undefined || entry[1] > found[1] ? entry : found, undefined)
  return {
    ends: [...ends].map(([server, { workspace, weight, companions, atMs }]) => [server, workspace, weight, Math.round(nowMs - atMs), [...companions]]),
    ...(latest === undefined ? {} : { answer: [latest[0], Math.round(nowMs - latest[1])] as [string, number] })
  }
}
