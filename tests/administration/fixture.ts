/**
 * The administration API of an entry over an in-memory store.
 */
import * as events from '../../src/contracts/events.js'
import * as fixture from '../configuration/fixture.js'
import * as fleets from '../../src/administration/fleet.js'
import * as histories from '../../src/configuration/history.js'
import * as host from '../../src/host/types.js'
import * as listeners from '../../src/administration/listener.js'
import * as probeApplications from '../../src/administration/probe_application.js'
import * as seededRandoms from '../../src/host/seeded_random.js'
import * as standinClient from '../support/standin_client.js'

export const event: events.Event = {
  node: 'entry-1', role: 'entry', boot: 'b', sequence: 1, tick: 1, wallMs: 0, kind: 'request.received', request: 'r1'
}

class OneProcess extends fleets.Fleet {
  constructor (private readonly entry: fixture.Process) {
    super()
  }

  override async readStatus (): Promise<readonly fleets.Status[]> {
    const { identity, replica } = this.entry
    return [{ identity, configurationVersion: replica.version, state: 'ready', uptimeMs: 5, figures: { requests: 2 } }]
  }

  override async readTimeline (request: string | undefined): Promise<readonly events.Event[]> {
    return request === undefined || request === event.request ? [event] : []
  }
}

export class KnownProbes extends probeApplications.Probes {
  isReadyNow = true
  override isHealthy (): boolean { return true }
  override isReady (): boolean { return this.isReadyNow }
  override async renderMetrics (): Promise<string> { return 'mulberryflow_up 1\n' }
}

export interface Api {
  readonly url: string
  readonly entry: fixture.Process
  readonly probes: KnownProbes
  /** Calls with the administrators' credential, unless the headers say otherwise. */
  call (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body?: unknown, headers?: Record<string, string>): Promise<standinClient.Reply>
  close (): Promise<void>
}

export const bodyBytes = 10_000

export async function startApi (entry: fixture.Process, bodyTimeoutMs = 5_000): Promise<Api> {
  const probes = new KnownProbes()
  await entry.start()
  const { editor, store, replica } = entry
  if (editor === undefined || store === undefined) {
    throw new Error('an agent has no administration API')
  }
  const listener = new listeners.AdministrationListener({
    document: replica.document,
    editor,
    history: new histories.History(store),
    fleet: new OneProcess(entry),
    clock: entry.network.clock as host.Clock,
    random: new seededRandoms.SeededRandom(1),
    probes,
    isReady: () => replica.isReady,
    bodyBytes
  }, { memoryMb: 1024, descriptors: 8192, headerBytes: 8_192, headerCount: 64, bodyTimeoutMs })
  const port = await listener.listen({ host: '127.0.0.1', port: 0 })
  const url = `http://127.0.0.1:${port}`
  return {
    url,
    entry,
    probes,
    call: (method, path, body, headers) => standinClient.send(method, url + path, body, {
      authorization: `Bearer ${fixture.administratorCredential}`, ...headers
    }),
    close: () => listener.close()
  }
}
