/**
 * Requests to change the configuration, and the decisions of the editor on them.
 */
import * as crypto from 'node:crypto'
import * as z from 'zod'
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'
import * as failures from '../contracts/failure.js'

/** Maximum number of sections in one change. */
export const maximumEdits = 50

/** Maximum size of one change as it is stored. */
export const maximumChangeBytes = 524_288

/** Identifies an operation. The caller chooses it and repeats a call with the same identifier. */
export const OperationId = z.string().regex(/^[A-Za-z0-9._:-]{1,128}$/)

/** The new body of one section. */
export const Edit = z.strictObject({
  name: z.string().min(1).max(200),
  /** Version of the section that the edit replaces; 0 if the section does not exist. */
  expectedVersion: z.number().int().nonnegative(),
  /** Absent to delete the section. */
  body: z.unknown().optional()
})
export type Edit = z.infer<typeof Edit>

export const ChangeBody = z.strictObject({
  operation: OperationId,
  edits: z.array(Edit).min(1).max(maximumEdits)
})
export type ChangeBody = z.infer<typeof ChangeBody>

/** Makes the edits from the document against which the change is then checked and committed. */
export type EditMaker = (document: documents.Document) => failures.Result<readonly Edit[]>

export interface ChangeRequest {
  readonly operation: string
  /** Digest of the request, by which a repeated call is recognized; see `createDigest`. */
  readonly digest: string
  readonly makeEdits: EditMaker
}

/** One mistake in a change. */
export const Mistake = z.object({
  section: z.string(),
  /** Path within the section's body, parts joined by dots; empty for the whole section. */
  path: z.string(),
  message: z.string()
})
export type Mistake = z.infer<typeof Mistake>

/** One difference between two bodies. */
export const Difference = z.object({
  path: z.string(),
  before: z.unknown().optional(),
  after: z.unknown().optional()
})
export type Difference = z.infer<typeof Difference>

/** One change of one section. */
export const HistoryEntry = z.object({
  /** Version of the document. */
  version: z.number().int(),
  /** Version of the section. */
  sectionVersion: z.number().int(),
  operation: z.string(),
  team: z.string(),
  atMs: z.number(),
  deleted: z.boolean(),
  /** Differences from the previous version, as far as that is kept. */
  differences: z.array(Difference)
})
export type HistoryEntry = z.infer<typeof HistoryEntry>

/** An accepted change. */
export const Acceptance = z.object({
  version: z.number().int().positive(),
  sections: z.array(z.object({ name: z.string(), version: z.number().int().positive() })),
  /** Whether an earlier call with the same operation had made the change. */
  repeated: z.boolean()
})
export type Acceptance = z.infer<typeof Acceptance>

/** A section that others have changed since the version that an edit replaces. */
export const StaleSection = z.object({
  section: z.string(),
  version: z.number().int(),
  expectedVersion: z.number().int(),
  since: z.array(HistoryEntry)
})
export type StaleSection = z.infer<typeof StaleSection>

/** A change that was not accepted, with all reasons. */
export interface Refusal {
  readonly failure: failures.Failure
  readonly mistakes: readonly Mistake[]
  readonly stale: readonly StaleSection[]
}

export type Decision =
  | { readonly kind: 'accepted', readonly acceptance: Acceptance }
  | { readonly kind: 'refused', readonly refusal: Refusal }

/** Returns the SHA-256 of a value's JSON text in hexadecimal, independent of the order of members. */
export function createDigest (value: unknown): string {
  return crypto.createHash('sha256').update(JSON.stringify(sortMembers(value)) ?? '').digest('hex')
}

/** Creates a request from edits that do not depend on the document. */
export function createChangeRequest (body: ChangeBody): ChangeRequest {
  return {
    operation: body.operation,
    digest: createDigest(body.edits),
    makeEdits: () => failures.succeed(body.edits)
  }
}

/** Creates a refusal without mistakes or stale sections. */
export function createRefusal (failure: failures.Failure): Decision {
  return { kind: 'refused', refusal: { failure, mistakes: [], stale: [] } }
}

/** Returns the version that an edit has to name: 0 for a section that is missing or deleted. */
export function getEditableVersion (section: configuration.Section | undefined): number {
  return section === undefined || section.body === undefined ? 0 : section.version
}

function sortMembers (value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sortMembers)
  }
  if (typeof value !== 'object' || value === null) {
    return value
  }
  const sorted: Record<string, unknown> = {}
  for (const name of Object.keys(value).sort()) {
    sorted[name] = sortMembers((value as Record<string, unknown>)[name])
  }
  return sorted
}
