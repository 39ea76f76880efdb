/**
 * A watch over the etcd v3 JSON gateway: a stream of newline-delimited JSON, reopened at intervals so that an
 * unresponsive connection is detected.
 */
import * as codecs from './etcd_codec.js'
import * as failures from '../contracts/failure.js'
import * as host from './types.js'
import * as transports from './etcd_transport.js'

/** Length limit of a line of a watch stream, in UTF-16 code units. */
const maximumLineLength = 16_777_216

export interface WatchObserver {
  changed (events: readonly host.StoreEvent[]): void
  ended (failure: failures.Failure): void
}

export class EtcdWatch {
  private stopped = false
  private controller = new AbortController()

  constructor (
    private readonly transport: transports.EtcdTransport,
    private readonly keys: codecs.KeySpace,
    private readonly prefix: string,
    private nextRevision: number,
    private readonly renewMs: number,
    private readonly clock: host.Clock,
    private readonly observer: WatchObserver
  ) {}

  /** Watches until stopped or until the stream fails. */
  async run (): Promise<void> {
    while (!this.stopped) {
      const failure = await this.runOnce()
      if (failure !== undefined) {
        this.fail(failure)
        return
      }
    }
  }

  stop (): void {
    this.stopped = true
    this.controller.abort()
  }

  /** Reads one stream until it is due to be reopened. Returns the failure if it ends earlier. */
  private async runOnce (): Promise<failures.Failure | undefined> {
    this.controller = new AbortController()
    const signal = this.controller.signal
    const request = { ...this.keys.encodeRange(this.prefix, undefined), start_revision: String(this.nextRevision) }
    const opened = await this.transport.open('/v3/watch', { create_request: request }, signal)
    if (opened.isLeft()) {
      return opened.swap().orDefault(createWatchFailure('stream not opened'))
    }
    const stopTimer = this.clock.after(this.renewMs, () => this.controller.abort())
    try {
      return await this.readLines(opened.unsafeCoerce())
    } catch {
      return signal.aborted ? undefined : createWatchFailure('connection lost')
    } finally {
      stopTimer()
    }
  }

  private async readLines (stream: AsyncIterable<Buffer>): Promise<failures.Failure | undefined> {
    const decoder = new TextDecoder()
    let pending = ''
    for await (const chunk of stream) {
      pending += decoder.decode(chunk, { stream: true })
      const lines = pending.split('\n')
      pending = lines.pop() ?? ''
      for (const line of lines) {
        const failure = this.readLine(line)
        if (failure !== undefined) {
          this.controller.abort()
          return failure
        }
      }
      if (pending.length > maximumLineLength) {
        this.controller.abort()
        return createWatchFailure('line too long')
      }
    }
    return createWatchFailure('stream ended')
  }

  private readLine (line: string): failures.Failure | undefined {
    if (line.trim() === '' || this.stopped) {
      return undefined
    }
    const parsed = codecs.WatchAnswer.safeParse(transports.parseJson(line))
    if (!parsed.success || parsed.data.result === undefined) {
      return createWatchFailure('message does not match its schema')
    }
    if (parsed.data.result.canceled) {
      return createWatchFailure(`cancelled by the store: ${parsed.data.result.cancel_reason}`)
    }
    const events = this.keys.decodeEvents(parsed.data)
    if (events.length > 0) {
      this.nextRevision = Math.max(this.nextRevision, getLastRevision(events) + 1)
      this.observer.changed(events)
    }
    return undefined
  }

  private fail (failure: failures.Failure): void {
    if (this.stopped) {
      return
    }
    this.stopped = true
    this.observer.ended(failure)
  }
}

function getLastRevision (events: readonly host.StoreEvent[]): number {
  let last = 0
  for (const event of events) {
    last = Math.max(last, event.kind === 'put' ? event.entry.modRevision : event.modRevision)
  }
  return last
}

function createWatchFailure (reason: string): failures.Failure {
  return failures.createFailure('not_run', 'store_unavailable', [`watch: ${reason}`])
}
