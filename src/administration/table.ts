/**
 * The table of routes.
 */
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as keyRoutes from './key_routes.js'
import * as kindRoutes from './kind_routes.js'
import * as observationRoutes from './observation_routes.js'
import * as routes from './route.js'
import * as sectionRoutes from './section_routes.js'

/** Every route that takes an operator's credential. */
export const table: readonly routes.Route[] = [
  ...sectionRoutes.sectionRoutes,
  ...kindRoutes.kindRoutes,
  ...keyRoutes.keyRoutes,
  ...observationRoutes.observationRoutes
]

/** Codes that every route of the table may answer with. */
export const commonCodes: readonly diagnosticTable.DiagnosticCode[] = ['operator_unknown', 'not_ready', 'internal']

/** Codes of routes that take a body. */
export const bodyCodes: readonly diagnosticTable.DiagnosticCode[] = [
  'body_malformed', 'body_invalid', 'body_too_large', 'idempotency_key_invalid', 'headers_invalid'
]

/** Returns every code that a route may answer with. */
export function listCodes (route: routes.Route): readonly diagnosticTable.DiagnosticCode[] {
  const codes = new Set([...commonCodes, ...route.codes])
  if (route.query !== undefined) {
    codes.add('body_invalid')
  }
  if (route.method !== 'GET') {
    for (const code of bodyCodes) {
      codes.add(code)
    }
  }
  return [...codes]
}
