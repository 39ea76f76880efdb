/**
 * What the store holds of a shard's leaseholder: a persistent term record, and a holder key that is bound to the
 * lease of the holder's process.
 */
import * as z from 'zod'
import * as identities from '../contracts/identity.js'

/** A process of an entry VM. */
export const Member = z.object({
  node: identities.Identity.shape.node,
  address: identities.Address
})
export type Member = z.infer<typeof Member>

/** Value of `keepers/<shard>/term`. */
export const TermRecord = z.object({
  /** Counts the holders of the shard, from 1. */
  term: z.number().int().positive(),
  holder: Member,
  holderBoot: identities.Identity.shape.boot,
  /** Standbys: the only entries that may take over; any entry may if the list is empty. */
  successors: z.array(Member).max(1024),
  /** Removed members: processes that are no longer named and may still use a local quota of the allowances. */
  former: z.array(Member).max(1024).optional()
})
export type TermRecord = z.infer<typeof TermRecord>

/** The term record with its revision in the store. */
export interface StoredRecord {
  readonly record: TermRecord
  /** Revision of the record's last change. */
  readonly revision: number
}

export const keyPrefix = 'keepers/'

export function getTermKey (shard: number): string {
  return `${keyPrefix}${shard}/term`
}

export function getHolderKey (shard: number): string {
  return `${keyPrefix}${shard}/holder`
}

/** The parts of a key below the prefix. */
export interface ParsedKey {
  readonly shard: number
  readonly kind: 'term' | 'holder'
}

/** Returns `undefined` for a key of another shape. */
export function parseKey (key: string): ParsedKey | undefined {
  const match = /^keepers\/(\d+)\/(term|holder)$/.exec(key)
  if (match === null) {
    return undefined
  }
  return { shard: Number(match[1]), kind: match[2] as ParsedKey['kind'] }
}

/** Returns `undefined` for text that is not a term record. */
export function parseRecord (text: string): TermRecord | undefined {
  try {
    return TermRecord.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
