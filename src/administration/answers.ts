/**
 * Answers of the administration API.
 */
import * as z from 'zod'
import * as changeRequests from '../configuration/change_request.js'
import * as configuration from '../contracts/configuration.js'
import * as credentials from '../configuration/credentials.js'
import * as documents from '../configuration/document.js'
import * as events from '../contracts/events.js'
import * as failures from '../contracts/failure.js'
import * as protocol from '../contracts/protocol.js'

/** Every refusal has this shape. */
export const Refusal = z.object({
  error: failures.Failure.extend({
    /** Every mistake found in the call. */
    mistakes: z.array(changeRequests.Mistake).optional(),
    /** Sections that were changed meanwhile. */
    stale: z.array(changeRequests.StaleSection).optional()
  })
})
export type Refusal = z.infer<typeof Refusal>

export const SectionSummary = z.object({
  name: z.string(),
  owner: z.string(),
  version: z.number().int()
})
export type SectionSummary = z.infer<typeof SectionSummary>

export const SectionAnswer = SectionSummary.extend({ body: z.unknown() })
export type SectionAnswer = z.infer<typeof SectionAnswer>

export const SectionList = z.object({
  /** Version of the document. */
  version: z.number().int(),
  sections: z.array(SectionSummary)
})

export const SectionBodies = z.object({ version: z.number().int(), sections: z.array(SectionAnswer) })

export const HistoryAnswer = z.object({ changes: z.array(changeRequests.HistoryEntry) })

export const DifferenceAnswer = z.object({
  from: z.number().int(),
  to: z.number().int(),
  differences: z.array(changeRequests.Difference)
})

/** A key without its hash. */
export const KeySummary = configuration.Key.omit({ hash: true })

export const KeyList = z.object({ keys: z.array(KeySummary) })

export const NewKey = changeRequests.Acceptance.extend({
  id: z.string(),
  /** Shown in this answer only; absent if the caller sent a hash, or when the call repeats an earlier one. */
  key: z.string().optional()
})

export const StatusList = z.object({ version: z.number().int(), processes: z.array(protocol.StatusAnswer) })

export const TimelineAnswer = z.object({ events: z.array(events.Event) })

/** Returns a section with its owner as the teams' patterns are now; `undefined` for a deleted one. */
export function describeSection (
  document: documents.Document, section: configuration.Section
): SectionAnswer | undefined {
  if (section.body === undefined) {
    return undefined
  }
  const owner = credentials.findOwner(document.listTeams(), section.name)
  return { name: section.name, owner, version: section.version, body: section.body }
}

/** Tells whether an operator may read the body: of secret sections only those that it may change. */
export function mayRead (operator: credentials.Operator, section: string): boolean {
  return !configuration.isSecretSection(section) || credentials.mayChange(operator, section)
}
