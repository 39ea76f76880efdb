/**
 * Keys and records of the configuration in the store.
 *
 * | key | value |
 * | --- | --- |
 * | `config/head` | version of the whole document |
 * | `config/sections/<name>` | the section |
 * | `config/changes/<version>` | the accepted change, kept for the last `keptChanges` versions |
 * | `config/operations/<id>` | outcome of an operation, bound to a lease |
 */
import * as z from 'zod'
import * as configuration from '../contracts/configuration.js'

export const headKey = 'config/head'
export const sectionPrefix = 'config/sections/'
export const changePrefix = 'config/changes/'
const operationPrefix = 'config/operations/'

/** Number of accepted changes kept in the store. */
export const keptChanges = 2_000

/** How long the outcome of an operation is kept in the store, in milliseconds. */
export const operationTtlMs = 3_600_000

/** Number of digits of a version in a key. Versions are padded with zeros so that keys sort by version. */
const versionDigits = 12

export const Head = z.object({ version: z.number().int().nonnegative() })
export type Head = z.infer<typeof Head>

/** Outcome of an accepted operation. */
export const OperationRecord = z.object({
  version: z.number().int().positive(),
  /** SHA-256 of the request, to distinguish a retry from another request with the same identifier. */
  digest: z.string(),
  sections: z.array(z.object({ name: z.string(), version: z.number().int().positive() }))
})
export type OperationRecord = z.infer<typeof OperationRecord>

export function getSectionKey (name: string): string {
  return sectionPrefix + name
}

export function getChangeKey (version: number): string {
  return changePrefix + String(version).padStart(versionDigits, '0')
}

export function getOperationKey (id: string): string {
  return operationPrefix + id
}

/** Parses a record. Returns `undefined` if the text is not JSON or does not match the schema. */
export function parseRecord<Schema extends z.ZodType> (schema: Schema, text: string): z.output<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}

/** Returns the version in the head record, or 0 for a store without configuration. */
export function parseHead (text: string | undefined): number | undefined {
  return text === undefined ? 0 : parseRecord(Head, text)?.version
}

export function parseChange (text: string): configuration.Change | undefined {
  return parseRecord(configuration.Change, text)
}
