/**
 * Keeps prompts that end servers away from them: collects the evidence on this gateway's runs, confirms that servers have ended, and
 * stops runs whose prompts have come under suspicion.
 */
import * as connectionPools from './connection_pool.js'
import * as evidences from './crash_evidence.js'
import * as host from '../host/types.js'
import type * as metrics from '../metrics/types.js'
import * as relays from './stream_relay.js'
import * as routing from '../contracts/routing.js'
import * as trials from './part_trials.js'
import * as types from './types.js'

/** Time-out of the check whether a server has ended, in milliseconds: a process that has ended refuses the connection at once. */
const endCheckTimeoutMs = 300
/** Servers that are lost within this time of each other may have a common cause, in milliseconds. */
const commonCauseMs = 100
/** Limit on the lost servers that are remembered for that. */
const maximumLosses = 64

/** A run whose answer has not begun. */
export interface PendingRun {
  readonly parts: readonly string[]
  readonly workspace: string
  readonly isTrial: boolean
  readonly stop: (reason: string) => void
}

/** A prompt as far as it concerns the ends of servers. */
export interface Prompt {
  readonly parts: readonly string[]
  readonly workspace: string
}

interface LostServer {
  readonly server: routing.RoutedServer
  readonly atMs: number
  /** Parts of the prompts without an answer that were lost there. */
  readonly parts: ReadonlySet<string>
  /** Whether a trial was lost there, which accounts for the end of the server. */
  readonly hasTrial: boolean
}

export class PromptGuard {
  private readonly pending = new Set<PendingRun>()
  private readonly waiting = new Set<() => void>()
  private losses: LostServer[] = []
  private hasIsolatedTrial = false
  private readonly checks = new Map<string, Promise<boolean>>()

  /** `onChange` is called when the evidence has changed, so that other gateways can be told at once. */
  constructor (
    private readonly evidence: evidences.CrashEvidence,
    readonly trials: trials.PartTrials,
    private readonly pool: connectionPools.ConnectionPool,
    private readonly dialect: types.Dialect,
    private readonly system: host.System,
    private readonly meter: metrics.Meter,
    private readonly onChange: () => void,
    /** Tells whether a request of the gateway's own may be sent to a server now. */
    private readonly mayAsk: (server: routing.RoutedServer) => Promise<boolean> = async () => true
  ) {
    evidence.onChange = () => this.handleChange()
  }

  /** Whether any part is under suspicion or has been lately. */
  get hasEvidence (): boolean {
    return !this.evidence.isEmpty
  }

  judge ({ parts, workspace }: Prompt): evidences.PromptVerdict {
    return this.evidence.judge(parts, workspace, this.now())
  }

  /** Watches a run until its answer begins or it ends. */
  watch (run: PendingRun): host.Stop {
    if (run.parts.length === 0) {
      return () => {}
    }
    this.pending.add(run)
    return () => this.pending.delete(run)
  }

  /** Allows one trial at a time to keep a server for itself, because trials of many parts would leave no servers for other work. */
  tryIsolate (): boolean {
    const isFree = !this.hasIsolatedTrial
    this.hasIsolatedTrial = true
    return isFree
  }

  endIsolation (): void {
    this.hasIsolatedTrial = false
  }

  recordAnswer ({ parts, workspace }: Prompt): void {
    if (parts.length > 0) {
      this.evidence.recordAnswer(parts, workspace, this.now())
    }
  }

  /** Records that the connection of a run broke at a server, which may have ended for any reason. */
  recordLoss (server: routing.RoutedServer, isTrial = false, parts: readonly string[] = []): void {
    const nowMs = this.now()
    const recent = this.losses.filter(({ atMs }) => nowMs - atMs <= 2 * commonCauseMs)
    const before = recent.find(loss => loss.server.id === server.id)
    this.losses = recent.filter(loss => loss !== before).slice(-maximumLosses)
    this.losses.push({ server, atMs: nowMs, hasTrial: isTrial || before?.hasTrial === true, parts: new Set([...before?.parts ?? [], ...parts]) })
  }

  /**
   * Records that a run without an answer was lost with its connection. Resolves once it is known whether the server ended and, for a
   * trial, whether it was the only one.
   */
  async recordLostPrompt (server: routing.RoutedServer, prompt: Prompt, isTrial: boolean): Promise<void> {
    this.recordLoss(server, isTrial, prompt.parts)
    if (prompt.parts.length === 0) {
      return
    }
    const lostMs = this.now()
    const hasEnded = await this.confirmEnd(server)
    this.system.log.info('prompt lost without an answer', {
      server: server.id, parts: prompt.parts.join(','), workspace: prompt.workspace, isTrial, serverEnded: hasEnded, checkedMs: Math.round(this.now() - lostMs)
    })
    this.meter.count('gateway_prompts_lost_total', { server_ended: String(hasEnded) })
    if (!hasEnded) {
      return
    }
    this.evidence.recordEnd(getProcessName(server), prompt.parts, prompt.workspace, evidences.weights.ambiguous, lostMs)
    const weighed = this.weighEnd(server, prompt, isTrial, lostMs)
    if (isTrial) {
      await weighed
      return
    }
    weighed.catch((error: unknown) => this.system.log.error('end of a server not weighed', { server: server.id, error: String(error) }))
  }

  /** Resolves at the next change of the evidence, and after the time in milliseconds at the latest. */
  awaitChange (timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
      const settle = (): void => {
        stopTimer()
        this.waiting.delete(settle)
        resolve()
      }
      const stopTimer = this.system.clock.after(timeoutMs, settle)
      this.waiting.add(settle)
    })
  }

  /**
   * Gives the end of a server its full weight unless other servers ended at the same time. An earlier end that a trial's own parts account
   * for is no sign of a common cause.
   */
  private async weighEnd (server: routing.RoutedServer, { parts, workspace }: Prompt, isTrial: boolean, lostMs: number): Promise<void> {
    await this.system.clock.sleep(commonCauseMs)
    const isExplained = (loss: LostServer): boolean => loss.hasTrial || (isTrial && parts.some(part => loss.parts.has(part)))
    const others = this.losses.filter(loss => loss.server.id !== server.id && Math.abs(loss.atMs - lostMs) <= commonCauseMs && !isExplained(loss))
    const ended = await Promise.all(others.map(async other => await this.confirmEnd(other.server)))
    if (ended.includes(true)) {
      this.system.log.info('servers ended together', { server: server.id, others: ended.filter(hasEnded => hasEnded).length, parts: parts.join(',') })
      return
    }
    this.evidence.recordEnd(getProcessName(server), parts, workspace, isTrial ? evidences.weights.trial : evidences.weights.single, lostMs)
  }

  /** Tells whether the process of a server has ended: it refuses connections, or another process answers at its address. */
  private confirmEnd (server: routing.RoutedServer): Promise<boolean> {
    const name = getProcessName(server)
    const check = this.checks.get(name) ?? this.askServer(server).finally(() => this.checks.delete(name))
    this.checks.set(name, check)
    return check
  }

  private async askServer (server: routing.RoutedServer): Promise<boolean> {
    if (server.stage === undefined || !await this.mayAsk(server)) {
      return await this.pool.isRefusing(server, endCheckTimeoutMs)
    }
    const ask = async (): Promise<connectionPools.CallOutcome> => await this.pool.call(server, this.dialect.writeReportRequest(server), endCheckTimeoutMs)
    let outcome = await ask()
    if (outcome.kind === 'lost' && await this.mayAsk(server)) {
      // A kept connection may have ended with the process.
      outcome = await ask()
    }
    return outcome.kind === 'unsent' || (outcome.kind === 'answered' && outcome.status === relays.misdirected)
  }

  private handleChange (): void {
    for (const settle of [...this.waiting]) {
      settle()
    }
    for (const run of [...this.pending]) {
      // A run lost for nothing costs one caller, and the end of a server all that it serves.
      if (!run.isTrial && this.judge(run).kind !== 'clear') {
        this.pending.delete(run)
        run.stop('the prompt may end the server')
      }
    }
    this.onChange()
  }

  private now (): number {
    return this.system.clock.monotonicMs()
  }
}

/** Identifies one process of a server. */
function getProcessName ({ id, bornMs }: routing.RoutedServer): string {
  return `${id} ${bornMs ?? 0}`
}
