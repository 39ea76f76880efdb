/**
 * A trial of an entry and an agent against a crowd: whether both processes live, what they held at most, and whether an ordinary caller is then
 * served. Nothing is checked that depends on the machine's speed.
 */
import * as assert from 'node:assert/strict'
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as test from 'node:test'
import * as timers from 'node:timers/promises'
import * as undici from 'undici'
import * as z from 'zod'
import * as crowds from '../../platform/tests/memory/crowd.js'
import * as fleetBuilders from '../../tools/fleet_builder.js'
import * as fleetPlans from '../../tools/fleet_plan.js'
import * as fleets from '../../tools/fleet.js'
import * as settings from '../../src/contracts/settings.js'

export const crowdSize = 100
/** Largest body of a request in the settings of a trial. */
export const bodyBytes = 4_194_304
/** An entry without callers has a resident set of about 90 MB, an agent of about 75 MB. */
const memoryMb = 192
const descriptors = 512
const bytesPerMb = 1_048_576
const host = '127.0.0.1'
const startMs = 60_000
/** How long an ordinary caller is given, with refusals after which it comes back. */
const ordinaryMs = 60_000
const ordinaryPauseMs = 250
/** Time after which a call without an answer is given up and repeated. */
const callTimeoutMs = 20_000
const samplePeriodMs = 50
const key = `mf-crowd-${'k'.repeat(48)}`

export interface TrialOptions {
  readonly limits?: Partial<z.input<typeof settings.Limits>>
}

/** Returns the head of a call; an empty key is left out. */
export function createHead (framing: string, target = '/bookings', credential = key, method = 'POST'): string {
  const authorization = credential === '' ? '' : `Authorization: Bearer ${credential}\r\n`
  return `${method} ${target} HTTP/1.1\r\nHost: desk.example\r\n${authorization}Content-Type: application/json\r\n${framing}\r\n\r\n`
}

/** What one process held at most. */
class Peak {
  private peakKb = 0
  private mostDescriptors = 0

  constructor (private readonly name: string, private readonly process: fleets.Fleet['entries'][number]['process']) {}

  /** Reads the largest resident set since the start of the process, and the descriptors that are open. */
  sample (): void {
    const { pid } = this.process
    try {
      const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8')
      this.peakKb = Math.max(this.peakKb, Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 0))
      this.mostDescriptors = Math.max(this.mostDescriptors, fs.readdirSync(`/proc/${pid}/fd`).length)
    } catch {
      // The process has ended, which `listFaults` reports.
    }
  }

  describe (): string {
    return `${this.name} ${(this.peakKb / 1024).toFixed(0)} MB, ${this.mostDescriptors} descriptors, ${this.process.isRunning ? 'lives' : 'ended'}`
  }

  listFaults (limits: settings.Limits): string[] {
    const faults: string[] = []
    if (!this.process.isRunning) {
      faults.push(`${this.name} has ended`)
    }
    if (this.peakKb * 1024 > limits.memoryMb * bytesPerMb) {
      faults.push(`${this.name} took more than ${limits.memoryMb} MB`)
    }
    if (this.mostDescriptors > limits.descriptors) {
      faults.push(`${this.name} had more than ${limits.descriptors} descriptors`)
    }
    return faults
  }
}

export class DaemonTrial {
  fleet!: fleets.Fleet
  private readonly limits: settings.Limits
  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'mulberryflow-memory-'))
  private readonly builder: fleetBuilders.FleetBuilder
  private readonly crowds: crowds.Crowd[] = []
  private peaks: readonly Peak[] = []
  private sampling: NodeJS.Timeout | undefined

  constructor (options: TrialOptions = {}) {
    const limits = { memoryMb, descriptors, bodyBytes, ...options.limits }
    this.limits = settings.Limits.parse(limits)
    const plan: fleetPlans.FleetPlan = {
      zones: [], services: ['bookings', 'notices'], entrySettings: { limits }, agentSettings: { limits }
    }
    this.builder = new fleetBuilders.FleetBuilder(plan, this.folder)
  }

  async start (): Promise<void> {
    const { builder } = this
    const vm = { zone: 'a', region: 'local', host }
    const store = await builder.startStandin('store', 'store', host, {})
    const machines = await builder.startStandin('machines', 'machines', host, {})
    const servers = [await builder.createServer({ ...vm, name: 'service', role: 'service' })]
    const entries = [await builder.createEntry({ ...vm, name: 'entry' }, { storeUrl: store.url, machineListUrl: machines.url })]
    this.fleet = new fleets.Fleet({ store, machines, entries, servers }, builder, this.folder)
    const nodes = [...entries, ...servers]
    for (const node of nodes) {
      await this.fleet.listVm(node.vm.name)
      node.process.start()
    }
    await this.fleet.waitForDaemons('healthz', performance.now() + startMs)
    await this.repeat(() => this.seed(), 200)
    await this.fleet.waitForDaemons('readyz', performance.now() + startMs)
    assert.equal(await this.callAsOrdinary(), 201)
    this.peaks = nodes.map(({ vm: { name }, process }) => new Peak(name, process))
    this.sampling = setInterval(() => this.sample(), samplePeriodMs)
  }

  async close (): Promise<void> {
    clearInterval(this.sampling)
    for (const crowd of this.crowds) {
      crowd.close()
    }
    await this.builder.stop()
    fs.rmSync(this.folder, { recursive: true, force: true })
  }

  get callersPort (): number {
    return this.fleet.entries[0]?.addresses.callers.port ?? 0
  }

  get administrationPort (): number {
    return this.fleet.entries[0]?.addresses.administration.port ?? 0
  }

  get entryControlPort (): number {
    return this.fleet.entries[0]?.addresses.control.port ?? 0
  }

  get agentControlPort (): number {
    return this.fleet.servers[0]?.addresses.control.port ?? 0
  }

  get agentHealthPort (): number {
    return this.fleet.servers[0]?.addresses.health.port ?? 0
  }

  /** Lets a crowd do what it can and leaves its connections open. */
  async send (plan: crowds.ClientPlan, count = crowdSize, port = this.callersPort): Promise<void> {
    const crowd = new crowds.Crowd(port, count, () => plan)
    this.crowds.push(crowd)
    await crowd.settle()
  }

  /** Sets how long the server takes for each call, in milliseconds. */
  async setDelay (delayMs: number): Promise<void> {
    await this.fleet.servers[0]?.standin.setFaults({ delayMs })
  }

  /** Checks the requirement while the crowd's connections are open. */
  async check (): Promise<void> {
    const answer = await this.callAsOrdinary()
    this.sample()
    const seen = `${this.peaks.map(peak => peak.describe()).join('; ')}; answer ${answer}`
    console.log(`memory ${seen}`)
    const faults = this.peaks.flatMap(peak => peak.listFaults(this.limits))
    assert.deepEqual(faults, [], seen)
    assert.equal(answer, 201, seen)
  }

  /** Sends a creation to an open route as a caller that comes back when it is refused, and returns the last status. */
  callAsOrdinary (content: object = { text: 'swell' }): Promise<number> {
    return this.repeat(() => this.request(this.callersPort, '/notices', {}, content), 201)
  }

  private async seed (): Promise<number> {
    const bodies = new Map(this.fleet.listSections())
    const route = { methods: ['GET', 'POST'], idempotent: false }
    bodies.set('services/bookings', { routes: [{ ...route, prefix: '/bookings', open: false }] })
    bodies.set('services/notices', { routes: [{ ...route, prefix: '/notices', open: true }] })
    bodies.set('workspaces/crowd', { allowance: { tokensPerSecond: 1e6, burstTokens: 1e8 } })
    bodies.set('keys/crowd', { keys: [{ id: 'first', hash: crypto.createHash('sha256').update(key).digest('hex'), createdAtMs: 0 }] })
    const edits = [...bodies].map(([name, body]) => ({ name, expectedVersion: 0, body }))
    const authorization = `Bearer ${this.builder.secrets.administrator}`
    return this.request(this.administrationPort, '/admin/v1/changes', { authorization }, { operation: crypto.randomUUID(), edits })
  }

  /** Repeats a call until its status is the expected one, and returns the last status. */
  private async repeat (call: () => Promise<number>, expected: number): Promise<number> {
    const endMs = performance.now() + ordinaryMs
    let status = 0
    while (status !== expected && performance.now() < endMs) {
      status = await call().catch(() => 0)
      if (status !== expected) {
        await timers.setTimeout(ordinaryPauseMs)
      }
    }
    return status
  }

  private async request (port: number, target: string, headers: Record<string, string>, body: object): Promise<number> {
    const response = await undici.request(`http://${host}:${port}${target}`, {
      method: 'POST',
      headers: { ...headers, 'content-type': 'application/json' },
      body: JSON.stringify(body),
      reset: true,
      dispatcher: new undici.Client(`http://${host}:${port}`, { headersTimeout: callTimeoutMs, bodyTimeout: callTimeoutMs })
    })
    const text = await response.body.text()
    if (response.statusCode >= 400) {
      console.log(`${target} ${response.statusCode} ${text.slice(0, 300)}`)
    }
    return response.statusCode
  }

  private sample (): void {
    for (const peak of this.peaks) {
      peak.sample()
    }
  }
}

/** Runs an action with processes of its own, and checks the requirement afterwards. */
export function runTrial (name: string, act: (trial: DaemonTrial) => Promise<void>, options: TrialOptions = {}): void {
  test.it(name, async () => {
    const trial = new DaemonTrial(options)
    try {
      await trial.start()
      await act(trial)
      await trial.check()
    } finally {
      await trial.close()
    }
  })
}
