/**
 * The shape of a route. The table of routes drives the router, the OpenAPI description and the page docs/API.md.
 */
import * as z from 'zod'
import * as changeRequests from '../configuration/change_request.js'
import * as credentials from '../configuration/credentials.js'
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as documents from '../configuration/document.js'
import * as editors from '../configuration/editor.js'
import * as failures from '../contracts/failure.js'
import * as fleets from './fleet.js'
import * as histories from '../configuration/history.js'
import * as host from '../host/types.js'

export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE'

/** What the handlers work with. */
export interface Services {
  readonly document: documents.Document
  readonly editor: editors.Editor
  readonly history: histories.History
  readonly fleet: fleets.Fleet
  readonly clock: host.Clock
  readonly random: host.Random
}

/** A call whose credential, query and body have been checked. */
export interface Call<Body = unknown, Query = unknown> {
  readonly services: Services
  readonly operator: credentials.Operator
  readonly credential: string
  readonly params: Readonly<Record<string, string>>
  readonly query: Query
  readonly body: Body
  /** From `Idempotency-Key`, or made for this call. */
  readonly operation: string
  /** From `If-Match`. */
  readonly expectedVersion: number | undefined
  /** Digest of method, path, query, body and expected version. */
  readonly digest: string
}

/** The answer to a call, or the refusal of a change. */
export type Reply =
  | { readonly kind: 'answer', readonly value: unknown, readonly status?: number, readonly version?: number | undefined }
  | { readonly kind: 'refusal', readonly refusal: changeRequests.Refusal }

export type Handler<Body = unknown, Query = unknown> = (call: Call<Body, Query>) => Promise<failures.Result<Reply>>

/** One row of the table. */
export interface Route {
  readonly method: Method
  /** Path with parameters in braces. */
  readonly path: string
  readonly group: string
  readonly summary: string
  /** Whether `If-Match` with the version is required, may be given, or has no meaning. */
  readonly version: 'required' | 'optional' | 'none'
  readonly query: z.ZodType | undefined
  readonly body: z.ZodType | undefined
  /** Describes a body that the editor checks. */
  readonly bodyDescription: z.ZodType | undefined
  readonly answer: z.ZodType
  readonly status: number
  /** Codes of refusals besides those that every route has. */
  readonly codes: readonly diagnosticTable.DiagnosticCode[]
  readonly handle: Handler
}

type RouteDraft<Body extends z.ZodType, Query extends z.ZodType> =
  Pick<Route, 'method' | 'path' | 'group' | 'summary' | 'answer'> &
  Partial<Pick<Route, 'version' | 'status' | 'codes' | 'bodyDescription'>> &
  {
    readonly body?: Body
    readonly query?: Query
    readonly handle: Handler<z.output<Body>, z.output<Query>>
  }

/** Creates a row; the handler receives the body and query as their schemas have checked them. */
export function defineRoute<Body extends z.ZodType, Query extends z.ZodType> (draft: RouteDraft<Body, Query>): Route {
  return {
    version: 'none',
    status: 200,
    codes: [],
    bodyDescription: draft.body,
    ...draft,
    query: draft.query,
    body: draft.body,
    handle: call => draft.handle(call as Call<z.output<Body>, z.output<Query>>)
  }
}

/** Codes that a change may be refused with. */
export const changeCodes: readonly diagnosticTable.DiagnosticCode[] = [
  'section_forbidden', 'version_stale', 'change_invalid', 'change_too_large', 'operation_reused', 'change_contended',
  'store_unavailable', 'store_answer_lost'
]

export function answer (value: unknown, version?: number): failures.Result<Reply> {
  return failures.succeed({ kind: 'answer', value, version })
}

/** Makes a change; an accepted one is answered by what `describe` makes of it. */
export async function change (
  call: Call,
  makeEdits: changeRequests.EditMaker,
  describe: (acceptance: changeRequests.Acceptance) => unknown = acceptance => acceptance
): Promise<failures.Result<Reply>> {
  const { services, credential, operation, digest } = call
  const result = await services.editor.change(credential, { operation, digest, makeEdits })
  return result.map<Reply>(decision => decision.kind === 'refused'
    ? { kind: 'refusal', refusal: decision.refusal }
    : { kind: 'answer', value: describe(decision.acceptance), version: decision.acceptance.sections[0]?.version })
}

/** Returns the edit of one section, against the version that the call names or else the current one. */
export function createEdit (call: Call, document: documents.Document, name: string, body: unknown): changeRequests.Edit {
  const expectedVersion = call.expectedVersion ?? changeRequests.getEditableVersion(document.getSection(name))
  return body === undefined ? { name, expectedVersion } : { name, expectedVersion, body }
}

export function failUnknown<Value> (section: string): failures.Result<Value> {
  return failures.fail(failures.createFailure('not_run', 'section_unknown', [section]))
}
