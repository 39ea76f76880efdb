/**
 * The document as it would be after a change, as parsed bodies by kind and name.
 */
import * as configuration from '../contracts/configuration.js'
import * as documents from './document.js'
import * as verdicts from '../contracts/verdict.js'

export class Draft {
  readonly workspaces: Map<string, configuration.Workspace>
  readonly keyRings: Map<string, configuration.KeyRing>
  readonly models: Map<string, configuration.Model>
  readonly servers: Map<string, configuration.Server>
  readonly services: Map<string, configuration.Service>
  readonly teams: Map<string, configuration.Team>

  constructor (document: documents.Document) {
    this.workspaces = new Map(document.listWorkspaces())
    this.keyRings = new Map(document.listKeyRings())
    this.models = new Map(document.listModels())
    this.servers = new Map(document.listServers())
    this.services = new Map(document.listServices())
    this.teams = new Map(document.listTeams())
  }

  /** Sets a body that has been checked against the schema of its kind; `undefined` deletes the section. */
  setBody (sectionName: string, body: unknown): void {
    const kind = configuration.getSectionKind(sectionName)
    if (kind === undefined || kind === 'policy') {
      return
    }
    const sections = this.getSectionsOfKind(kind)
    const name = documents.getLocalName(sectionName)
    if (body === undefined) {
      sections.delete(name)
      return
    }
    sections.set(name, body)
  }

  private getSectionsOfKind (kind: Exclude<configuration.SectionKind, 'policy'>): Map<string, unknown> {
    switch (kind) {
      case 'workspaces':
        return this.workspaces
      case 'keys':
        return this.keyRings
      case 'models':
        return this.models
      case 'servers':
        return this.servers
      case 'services':
        return this.services
      case 'teams':
        return this.teams
      default:
        return verdicts.assertNever(kind)
    }
  }
}
