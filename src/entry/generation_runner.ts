/**
 * Runs one generation: charges the workspace's allowance with the maximum number of tokens, passes the request through
 * to the servers, and settles the charge with the tokens used, exactly once in every case.
 */
import * as allowances from '../allowances/types.js'
import * as diagnosticTable from '../contracts/diagnostics.js'
import * as failures from '../contracts/failure.js'
import * as generationRuns from './generation_run.js'
import * as types from './types.js'

/** Failures caused by the caller or the operator; the tokens that the engines processed until then are charged. */
const chargedCodes: ReadonlySet<diagnosticTable.DiagnosticCode> = new Set([
  'caller_gone', 'caller_stalled', 'key_withdrawn', 'request_timeout'
] as const)

export class GenerationRunner {
  constructor (private readonly dependencies: generationRuns.Dependencies) {}

  /** Serves a generation. An abort ends the request immediately; the signal's reason must be a `Failure`. */
  async run (job: types.Job, sink: types.Sink, signal: AbortSignal): Promise<failures.Result<types.Completion>> {
    this.dependencies.retryBudget.earn()
    const charged = await raceAbort(this.charge(job), signal)
    if (charged.isLeft()) {
      return failures.fail(charged.extract() as failures.Failure)
    }
    const grant = charged.extract() as allowances.Grant
    const generationRun = new generationRuns.GenerationRun(this.dependencies, job, sink, signal)
    const result = await generationRun.run()
    grant.settle(getUsedTokens(result, generationRun, job, sink))
    return result
  }

  private async charge (job: types.Job): Promise<failures.Result<allowances.Grant>> {
    const { allowances: workspaceAllowances, configuration, system } = this.dependencies.context
    const tokens = job.generation.promptTokens + job.generation.maximumTokens
    const burst = configuration.getWorkspace(job.workspace)?.allowance.burstTokens ?? 0
    if (tokens > burst) {
      return failures.fail(failures.createFailure('not_run', 'request_exceeds_burst', [tokens, job.workspace, burst]))
    }
    return await workspaceAllowances.charge({ id: system.random.nextId(), workspace: job.workspace, tokens })
  }
}

/** Waits for the grant or the abort. A grant that arrives after the abort is settled with 0 tokens. */
function raceAbort (
  charged: Promise<failures.Result<allowances.Grant>>, signal: AbortSignal
): Promise<failures.Result<allowances.Grant>> {
  return new Promise(resolve => {
    const abort = (): void => {
      charged.then(result => result.ifRight(grant => grant.settle(0)))
      resolve(failures.fail(signal.reason as failures.Failure))
    }
    if (signal.aborted) {
      abort()
      return
    }
    signal.addEventListener('abort', abort, { once: true })
    charged.then(result => {
      signal.removeEventListener('abort', abort)
      resolve(result)
    })
  })
}

/**
 * Returns the tokens to charge: the engine's count for a complete answer; the prompt and the output so far for an
 * interrupted answer or a failure caused by the caller; nothing for a system failure without output.
 */
function getUsedTokens (
  result: failures.Result<types.Completion>, generationRun: generationRuns.GenerationRun, job: types.Job, sink: types.Sink
): number {
  return result.caseOf({
    Right: ({ usage }) => usage.promptTokens + usage.outputTokens,
    Left: failure => {
      const isCharged = sink.isCommitted || (chargedCodes.has(failure.code) && failure.verdict !== 'not_run')
      return isCharged ? job.generation.promptTokens + generationRun.outputTokens : 0
    }
  })
}
