/**
 * The configuration document in memory: sections by name, with indexes for the look-ups of requests.
 * Its version only increases; an older change never replaces a newer one.
 */
import * as configuration from '../contracts/configuration.js'
import * as verdicts from '../contracts/verdict.js'
import * as z from 'zod'

/** A caller's key and the workspace that it belongs to. */
export interface WorkspaceKey {
  readonly workspace: string
  readonly key: configuration.Key
}

/** A route of a plain service that matches a request, with the service's time-out. */
export interface RouteMatch {
  readonly service: string
  readonly route: configuration.ServiceRoute
  readonly timeoutMs: number
}

/** Read access to the current configuration. */
export abstract class ConfigurationView {
  abstract readonly version: number
  abstract readonly policy: configuration.Policy
  abstract getSection (name: string): configuration.Section | undefined
  abstract listSections (): readonly configuration.Section[]
  abstract getWorkspace (name: string): configuration.Workspace | undefined
  abstract listWorkspaces (): ReadonlyMap<string, configuration.Workspace>
  abstract findKey (hash: string): WorkspaceKey | undefined
  abstract getModel (name: string): configuration.Model | undefined
  abstract listModels (): ReadonlyMap<string, configuration.Model>
  abstract getServer (name: string): configuration.Server | undefined
  abstract listServers (): ReadonlyMap<string, configuration.Server>
  /**
   * Returns the route with the longest matching prefix, preferring one that allows the method if several share
   * the prefix. If none of them allows the method, a route that excludes it is returned.
   */
  abstract matchRoute (method: string, path: string): RouteMatch | undefined
}

export class Document extends ConfigurationView {
  private documentVersion = 0
  private readonly sections = new Map<string, configuration.Section>()
  private readonly workspaces = new Map<string, configuration.Workspace>()
  private readonly keyRings = new Map<string, configuration.KeyRing>()
  private readonly keys = new Map<string, WorkspaceKey>()
  private readonly models = new Map<string, configuration.Model>()
  private readonly servers = new Map<string, configuration.Server>()
  private readonly services = new Map<string, configuration.Service>()
  private readonly teams = new Map<string, configuration.Team>()
  private currentPolicy = configuration.Policy.parse({})

  override get version (): number {
    return this.documentVersion
  }

  override get policy (): configuration.Policy {
    return this.currentPolicy
  }

  override getSection (name: string): configuration.Section | undefined {
    return this.sections.get(name)
  }

  override listSections (): readonly configuration.Section[] {
    return [...this.sections.values()]
  }

  override getWorkspace (name: string): configuration.Workspace | undefined {
    return this.workspaces.get(name)
  }

  override listWorkspaces (): ReadonlyMap<string, configuration.Workspace> {
    return this.workspaces
  }

  override findKey (hash: string): WorkspaceKey | undefined {
    return this.keys.get(hash)
  }

  override getModel (name: string): configuration.Model | undefined {
    return this.models.get(name)
  }

  override listModels (): ReadonlyMap<string, configuration.Model> {
    return this.models
  }

  override getServer (name: string): configuration.Server | undefined {
    return this.servers.get(name)
  }

  override listServers (): ReadonlyMap<string, configuration.Server> {
    return this.servers
  }

  listServices (): ReadonlyMap<string, configuration.Service> {
    return this.services
  }

  listKeyRings (): ReadonlyMap<string, configuration.KeyRing> {
    return this.keyRings
  }

  listTeams (): ReadonlyMap<string, configuration.Team> {
    return this.teams
  }

  override matchRoute (method: string, path: string): RouteMatch | undefined {
    let best: RouteMatch | undefined
    for (const [name, service] of this.services) {
      for (const route of service.routes) {
        if (isUnderPrefix(path, route.prefix) && isBetterRoute(route, best?.route, method)) {
          best = { service: name, route, timeoutMs: service.timeoutMs }
        }
      }
    }
    return best
  }

  /** Applies the next change. Returns false and changes nothing unless its version is exactly one higher. */
  applyChange (change: configuration.Change): boolean {
    if (change.version !== this.documentVersion + 1) {
      return false
    }
    for (const section of change.sections) {
      this.putSection(section)
    }
    this.documentVersion = change.version
    return true
  }

  /** Replaces the document by a snapshot. Returns false and changes nothing unless the snapshot is newer. */
  applySnapshot (snapshot: configuration.Snapshot): boolean {
    if (snapshot.version <= this.documentVersion) {
      return false
    }
    const retainedNames = new Set(snapshot.sections.map(section => section.name))
    for (const name of [...this.sections.keys()]) {
      if (!retainedNames.has(name)) {
        this.removeSection(name)
      }
    }
    for (const section of snapshot.sections) {
      this.putSection(section)
    }
    this.documentVersion = snapshot.version
    return true
  }

  /** Returns the whole document; agents get it without the secret sections. */
  createSnapshot (audience: 'entry' | 'agent'): configuration.Snapshot {
    const sections: configuration.Section[] = []
    for (const section of this.sections.values()) {
      if (audience === 'agent' && configuration.isSecretSection(section.name)) {
        continue
      }
      sections.push(section)
    }
    return { version: this.documentVersion, sections }
  }

  private putSection (section: configuration.Section): void {
    const kind = configuration.getSectionKind(section.name)
    if (kind === undefined) {
      return
    }
    this.removeSection(section.name)
    this.sections.set(section.name, section)
    if (section.body === undefined) {
      return
    }
    this.indexBody(kind, section)
  }

  /** Indexes a body. A body that this release cannot parse, because a newer one wrote it, stays in `sections` without an index. */
  private indexBody (kind: configuration.SectionKind, section: configuration.Section): void {
    const name = getLocalName(section.name)
    switch (kind) {
      case 'workspaces':
        parseAndIndexBody(configuration.Workspace, section, workspace => this.workspaces.set(name, workspace))
        return
      case 'keys':
        parseAndIndexBody(configuration.KeyRing, section, ring => this.indexKeyRing(name, ring))
        return
      case 'models':
        parseAndIndexBody(configuration.Model, section, model => this.models.set(name, model))
        return
      case 'servers':
        parseAndIndexBody(configuration.Server, section, server => this.servers.set(name, server))
        return
      case 'services':
        parseAndIndexBody(configuration.Service, section, service => this.services.set(name, service))
        return
      case 'teams':
        parseAndIndexBody(configuration.Team, section, team => this.teams.set(name, team))
        return
      case 'policy':
        parseAndIndexBody(configuration.Policy, section, policy => { this.currentPolicy = policy })
        return
      default:
        verdicts.assertNever(kind)
    }
  }

  private indexKeyRing (workspace: string, ring: configuration.KeyRing): void {
    this.keyRings.set(workspace, ring)
    for (const key of ring.keys) {
      this.keys.set(key.hash, { workspace, key })
    }
  }

  private removeSection (sectionName: string): void {
    const name = getLocalName(sectionName)
    this.sections.delete(sectionName)
    switch (configuration.getSectionKind(sectionName)) {
      case 'workspaces':
        this.workspaces.delete(name)
        return
      case 'keys':
        this.removeKeyRing(name)
        return
      case 'models':
        this.models.delete(name)
        return
      case 'servers':
        this.servers.delete(name)
        return
      case 'services':
        this.services.delete(name)
        return
      case 'teams':
        this.teams.delete(name)
        return
      case 'policy':
        this.currentPolicy = configuration.Policy.parse({})
    }
  }

  private removeKeyRing (workspace: string): void {
    const ring = this.keyRings.get(workspace)
    this.keyRings.delete(workspace)
    for (const key of ring?.keys ?? []) {
      if (this.keys.get(key.hash)?.workspace === workspace) {
        this.keys.delete(key.hash)
      }
    }
  }
}

/** Returns the part of a section's name after its kind and the slash. */
export function getLocalName (sectionName: string): string {
  const slash = sectionName.indexOf('/')
  return slash < 0 ? '' : sectionName.slice(slash + 1)
}

function parseAndIndexBody<Schema extends z.ZodType> (
  schema: Schema, section: configuration.Section, index: (body: z.output<Schema>) => void
): void {
  const parsed = schema.safeParse(section.body)
  if (parsed.success) {
    index(parsed.data)
  }
}

function isUnderPrefix (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) {
    return false
  }
  return path.length === prefix.length || prefix.endsWith('/') || path[prefix.length] === '/'
}

function isBetterRoute (
  route: configuration.ServiceRoute, best: configuration.ServiceRoute | undefined, method: string
): boolean {
  if (best === undefined || route.prefix.length !== best.prefix.length) {
    return route.prefix.length > (best?.prefix.length ?? -1)
  }
  return !hasMethod(best, method) && hasMethod(route, method)
}

function hasMethod (route: configuration.ServiceRoute, method: string): boolean {
  return route.methods.some(allowed => allowed === method)
}
