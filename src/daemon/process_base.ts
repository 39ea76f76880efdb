/**
 * What every process of the system has: identity, links, time line and metrics.
 */
import * as fs from 'node:fs/promises'
import * as linkContexts from '../links/link_context.js'
import * as events from '../contracts/events.js'
import * as failures from '../contracts/failure.js'
import * as host from '../host/types.js'
import * as identities from '../contracts/identity.js'
import * as linkPools from '../links/link_pool.js'
import * as links from '../links/types.js'
import * as meters from '../metrics/prometheus_meter.js'
import * as piggybacks from './process_piggyback.js'
import * as protocol from '../contracts/protocol.js'
import * as rings from '../timeline/ring.js'
import * as settings from '../contracts/settings.js'
import * as traffics from '../links/traffic.js'

export type ProcessState = protocol.Answer<'status.read'>['state']

/** Answers questions about this process. */
export abstract class StatusSource {
  abstract readonly state: ProcessState
  abstract readonly configurationVersion: number
  /** Figures of the role, for display. */
  abstract getFigures (): Readonly<Record<string, number>>
}

export class ProcessBase {
  readonly identity: identities.Identity
  readonly linkContext: linkContexts.LinkContext
  readonly links: links.LinkPool
  readonly meter = new meters.PrometheusMeter()
  readonly piggyback: piggybacks.ProcessPiggyback
  readonly ring: rings.EventRing
  readonly traffic = new traffics.Traffic()
  private readonly startedAtMs: number

  constructor (readonly system: host.System, options: settings.Settings, security: links.Security | undefined) {
    this.startedAtMs = system.clock.monotonicMs()
    this.identity = createIdentity(options, system.random.nextId())
    const lamport = new rings.LamportClock()
    this.piggyback = new piggybacks.ProcessPiggyback(lamport)
    this.ring = new rings.EventRing(this.identity, system.clock, lamport, options.limits.eventsKept)
    this.linkContext = {
      system,
      identity: this.identity,
      credential: options.credential,
      timing: options.timing,
      piggyback: this.piggyback,
      traffic: this.traffic,
      security
    }
    this.links = linkPools.createLinkPool(this.linkContext)
  }

  /** Answers calls about this process, of either role. */
  createHandlers (source: StatusSource): links.Handlers {
    return {
      'status.read': async () => failures.succeed(this.getStatus(source)),
      'timeline.read': async query => failures.succeed({ events: this.readTimeline(query.request, query.limit) })
    }
  }

  getStatus (source: StatusSource): protocol.Answer<'status.read'> {
    return {
      identity: this.identity,
      configurationVersion: source.configurationVersion,
      state: source.state,
      uptimeMs: this.system.clock.monotonicMs() - this.startedAtMs,
      figures: { ...source.getFigures() }
    }
  }

  readTimeline (request: string | undefined, limit: number): events.Event[] {
    return [...this.ring.read({ request, limit })]
  }

  /** Returns the metrics as Prometheus text. */
  renderMetrics (source: StatusSource): Promise<string> {
    this.meter.gauge('configuration_version', {}, source.configurationVersion)
    for (const purpose of ['control', 'work'] as const) {
      for (const direction of ['sent', 'received'] as const) {
        const totals = this.traffic.get(purpose, direction)
        this.meter.gauge('link_bytes', { purpose, direction }, totals.bytes)
        this.meter.gauge('link_messages', { purpose, direction }, totals.messages)
      }
    }
    return this.meter.render()
  }
}

/** Reads the certificates that the settings name, if they name any. */
export async function readSecurity (options: settings.Settings): Promise<failures.Result<links.Security | undefined>> {
  if (options.security === undefined) {
    return failures.succeed(undefined)
  }
  const { authority, certificate, key } = options.security
  const result: Record<string, string> = {}
  for (const [name, file] of Object.entries({ authority, certificate, key })) {
    try {
      result[name] = await fs.readFile(file, 'utf8')
    } catch (error) {
      return failures.fail(failures.createFailure('not_run', 'settings_unreadable', [file, String(error)]))
    }
  }
  return failures.succeed(result as unknown as links.Security)
}

function createIdentity (options: settings.Settings, boot: string): identities.Identity {
  const { node, role, zone, region, control } = options
  return { node, boot, role, zone, region, control }
}
