/**
 * Routes of workspaces, models, servers, services and teams: sections by the name of what they describe.
 * Each replaces the current version unless `If-Match` names one.
 */
import * as z from 'zod'
import * as answers from './answers.js'
import * as changeRequests from '../configuration/change_request.js'
import * as configuration from '../contracts/configuration.js'
import * as documents from '../configuration/document.js'
import * as failures from '../contracts/failure.js'
import * as routes from './route.js'

type NamedKind = 'workspaces' | 'models' | 'servers' | 'services' | 'teams'

const kinds: readonly { readonly kind: NamedKind, readonly group: string, readonly noun: string }[] = [
  { kind: 'workspaces', group: 'Workspaces', noun: 'workspace' },
  { kind: 'models', group: 'Models', noun: 'model' },
  { kind: 'servers', group: 'Servers', noun: 'server' },
  { kind: 'services', group: 'Services', noun: 'service' },
  { kind: 'teams', group: 'Teams', noun: 'team' }
]

const changeCodes = ['section_unknown', ...routes.changeCodes] as const

function getSectionName (kind: NamedKind, call: routes.Call): string {
  return `${kind}/${call.params.name ?? ''}`
}

function listSections (call: routes.Call, kind: NamedKind): readonly answers.SectionAnswer[] {
  const { document } = call.services
  const found: answers.SectionAnswer[] = []
  for (const section of document.listSections()) {
    const described = answers.describeSection(document, section)
    if (described === undefined || configuration.getSectionKind(section.name) !== kind) {
      continue
    }
    if (answers.mayRead(call.operator, section.name)) {
      found.push(described)
    }
  }
  return found.sort((left, right) => left.name < right.name ? -1 : 1)
}

function getSection (call: routes.Call, name: string): failures.Result<routes.Reply> {
  const { document } = call.services
  const section = document.getSection(name)
  const described = section === undefined ? undefined : answers.describeSection(document, section)
  if (described === undefined) {
    return routes.failUnknown(name)
  }
  return answers.mayRead(call.operator, name)
    ? routes.answer(described, described.version)
    : failures.fail(failures.createFailure('not_run', 'section_forbidden', [call.operator.team, name]))
}

/** A workspace takes its keys with it. */
function makeDeletion (call: routes.Call, kind: NamedKind, document: documents.Document): failures.Result<readonly changeRequests.Edit[]> {
  const name = getSectionName(kind, call)
  if (document.getSection(name)?.body === undefined) {
    return routes.failUnknown(name)
  }
  const edits = [routes.createEdit(call, document, name, undefined)]
  const keys = document.getSection(`keys/${call.params.name ?? ''}`)
  if (kind === 'workspaces' && keys?.body !== undefined) {
    edits.push({ name: keys.name, expectedVersion: keys.version })
  }
  return failures.succeed(edits)
}

function createKindRoutes ({ kind, group, noun }: (typeof kinds)[number]): readonly routes.Route[] {
  const one = `/admin/v1/${kind}/{name}`
  return [
    routes.defineRoute({
      method: 'GET',
      path: `/admin/v1/${kind}`,
      group,
      summary: `Lists the ${kind} that the operator may read.`,
      answer: answers.SectionBodies,
      handle: async call => routes.answer({ version: call.services.document.version, sections: listSections(call, kind) })
    }),
    routes.defineRoute({
      method: 'GET',
      path: one,
      group,
      summary: `Returns a ${noun}.`,
      answer: answers.SectionAnswer,
      codes: ['section_unknown', 'section_forbidden'],
      handle: async call => getSection(call, getSectionName(kind, call))
    }),
    routes.defineRoute({
      method: 'PUT',
      path: one,
      group,
      summary: `Creates or replaces a ${noun}.`,
      version: 'optional',
      body: z.unknown(),
      bodyDescription: configuration.sectionSchemas[kind],
      answer: changeRequests.Acceptance,
      codes: routes.changeCodes,
      handle: call => routes.change(call, document => failures.succeed([
        routes.createEdit(call, document, getSectionName(kind, call), call.body)
      ]))
    }),
    routes.defineRoute({
      method: 'DELETE',
      path: one,
      group,
      summary: kind === 'workspaces' ? 'Deletes a workspace and its keys.' : `Deletes a ${noun}.`,
      version: 'optional',
      answer: changeRequests.Acceptance,
      codes: changeCodes,
      handle: call => routes.change(call, document => makeDeletion(call, kind, document))
    })
  ]
}

/** Changes one member of a section's body. */
function makeMemberEdit (
  call: routes.Call, document: documents.Document, name: string, member: object
): failures.Result<readonly changeRequests.Edit[]> {
  const body = document.getSection(name)?.body
  if (typeof body !== 'object' || body === null) {
    return routes.failUnknown(name)
  }
  return failures.succeed([routes.createEdit(call, document, name, { ...body, ...member })])
}

export const kindRoutes: readonly routes.Route[] = [
  ...kinds.flatMap(createKindRoutes),
  routes.defineRoute({
    method: 'GET',
    path: '/admin/v1/workspaces/{name}/allowance',
    group: 'Workspaces',
    summary: 'Returns the allowance of a workspace.',
    answer: configuration.Allowance,
    codes: ['section_unknown'],
    handle: async call => {
      const name = call.params.name ?? ''
      const workspace = call.services.document.getWorkspace(name)
      const version = call.services.document.getSection(`workspaces/${name}`)?.version
      return workspace === undefined ? routes.failUnknown(`workspaces/${name}`) : routes.answer(workspace.allowance, version)
    }
  }),
  routes.defineRoute({
    method: 'PUT',
    path: '/admin/v1/workspaces/{name}/allowance',
    group: 'Workspaces',
    summary: 'Changes the allowance of a workspace.',
    version: 'optional',
    body: z.unknown(),
    bodyDescription: configuration.Allowance,
    answer: changeRequests.Acceptance,
    codes: changeCodes,
    handle: call => routes.change(call, document =>
      makeMemberEdit(call, document, `workspaces/${call.params.name ?? ''}`, { allowance: call.body }))
  }),
  routes.defineRoute({
    method: 'POST',
    path: '/admin/v1/servers/{name}/leave',
    group: 'Servers',
    summary: 'Marks a server as leaving: it gets no new work. A PUT with state "active" takes it back.',
    version: 'optional',
    answer: changeRequests.Acceptance,
    codes: changeCodes,
    handle: call => routes.change(call, document =>
      makeMemberEdit(call, document, `servers/${call.params.name ?? ''}`, { state: 'leaving' }))
  }),
  routes.defineRoute({
    method: 'GET',
    path: '/admin/v1/policy',
    group: 'Policy',
    summary: 'Returns the policy in force, also if no section sets it; its version is 0 then.',
    answer: configuration.Policy,
    handle: async call => {
      const { document } = call.services
      return routes.answer(document.policy, changeRequests.getEditableVersion(document.getSection('policy')))
    }
  }),
  routes.defineRoute({
    method: 'PUT',
    path: '/admin/v1/policy',
    group: 'Policy',
    summary: 'Replaces the policy.',
    version: 'optional',
    body: z.unknown(),
    bodyDescription: configuration.Policy,
    answer: changeRequests.Acceptance,
    codes: routes.changeCodes,
    handle: call => routes.change(call, document => failures.succeed([
      routes.createEdit(call, document, 'policy', call.body)
    ]))
  })
]
