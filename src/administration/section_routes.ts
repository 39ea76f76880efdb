/**
 * Routes of sections of any kind, and of changes of several sections.
 */
import * as z from 'zod'
import * as answers from './answers.js'
import * as changeRequests from '../configuration/change_request.js'
import * as differences from '../configuration/difference.js'
import * as failures from '../contracts/failure.js'
import * as routes from './route.js'

const group = 'Sections'

const Limit = z.object({ limit: z.coerce.number().int().min(1).max(200).default(20) })

const VersionPair = z.object({
  from: z.coerce.number().int().nonnegative(),
  to: z.coerce.number().int().positive().optional()
})

/** Changes looked through for the bodies of two versions. */
const differenceDepth = 200

/** The same routes for `policy`, which has no second part to its name, and for all others. */
const basePaths = ['/admin/v1/sections/policy', '/admin/v1/sections/{kind}/{name}']

function getName (call: routes.Call): string {
  const { kind, name } = call.params
  return kind === undefined ? 'policy' : `${kind}/${name ?? ''}`
}

function findSection (call: routes.Call): failures.Result<answers.SectionAnswer> {
  const name = getName(call)
  const section = call.services.document.getSection(name)
  const described = section === undefined ? undefined : answers.describeSection(call.services.document, section)
  if (described === undefined) {
    return routes.failUnknown(name)
  }
  return checkReadable(call).map(() => described)
}

function checkReadable (call: routes.Call): failures.Result<void> {
  const name = getName(call)
  return answers.mayRead(call.operator, name)
    ? failures.succeed(undefined)
    : failures.fail(failures.createFailure('not_run', 'section_forbidden', [call.operator.team, name]))
}

async function readHistory (call: routes.Call, limit: number): Promise<failures.Result<readonly changeRequests.HistoryEntry[]>> {
  const readable = checkReadable(call)
  if (readable.isLeft()) {
    return failures.fail(readable.swap().unsafeCoerce())
  }
  const { history, document } = call.services
  return history.read(getName(call), document.version, limit)
}

async function readDifference (call: routes.Call<unknown, z.infer<typeof VersionPair>>): Promise<failures.Result<routes.Reply>> {
  const readable = checkReadable(call)
  if (readable.isLeft()) {
    return failures.fail(readable.swap().unsafeCoerce())
  }
  const name = getName(call)
  const { history, document } = call.services
  const to = call.query.to ?? document.getSection(name)?.version ?? 0
  const { from } = call.query
  const bodies = await history.readBodies(name, document.version, [from, to], differenceDepth)
  return bodies.chain(found => {
    if (!found.has(from) || !found.has(to)) {
      return routes.failUnknown(`${name}@${found.has(from) ? to : from}`)
    }
    return routes.answer({ from, to, differences: differences.findDifferences(found.get(from), found.get(to)) })
  })
}

function createSectionRoutes (base: string): readonly routes.Route[] {
  return [
    routes.defineRoute({
      method: 'GET',
      path: base,
      group,
      summary: 'Returns a section with its owner and version; the version is also the ETag.',
      answer: answers.SectionAnswer,
      codes: ['section_unknown', 'section_forbidden'],
      handle: async call => findSection(call).chain(section => routes.answer(section, section.version))
    }),
    routes.defineRoute({
      method: 'PUT',
      path: base,
      group,
      summary: 'Creates or replaces a section. The body is that of the section.',
      version: 'required',
      body: z.unknown(),
      answer: changeRequests.Acceptance,
      codes: ['version_missing', ...routes.changeCodes],
      handle: call => routes.change(call, document => failures.succeed([routes.createEdit(call, document, getName(call), call.body)]))
    }),
    routes.defineRoute({
      method: 'DELETE',
      path: base,
      group,
      summary: 'Deletes a section.',
      version: 'required',
      answer: changeRequests.Acceptance,
      codes: ['version_missing', ...routes.changeCodes],
      handle: call => routes.change(call, document => failures.succeed([routes.createEdit(call, document, getName(call), undefined)]))
    }),
    routes.defineRoute({
      method: 'GET',
      path: `${base}/history`,
      group,
      summary: 'Lists the latest changes of a section that the store keeps, with what each changed.',
      query: Limit,
      answer: answers.HistoryAnswer,
      codes: ['section_forbidden', 'store_unavailable'],
      handle: async call => (await readHistory(call, call.query.limit)).chain(changes => routes.answer({ changes }))
    }),
    routes.defineRoute({
      method: 'GET',
      path: `${base}/diff`,
      group,
      summary: 'Compares two versions of a section; `to` is the current one if left out, and 0 stands for no section.',
      query: VersionPair,
      answer: answers.DifferenceAnswer,
      codes: ['section_unknown', 'section_forbidden', 'store_unavailable'],
      handle: readDifference
    })
  ]
}

export const sectionRoutes: readonly routes.Route[] = [
  routes.defineRoute({
    method: 'GET',
    path: '/admin/v1/sections',
    group,
    summary: 'Lists the sections with their owners and versions, without bodies.',
    query: z.object({ prefix: z.string().default('') }),
    answer: answers.SectionList,
    handle: async call => {
      const { document } = call.services
      const sections: answers.SectionSummary[] = []
      for (const section of document.listSections()) {
        const described = answers.describeSection(document, section)
        if (described !== undefined && section.name.startsWith(call.query.prefix)) {
          sections.push({ name: described.name, owner: described.owner, version: described.version })
        }
      }
      sections.sort((left, right) => left.name < right.name ? -1 : 1)
      return routes.answer({ version: document.version, sections })
    }
  }),
  routes.defineRoute({
    method: 'POST',
    path: '/admin/v1/changes',
    group,
    summary: 'Changes several sections as a whole. The operation makes a repeated call return the first outcome.',
    body: changeRequests.ChangeBody,
    answer: changeRequests.Acceptance,
    codes: routes.changeCodes,
    handle: async call => {
      const request = changeRequests.createChangeRequest(call.body)
      return routes.change({ ...call, operation: request.operation, digest: request.digest }, request.makeEdits)
    }
  }),
  ...basePaths.flatMap(createSectionRoutes)
]
