/**
 * One request inside an engine.
 */
import * as z from 'zod'
import * as engineMemory from './engine_memory.js'
import * as engineText from './engine_text.js'
import * as work from '../src/contracts/work.js'

/** Where a decode engine finds a KV cache, as the prefill engine named it. */
export const TransferSource = z.object({
  do_remote_prefill: z.literal(true),
  remote_engine_id: z.string(),
  remote_block_ids: z.array(z.number().int()).min(1),
  remote_host: z.string(),
  remote_port: z.number().int(),
  /** Tokens that the prefill computed rather than found in its prefix cache. */
  computed_tokens: z.number().int().nonnegative().default(0)
})
export type TransferSource = z.infer<typeof TransferSource>

/** A parsed completion request. */
export interface Completion {
  readonly id: string
  readonly model: string
  readonly prompt: work.Prompt
  readonly promptTokens: number
  readonly prefixes: readonly string[]
  readonly maximumTokens: number
  /** Lower goes first. */
  readonly priority: number
  readonly seed: number
  readonly stops: readonly string[]
  /** Whether the KV cache is to be kept for another engine. */
  readonly isExport: boolean
  readonly source: TransferSource | undefined
}

/** How long the output will be. */
export interface Output {
  readonly tokens: number
  /** Characters, if the text ends before the last token does. */
  readonly textLength: number | undefined
}

export interface EngineError {
  readonly status: number
  readonly code: string
  readonly message: string
}

export type Phase = 'waiting' | 'transferring' | 'prefilling' | 'running' | 'finished' | 'failed' | 'cancelled'

const finalPhases: ReadonlySet<Phase> = new Set<Phase>(['finished', 'failed', 'cancelled'])

export class EngineRequest {
  phase: Phase = 'waiting'
  /** Tokens generated so far. */
  generated = 0
  cachedTokens = 0
  /** Whether the KV cache of the source has been used, or is not to be used. */
  isSourceSpent = false
  error: EngineError | undefined
  holding: engineMemory.Holding | undefined
  /** What the response passes on to a decode engine. */
  transferParams: object | undefined
  /** The generation fails after this many tokens. */
  breaksAt: number | undefined
  readonly digest: number
  private readonly listeners = new Set<() => void>()

  /** `order` counts the requests of the engine by arrival. */
  constructor (readonly completion: Completion, readonly order: number, readonly output: Output) {
    this.digest = engineText.getDigest(completion.prompt, completion.seed)
  }

  get finishReason (): 'stop' | 'length' {
    return this.output.tokens < this.completion.maximumTokens || this.output.textLength !== undefined ? 'stop' : 'length'
  }

  /** Returns the text of a token, counted from 0. */
  getToken (index: number): string {
    return engineText.createTokenBefore(this.digest, index, this.output.textLength ?? Number.POSITIVE_INFINITY)
  }

  get isOver (): boolean {
    return finalPhases.has(this.phase)
  }

  get listenerCount (): number {
    return this.listeners.size
  }

  /** Tokens whose KV the request holds once they are computed. */
  get contextTokens (): number {
    return this.completion.promptTokens + this.generated
  }

  /** Calls the listener after every change until the returned function is called. */
  listen (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  notify (): void {
    for (const listener of [...this.listeners]) {
      listener()
    }
  }
}
