/**
 * The administration API as an h3 application, made from the table of routes.
 */
import * as h3 from 'h3/node'
import * as answers from './answers.js'
import * as changeRequests from '../configuration/change_request.js'
import * as credentials from '../configuration/credentials.js'
import * as failures from '../contracts/failure.js'
import * as openRouteTable from './open_route.js'
import * as openapi from './openapi.js'
import * as probeApplications from './probe_application.js'
import * as requests from './request.js'
import * as responses from './response.js'
import * as routes from './route.js'
import * as tables from './table.js'

export interface ApplicationOptions extends routes.Services {
  readonly probes: probeApplications.Probes
  /** Whether the configuration of this process is ready to be read. */
  readonly isReady: () => boolean
  /** Largest body of a request. */
  readonly bodyBytes: number
}

/** Creates the application; `toNodeHandler` of h3 makes it a handler for `node:http`. */
export function createApplication (options: ApplicationOptions): h3.H3 {
  const app = new h3.H3({ silent: true })
  probeApplications.addProbes(app, options.probes)
  let description: string | undefined
  app.get(openRouteTable.openRoutes.description.path, () => {
    description ??= JSON.stringify(openapi.createDescription())
    return new Response(description, { headers: { 'content-type': 'application/json' } })
  })
  for (const route of tables.table) {
    const handler = new RouteHandler(route, options)
    app.on(route.method, toPattern(route.path), event => handler.handle(event))
  }
  for (const path of new Set(tables.table.map(route => route.path))) {
    app.all(toPattern(path), event => responses.refuse(failures.createFailure('not_run', 'method_not_allowed', [event.req.method, path])))
  }
  app.all('/**', event => responses.refuse(failures.createFailure('not_run', 'route_unknown', [event.req.method, event.url.pathname])))
  return app
}

function toPattern (path: string): string {
  return path.replaceAll(/\{(\w+)\}/g, ':$1')
}

class RouteHandler {
  constructor (private readonly route: routes.Route, private readonly options: ApplicationOptions) {}

  async handle (event: h3.H3Event): Promise<Response> {
    try {
      const prepared = await this.prepare(event)
      if (prepared instanceof Response) {
        return prepared
      }
      const result = await this.route.handle(prepared)
      return result.caseOf({ Left: responses.refuse, Right: reply => this.respond(reply) })
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error)
      const verdict = this.route.method === 'GET' ? 'not_run' : 'may_have_run'
      return responses.refuse(failures.createFailure(verdict, 'internal', [text]))
    }
  }

  /** Returns the call, or the response that refuses it. */
  private async prepare (event: h3.H3Event): Promise<routes.Call | Response> {
    const { options, route } = this
    if (!options.isReady()) {
      return responses.refuse(failures.createFailure('not_run', 'not_ready', [], 1_000))
    }
    const credential = requests.readCredential(event.req.headers)
    const operator = credential === undefined ? undefined : options.editor.findOperator(credential)
    if (credential === undefined || operator === undefined) {
      return responses.refuse(failures.createFailure('not_run', 'operator_unknown'))
    }
    const text = await requests.readText(event.req, options.bodyBytes)
    const read = text.chain(body => requests.parseBody(route, body))
    return read.caseOf<routes.Call | Response>({
      Left: responses.refuse,
      Right: body => this.check(event, body, credential, operator)
    })
  }

  private check (
    event: h3.H3Event, json: unknown, credential: string, operator: credentials.Operator
  ): routes.Call | Response {
    const { headers } = event.req
    const version = requests.readVersion(headers)
    const operation = requests.readOperation(headers, () => this.options.random.nextId())
    const query = requests.check('query', this.route.query, Object.fromEntries(event.url.searchParams))
    const body = requests.check('body', this.route.body, json)
    if (version.isLeft()) {
      return responses.refuse(version.swap().unsafeCoerce())
    }
    if (operation.isLeft()) {
      return responses.refuse(operation.swap().unsafeCoerce())
    }
    if (query.kind === 'refused') {
      return refuseChange(query.refusal)
    }
    if (body.kind === 'refused') {
      return refuseChange(body.refusal)
    }
    const params = decodeParams(event)
    const expectedVersion = version.unsafeCoerce()
    if (this.route.version === 'required' && expectedVersion === undefined) {
      const name = Object.values(params).join('/') || 'policy'
      return responses.refuse(failures.createFailure('not_run', 'version_missing', [name]))
    }
    const digest = changeRequests.createDigest([this.route.method, event.url.pathname, query.value, json, expectedVersion])
    return {
      services: this.options,
      operator,
      credential,
      params,
      query: query.value,
      body: body.value,
      operation: operation.unsafeCoerce(),
      expectedVersion,
      digest
    }
  }

  private respond (reply: routes.Reply): Response {
    if (reply.kind === 'refusal') {
      return refuseChange(reply.refusal)
    }
    const headers: Record<string, string> = reply.version === undefined ? {} : { etag: `"${reply.version}"` }
    return responses.respondJson(reply.value, reply.status ?? this.route.status, headers)
  }
}

function decodeParams (event: h3.H3Event): Record<string, string> {
  const params: Record<string, string> = {}
  for (const [name, value] of Object.entries(event.context.params ?? {})) {
    params[name] = tryDecode(value)
  }
  return params
}

function tryDecode (text: string): string {
  try {
    return decodeURIComponent(text)
  } catch {
    return text
  }
}

function refuseChange ({ failure, mistakes, stale }: changeRequests.Refusal): Response {
  const error: answers.Refusal['error'] = { ...failure }
  if (mistakes.length > 0) {
    error.mistakes = [...mistakes]
  }
  if (stale.length > 0) {
    error.stale = [...stale]
  }
  return responses.respondRefusal({ error }, failure)
}
