/**
 * Routes of a workspace's keys. Only the SHA-256 of a key is kept.
 */
import * as z from 'zod'
import * as answers from './answers.js'
import * as changeRequests from '../configuration/change_request.js'
import * as configuration from '../contracts/configuration.js'
import * as credentials from '../configuration/credentials.js'
import * as documents from '../configuration/document.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as routes from './route.js'

const group = 'Keys'

/** Withdrawn keys stay listed this long, in milliseconds. */
const withdrawnKeptMs = 30 * 24 * 3_600_000

/** Characters of the hash in the identifier of a key that is given none. */
const identifierLength = 12

const NewKeyBody = z.strictObject({
  id: configuration.Name.optional(),
  label: z.string().max(200).default(''),
  /** SHA-256 of a key that the operator has made; without it the answer holds a new key. */
  hash: z.string().regex(/^[0-9a-f]{64}$/).optional()
})

/** Creates a key with 288 random bits. */
export function createKey (random: host.Random): string {
  return `mfk_${random.nextId()}${random.nextId()}`
}

function getRingName (call: routes.Call): string {
  return `keys/${call.params.name ?? ''}`
}

function getRing (call: routes.Call, document: documents.Document): failures.Result<configuration.KeyRing> {
  const workspace = call.params.name ?? ''
  if (document.getWorkspace(workspace) === undefined) {
    return routes.failUnknown(`workspaces/${workspace}`)
  }
  return failures.succeed(document.listKeyRings().get(workspace) ?? { keys: [] })
}

function makeRingEdit (
  call: routes.Call, document: documents.Document, keys: readonly configuration.Key[]
): readonly changeRequests.Edit[] {
  return [routes.createEdit(call, document, getRingName(call), { keys })]
}

async function listKeys (call: routes.Call): Promise<failures.Result<routes.Reply>> {
  const { document } = call.services
  if (!answers.mayRead(call.operator, getRingName(call))) {
    return failures.fail(failures.createFailure('not_run', 'section_forbidden', [call.operator.team, getRingName(call)]))
  }
  return getRing(call, document).chain(ring => {
    const keys = ring.keys.map(({ hash: _, ...summary }) => summary)
    return routes.answer({ keys }, document.getSection(getRingName(call))?.version)
  })
}

async function addKey (call: routes.Call<z.infer<typeof NewKeyBody>>): Promise<failures.Result<routes.Reply>> {
  const { clock, random } = call.services
  const secret = call.body.hash === undefined ? createKey(random) : undefined
  const hash = call.body.hash ?? credentials.hashSecret(secret ?? '')
  const id = call.body.id ?? `k-${hash.slice(0, identifierLength)}`
  const nowMs = clock.wallMs()
  const key: configuration.Key = { id, hash, label: call.body.label, createdAtMs: nowMs }
  const makeEdits: changeRequests.EditMaker = document => getRing(call, document).map(ring => {
    const kept = ring.keys.filter(({ withdrawnAtMs }) => withdrawnAtMs === undefined || withdrawnAtMs > nowMs - withdrawnKeptMs)
    return makeRingEdit(call, document, [...kept, key])
  })
  return routes.change(call, makeEdits, acceptance => acceptance.repeated || secret === undefined
    ? { ...acceptance, id }
    : { ...acceptance, id, key: secret })
}

async function withdrawKey (call: routes.Call): Promise<failures.Result<routes.Reply>> {
  const nowMs = call.services.clock.wallMs()
  const id = call.params.key ?? ''
  return routes.change(call, document => getRing(call, document).chain(ring => {
    if (!ring.keys.some(key => key.id === id)) {
      return routes.failUnknown(`${getRingName(call)}/${id}`)
    }
    const keys = ring.keys.map(key => key.id === id ? { withdrawnAtMs: nowMs, ...key } : key)
    return failures.succeed(makeRingEdit(call, document, keys))
  }))
}

export const keyRoutes: readonly routes.Route[] = [
  routes.defineRoute({
    method: 'GET',
    path: '/admin/v1/workspaces/{name}/keys',
    group,
    summary: 'Lists the keys of a workspace without their hashes.',
    answer: answers.KeyList,
    codes: ['section_unknown', 'section_forbidden'],
    handle: listKeys
  }),
  routes.defineRoute({
    method: 'POST',
    path: '/admin/v1/workspaces/{name}/keys',
    group,
    summary: 'Gives a workspace a key. The key is shown once; with a hash in the body it never leaves the operator.',
    version: 'optional',
    status: 201,
    body: NewKeyBody,
    answer: answers.NewKey,
    codes: ['section_unknown', ...routes.changeCodes],
    handle: addKey
  }),
  routes.defineRoute({
    method: 'DELETE',
    path: '/admin/v1/workspaces/{name}/keys/{key}',
    group,
    summary: 'Withdraws a key, for good. It stays listed for 30 days.',
    version: 'optional',
    answer: changeRequests.Acceptance,
    codes: ['section_unknown', ...routes.changeCodes],
    handle: withdrawKey
  })
]
