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

/** Accepted changes that stay in the store. */
export const keptChanges = 2_000

/** How long the outcome of an operation stays in the store, in milliseconds. */
export const operationTtlMs = 3_600_000

/** Digits of a version within a key, so that keys sort by version. */
const versionDigits = 12

export const Head = z.object({ version: z.number().int().nonnegative() })
export type Head = z.infer<typeof Head>

/** What an accepted operation did. */
export const OperationRecord = z.object({
  version: z.number().int().positive(),
  /** SHA-256 of what was asked for, to tell a repeated call from another one with the same identifier. */
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

/** Reads a record; `undefined` if it does not match the schema. */
export function parseRecord<Schema extends z.ZodType> (schema: Schema, text: string): z.output<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}

/** Returns the version of the head record; 0 for a store without configuration. */
export function parseHead (text: string | undefined): number | undefined {
  return text === undefined ? 0 : parseRecord(Head, text)?.version
}

export function parseChange (text: string): configuration.Change | undefined {
  return parseRecord(configuration.Change, text)
}
