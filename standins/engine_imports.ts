/**
 * The receiving end of KV transfers: asks the prefill engine, and takes its time on this engine's own link.
 */
import * as undici from 'undici'
import * as engineLink from './engine_link.js'
import * as engineRequests from './engine_request.js'
import * as host from '../src/host/types.js'

export type ImportOutcome =
  | { readonly kind: 'moved' }
  | { readonly kind: 'failed', readonly error: engineRequests.EngineError }

export class Importer {
  constructor (
    private readonly clock: host.Clock,
    private readonly link: engineLink.SharedLink,
    private readonly kvBytesPerToken: number,
    private readonly dispatcher: undici.Dispatcher
  ) {}

  /** Starts to import; `ended` is called once unless the returned function breaks it off before. */
  start (
    request: engineRequests.EngineRequest,
    source: engineRequests.TransferSource,
    timeoutMs: number,
    ended: (outcome: ImportOutcome) => void
  ): host.Stop {
    const abort = new AbortController()
    const bytes = request.completion.promptTokens * this.kvBytesPerToken
    const received = new Promise<void>((resolve, reject) => {
      const stopLink = this.link.start(bytes, resolve)
      abort.signal.addEventListener('abort', () => {
        stopLink()
        reject(abort.signal.reason)
      })
    })
    const stopTimer = this.clock.after(timeoutMs, () => abort.abort(new Error('the transfer timed out')))
    let isStopped = false
    this.run(request, source, received, abort.signal).then(outcome => {
      stopTimer()
      abort.abort()
      if (!isStopped) {
        ended(outcome)
      }
    })
    return () => {
      isStopped = true
      stopTimer()
      abort.abort()
    }
  }

  private async run (
    request: engineRequests.EngineRequest,
    source: engineRequests.TransferSource,
    received: Promise<void>,
    signal: AbortSignal
  ): Promise<ImportOutcome> {
    received.catch(() => {})
    try {
      const response = await undici.request(`http://${source.remote_host}:${source.remote_port}/kv/transfers`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          engine_id: source.remote_engine_id, block_ids: source.remote_block_ids, digest: request.digest
        }),
        dispatcher: this.dispatcher,
        signal
      })
      const text = await response.body.text()
      if (response.statusCode !== 200) {
        return createFailure(text)
      }
      await received
      return { kind: 'moved' }
    } catch (error) {
      return createFailure(error instanceof Error ? error.message : String(error))
    }
  }
}

function createFailure (message: string): ImportOutcome {
  return { kind: 'failed', error: { status: 409, code: 'kv_cache_missing', message: `KV cache not imported: ${message}` } }
}
