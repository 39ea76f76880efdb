/**
 * The routes that need no credential.
 */

/** A route without credential. */
export interface OpenRoute {
  readonly path: string
  readonly summary: string
}

export const openRoutes = {
  health: { path: '/healthz', summary: 'Answers 200 while the process works, 503 otherwise.' },
  readiness: { path: '/readyz', summary: 'Answers 200 while the entry takes callers\' requests, 503 otherwise.' },
  metrics: { path: '/metrics', summary: 'Returns the metrics of the process in the text format of Prometheus.' },
  description: { path: '/admin/v1/openapi.json', summary: 'Returns this API as an OpenAPI 3.1 description.' }
} as const satisfies Record<string, OpenRoute>
