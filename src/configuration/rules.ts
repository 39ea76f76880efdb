/**
 * Rules across sections, checked on the document as it would be after the change.
 */
import * as changeRequests from './change_request.js'
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'
import * as drafts from './draft.js'
import * as identities from '../contracts/identity.js'

/** Records a mistake. */
type MistakeReporter = (section: string, path: string, message: string) => void

/** Returns all violations of the rules across sections in the draft. */
export function checkRules (
  draft: drafts.Draft, before: documents.Document, administratorHash: string
): readonly changeRequests.Mistake[] {
  const mistakes: changeRequests.Mistake[] = []
  const report: MistakeReporter = (section, path, message) => mistakes.push({ section, path, message })
  checkWorkspaces(draft, report)
  checkKeyRings(draft, before, report)
  checkServers(draft, report)
  checkServices(draft, report)
  checkTeams(draft, administratorHash, report)
  return mistakes
}

function checkWorkspaces (draft: drafts.Draft, report: MistakeReporter): void {
  for (const [name, workspace] of draft.workspaces) {
    const section = `workspaces/${name}`
    checkReferences(section, 'models', workspace.models ?? [], draft.models, report)
    checkReferences(section, 'services', workspace.services ?? [], draft.services, report)
  }
}

function checkKeyRings (draft: drafts.Draft, before: documents.Document, report: MistakeReporter): void {
  const owners = new Map<string, string>()
  for (const [workspace, ring] of draft.keyRings) {
    const section = `keys/${workspace}`
    if (!draft.workspaces.has(workspace)) {
      report(section, '', `workspace "${workspace}" does not exist`)
    }
    const ids = new Set<string>()
    for (const [index, key] of ring.keys.entries()) {
      const path = `keys.${index}`
      if (ids.has(key.id)) {
        report(section, `${path}.id`, `the key "${key.id}" is listed twice`)
      }
      ids.add(key.id)
      const owner = owners.get(key.hash)
      if (owner !== undefined) {
        report(section, `${path}.hash`, `the key already belongs to workspace "${owner}"`)
      }
      owners.set(key.hash, workspace)
      checkWithdrawal(section, path, key, before, report)
    }
  }
}

/** Reports a withdrawn key that the change would make valid again. */
function checkWithdrawal (
  section: string, path: string, key: configuration.Key, before: documents.Document, report: MistakeReporter
): void {
  const withdrawnAtMs = before.findKey(key.hash)?.key.withdrawnAtMs
  if (withdrawnAtMs !== undefined && key.withdrawnAtMs === undefined) {
    report(section, `${path}.withdrawnAtMs`, 'a withdrawn key cannot be made valid again')
  }
}

function checkServers (draft: drafts.Draft, report: MistakeReporter): void {
  const addresses = new Map<string, string>()
  for (const [name, server] of draft.servers) {
    const section = `servers/${name}`
    checkReferences(section, 'models', server.models, draft.models, report)
    checkReferences(section, 'services', server.services, draft.services, report)
    checkServerRole(section, server, report)
    const address = identities.formatAddress(server.agent)
    const other = addresses.get(address)
    if (other !== undefined) {
      report(section, 'agent', `server "${other}" has the same address`)
    }
    addresses.set(address, name)
  }
}

function checkServerRole (section: string, server: configuration.Server, report: MistakeReporter): void {
  if (server.role === 'service') {
    if (server.services.length === 0) {
      report(section, 'services', 'a server of role "service" must serve at least one service')
    }
    if (server.models.length > 0) {
      report(section, 'models', 'a server of role "service" cannot serve models')
    }
    return
  }
  if (server.models.length === 0) {
    report(section, 'models', `a server of role "${server.role}" must serve at least one model`)
  }
  if (server.services.length > 0) {
    report(section, 'services', `a server of role "${server.role}" cannot serve services`)
  }
  if (server.memoryPieces === 0) {
    report(section, 'memoryPieces', `a server of role "${server.role}" must have at least one piece of memory`)
  }
}

function checkServices (draft: drafts.Draft, report: MistakeReporter): void {
  const owners = new Map<string, string>()
  for (const [name, service] of draft.services) {
    const methods = new Set<string>()
    for (const [index, route] of service.routes.entries()) {
      const owner = owners.get(route.prefix)
      if (owner !== undefined && owner !== name) {
        report(`services/${name}`, `routes.${index}.prefix`, `service "${owner}" has the same prefix`)
      }
      owners.set(route.prefix, name)
      for (const method of route.methods) {
        const call = `${method} ${route.prefix}`
        if (methods.has(call)) {
          report(`services/${name}`, `routes.${index}.methods`, `another route already has ${call}`)
        }
        methods.add(call)
      }
    }
  }
}

function checkTeams (draft: drafts.Draft, administratorHash: string, report: MistakeReporter): void {
  const owners = new Map<string, string>([[administratorHash, 'the administrators']])
  for (const [name, team] of draft.teams) {
    const owner = owners.get(team.credentialHash)
    if (owner !== undefined) {
      report(`teams/${name}`, 'credentialHash', `the credential is already used by ${owner}`)
    }
    owners.set(team.credentialHash, `team "${name}"`)
  }
}

function checkReferences (
  section: string, path: string, names: readonly string[], existing: ReadonlyMap<string, unknown>, report: MistakeReporter
): void {
  for (const [index, name] of names.entries()) {
    if (!existing.has(name)) {
      report(section, `${path}.${index}`, `"${name}" does not exist`)
    }
  }
}
