/**
 * Answers explanations on the gateway's inner listener.
 */
import type * as http from 'node:http'
import type * as explainers from './explainer.js'
import * as explanations from './explanation.js'
import * as diagnostics from '../../contracts/diagnostics.js'
import * as failures from '../../contracts/failure.js'
import type * as host from '../../host/types.js'
import * as httpListeners from '../../daemon/http_listener.js'

/** Tells whether a request asks for an explanation. */
export function isExplanation ({ url = '' }: http.IncomingMessage): boolean {
  return url === explanations.explanationPath || url.startsWith(`${explanations.explanationPath}?`)
}

/** Answers a request for an explanation; with `explainer` undefined, explanations are switched off. */
export function answerExplanation (request: http.IncomingMessage, response: http.ServerResponse, explainer: explainers.Explainer | undefined, log: host.Log): void {
  const result = explainer === undefined
    ? failures.fail<explanations.Explanation>(failures.createFailure('not_run', 'explanation_off'))
    : readQuery(request).chain(query => tryExplain(explainer, query, log))
  const [status, answer] = result.caseOf<readonly [number, unknown]>({
    Left: failure => [diagnostics.diagnostics[failure.code].status, { error: failure }],
    Right: explanation => [200, explanation]
  })
  const body = JSON.stringify(answer)
  response.writeHead(status, {
    'Content-Type': 'application/json', 'Content-Length': String(Buffer.byteLength(body)), ...httpListeners.closeBehindBody(request)
  })
  response.end(body)
}

/** A defect in an explanation is answered and logged; requests of callers go on. */
function tryExplain (explainer: explainers.Explainer, query: explanations.Query, log: host.Log): failures.Result<explanations.Explanation> {
  try {
    return failures.succeed(explainer.explain(query))
  } catch (error) {
    log.error('explanation failed by a defect', { path: query.path, error: error instanceof Error ? error.stack : String(error) })
    return failures.fail(failures.createFailure('not_run', 'internal', ['see the log']))
  }
}

/** Reads a query from the target of a GET request. */
function readQuery ({ method, url = '' }: http.IncomingMessage): failures.Result<explanations.Query> {
  if (method !== 'GET') {
    return failures.fail(failures.createFailure('not_run', 'explanation_invalid', [`expected GET, found ${method ?? ''}`]))
  }
  const parameters = new URLSearchParams(url.slice(explanations.explanationPath.length))
  const { parts: _parts, ...fields } = Object.fromEntries(parameters)
  const parsed = explanations.Query.safeParse({ ...fields, parts: parameters.getAll('parts') })
  if (parsed.success) {
    return failures.succeed(parsed.data)
  }
  const mistakes = parsed.error.issues.map(({ message, path }) => `${path.join('.')}: ${message}`)
  return failures.fail(failures.createFailure('not_run', 'explanation_invalid', [mistakes.join('; ')]))
}
