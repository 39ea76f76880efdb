/**
 * An entry with fake agents and a manual clock, which serves callers over loopback.
 */
import * as assert from 'node:assert/strict'
import * as events from 'node:events'
import * as http from 'node:http'
import * as net from 'node:net'
import * as allowances from '../../src/allowances/types.js'
import * as clocks from '../support/manual_clock.js'
import * as entries from '../../src/entry/entry.js'
import * as failures from '../../src/contracts/failure.js'
import * as host from '../../src/host/types.js'
import * as metrics from '../../src/metrics/types.js'
import * as random from '../../src/host/seeded_random.js'
import * as settings from '../../src/contracts/settings.js'
import * as timeline from '../../src/timeline/types.js'
import * as types from '../../src/entry/types.js'
import * as worlds from './world.js'

export class ErrorLog extends host.Log {
  readonly errors: string[] = []

  override info (): void {}
  override warn (): void {}

  override error (message: string, fields?: host.LogFields): void {
    this.errors.push(`${message} ${String(fields?.['error'])}`)
  }
}

/** Grants every charge, or fails with `refusal`, and records charges and settlements. */
export class FakeAllowances extends allowances.Allowances {
  refusal: failures.Failure | undefined
  private delayed: Promise<void> | undefined
  readonly charged: allowances.Charge[] = []
  readonly settled: number[] = []

  /** Delays grants until the returned function is called. */
  delay (): () => void {
    let grant = (): void => {}
    this.delayed = new Promise(resolve => {
      grant = resolve
    })
    return grant
  }

  override async charge (charge: allowances.Charge): Promise<failures.Result<allowances.Grant>> {
    if (this.refusal !== undefined) {
      return failures.fail(this.refusal)
    }
    this.charged.push(charge)
    await this.delayed
    return failures.succeed({ charge, settle: tokens => this.settled.push(tokens) })
  }
}

interface Options {
  readonly allowances: FakeAllowances
  readonly log: host.Log
  readonly limits: Partial<settings.Limits>
  readonly seed: number
}

export function createContext (world: worlds.World, options: Options): types.EntryContext {
  const { allowances, limits, log, seed } = options
  return {
    identity: { node: `entry${seed}`, boot: 'b', role: 'entry', zone: 'z', region: 'local' },
    system: { clock: world.clock, random: new random.SeededRandom(seed), log },
    configuration: world.document,
    links: world.pool,
    allowances,
    store: world.store,
    storePrefix: '/t/',
    limits: settings.Limits.parse(limits),
    timing: settings.Timing.parse({}),
    meter: new metrics.SilentMeter(),
    recorder: new timeline.SilentRecorder()
  }
}

export interface Request {
  readonly method?: string
  readonly path: string
  readonly headers?: http.OutgoingHttpHeaders
  /** The caller's key; empty for none. */
  readonly key?: string
  readonly body?: string
}

export interface Answer {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  readonly body: string
}

export class Fixture {
  readonly allowances = new FakeAllowances()
  readonly log = new ErrorLog()
  entry!: entries.Entry

  private constructor (readonly world: worlds.World) {}

  static async create (
    world = new worlds.World(), limits: Partial<settings.Limits> = {}, seed = 1
  ): Promise<Fixture> {
    const fixture = new Fixture(world)
    const { allowances, log } = fixture
    fixture.entry = entries.createEntry(createContext(world, { allowances, log, limits, seed }))
    fixture.entry.server.listen(0, '127.0.0.1')
    await events.EventEmitter.once(fixture.entry.server, 'listening')
    return fixture
  }

  get port (): number {
    return (this.entry.server.address() as net.AddressInfo).port
  }

  close (): void {
    this.entry.server.closeAllConnections()
    this.entry.server.close()
  }

  /** Sends a request and reads the whole answer. */
  async send (options: Request): Promise<Answer> {
    const request = this.open(options)
    request.end(options.body)
    return await readAnswer(request)
  }

  /** Opens a request on a new connection without ending it. */
  open (options: Request): http.ClientRequest {
    const { method = 'POST', path, headers = {}, key = worlds.key } = options
    const authorization = key === '' ? {} : { authorization: `Bearer ${key}` }
    return http.request({
      host: '127.0.0.1', port: this.port, method, path, headers: { ...authorization, ...headers }, agent: false
    })
  }

  complete (body: object): Promise<Answer> {
    return this.send({ path: '/v1/completions', body: JSON.stringify({ model: 'm', prompt: 'Hi there', ...body }) })
  }

  /** Sends raw bytes and returns everything received until the connection ends. */
  async sendRaw (text: string): Promise<string> {
    const socket = net.connect(this.port, '127.0.0.1')
    socket.write(text)
    const chunks: Buffer[] = await socket.toArray()
    return Buffer.concat(chunks).toString()
  }

  /** Waits until the condition holds, without advancing the clock. */
  async waitUntil (isMet: () => boolean): Promise<void> {
    for (let turn = 0; turn < 100_000; turn += 1) {
      if (isMet()) {
        return
      }
      await clocks.settlePromises()
    }
    throw new Error('the condition was not met')
  }

  /** Closes the entry and checks that it has logged no error and settled each charge once. */
  finish (): void {
    this.close()
    assert.deepEqual(this.log.errors, [])
    assert.equal(this.allowances.settled.length, this.allowances.charged.length, 'each charge is settled once')
  }

  /** Waits until no request, attempt, cancellation, claim or held link is left. */
  async waitUntilIdle (): Promise<void> {
    const isIdle = (): boolean => Object.values(this.entry.getFigures()).every(figure => figure === 0)
    await this.waitUntil(() => isIdle() && this.world.countHeld() === 0)
  }
}

export async function readAnswer (request: http.ClientRequest): Promise<Answer> {
  const [response] = await events.EventEmitter.once(request, 'response') as [http.IncomingMessage]
  const chunks: Buffer[] = await response.toArray()
  return { status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString() }
}

/** Returns the status, code and verdict of a failure. */
export function readFailure (answer: Answer): readonly [number, string, string] {
  const { error } = JSON.parse(answer.body) as { error: { code: string, verdict: string } }
  return [answer.status, error.code, error.verdict]
}

/** Returns the text of a stream's events. */
export function readStream (body: string): string {
  let text = ''
  for (const line of body.split('\n')) {
    if (line.startsWith('data: {"id"')) {
      const { choices } = JSON.parse(line.slice('data: '.length)) as { choices: { text?: string }[] }
      text += choices[0]?.text ?? ''
    }
  }
  return text
}
