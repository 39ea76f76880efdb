/**
 * The OpenAPI 3.1 description, made from the table of routes and their schemas.
 */
import * as z from 'zod'
import * as answers from './answers.js'
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as openRouteTable from './open_route.js'
import * as routes from './route.js'
import * as tables from './table.js'

type Json = Readonly<Record<string, unknown>>

/** Returns the description. */
export function createDescription (): Json {
  const paths: Record<string, Record<string, Json>> = {}
  for (const route of tables.table) {
    const path = paths[route.path] ?? {}
    paths[route.path] = path
    path[route.method.toLowerCase()] = createOperation(route)
  }
  for (const { path, summary } of Object.values(openRouteTable.openRoutes)) {
    paths[path] = { get: { summary, security: [], responses: { 200: { description: 'OK' } } } }
  }
  return {
    openapi: '3.1.0',
    info: { title: 'mulberryflow administration', version: '1' },
    security: [{ operator: [] }],
    paths,
    components: {
      securitySchemes: { operator: { type: 'http', scheme: 'bearer' } },
      schemas: { Refusal: createSchema(answers.Refusal, 'output') }
    }
  }
}

function createOperation (route: routes.Route): Json {
  const operation = {
    summary: route.summary,
    tags: [route.group],
    parameters: [...listPathParameters(route), ...listHeaders(route), ...listQueryParameters(route)],
    responses: createResponses(route)
  }
  if (route.bodyDescription === undefined) {
    return operation
  }
  const schema = createSchema(route.bodyDescription, 'input')
  return { ...operation, requestBody: { required: true, content: { 'application/json': { schema } } } }
}

function createResponses (route: routes.Route): Json {
  const responses: Record<string, Json> = {
    [route.status]: { description: 'OK', content: { 'application/json': { schema: createSchema(route.answer, 'output') } } }
  }
  for (const code of tables.listCodes(route)) {
    const { status } = diagnosticTable.diagnostics[code]
    const earlier = responses[status]?.description
    responses[status] = {
      description: earlier === undefined ? code : `${String(earlier)}, ${code}`,
      content: { 'application/json': { schema: { $ref: '#/components/schemas/Refusal' } } }
    }
  }
  return responses
}

/** Returns the names of the parameters in the path. */
export function listPathNames (path: string): readonly string[] {
  return [...path.matchAll(/\{(\w+)\}/g)].map(match => match[1] ?? '')
}

function listPathParameters (route: routes.Route): readonly Json[] {
  return listPathNames(route.path).map(name => ({ name, in: 'path', required: true, schema: { type: 'string' } }))
}

function listHeaders (route: routes.Route): readonly Json[] {
  const headers: Json[] = []
  if (route.version !== 'none') {
    const description = 'Version of the section that is replaced; "0" if it does not exist.'
    headers.push({ name: 'If-Match', in: 'header', required: route.version === 'required', description, schema: { type: 'string' } })
  }
  if (route.method !== 'GET') {
    const description = 'Identifies the operation: a repeated call returns the first outcome.'
    headers.push({ name: 'Idempotency-Key', in: 'header', required: false, description, schema: { type: 'string' } })
  }
  return headers
}

function listQueryParameters (route: routes.Route): readonly Json[] {
  if (route.query === undefined) {
    return []
  }
  const { properties = {}, required = [] } = z.toJSONSchema(route.query, { io: 'input', unrepresentable: 'any' })
  return Object.entries(properties).map(([name, schema]) => ({ name, in: 'query', required: required.includes(name), schema }))
}

function createSchema (schema: z.ZodType, io: 'input' | 'output'): Json {
  const { $schema: _, ...rest } = z.toJSONSchema(schema, { io, unrepresentable: 'any' })
  return rest
}
