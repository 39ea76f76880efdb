/**
 * Serves the completions API, from a caller's request to the answer.
 */
import * as buffer from 'node:buffer'
import * as authenticators from './authenticator.js'
import * as completionsApi from './completions_api.js'
import * as generationRunners from './generation_runner.js'
import * as configuration from '../contracts/configuration.js'
import * as exchanges from './exchanges.js'
import * as failures from '../contracts/failure.js'
import * as prefixes from '../contracts/prefixes.js'
import * as sinks from './sinks.js'
import * as types from './types.js'
import * as work from '../contracts/work.js'

/** Maximum number of prefixes in an offer. */
const maximumPrefixes = 512

export class Generations {
  constructor (
    private readonly context: types.EntryContext,
    private readonly generationRunner: generationRunners.GenerationRunner
  ) {}

  /** Serves a request and sends the answer. A failure is returned, not sent. */
  async serve (
    kind: completionsApi.Kind, exchange: exchanges.Exchange, caller: authenticators.Caller, body: buffer.Buffer
  ): Promise<failures.Result<void>> {
    const parsed = completionsApi.parseRequest(kind, body.toString())
    if (parsed.isLeft()) {
      return failures.fail(parsed.extract() as failures.Failure)
    }
    const request = parsed.extract() as completionsApi.CompletionRequest
    const job = this.findModel(request.model, caller)
      .chain(model => completionsApi.createGeneration(request, model)
        .map(generation => this.createJob(exchange, caller, model, generation)))
    if (job.isLeft()) {
      return failures.fail(job.extract() as failures.Failure)
    }
    return await this.generate(exchange, request, job.extract() as types.Job)
  }

  /** Returns the names of the models that a workspace may use. */
  listModels (workspace: string): string[] {
    const allowed = this.context.configuration.getWorkspace(workspace)?.models
    const names = [...this.context.configuration.listModels().keys()].sort()
    return allowed === undefined ? names : names.filter(name => allowed.includes(name))
  }

  private async generate (
    exchange: exchanges.Exchange, request: completionsApi.CompletionRequest, job: types.Job
  ): Promise<failures.Result<void>> {
    const createdS = Math.floor(this.context.system.clock.wallMs() / 1000)
    const formatter = new completionsApi.ResponseFormatter(request.kind, exchange.id, createdS, request.model)
    if (request.isStreamed) {
      const sink = new sinks.StreamSink(exchange.reply, formatter, request)
      const result = await this.generationRunner.run(job, this.createTimed(sink, job), exchange.signal)
      return result.map(completion => sink.finish(completion))
    }
    const sink = new sinks.BufferedSink()
    const result = await this.generationRunner.run(job, this.createTimed(sink, job), exchange.signal)
    return result.map(completion => exchange.reply.sendJson(200, formatter.createAnswer(sink.text, completion)))
  }

  private createTimed (sink: types.Sink, job: types.Job): types.Sink {
    const { meter, system } = this.context
    const labels = { model: job.generation.model }
    return new sinks.TimedSink(sink, job.receivedAtMs, () => system.clock.monotonicMs(), (isFirst, elapsedMs) => {
      meter.observe(isFirst ? 'time_to_first_token_ms' : 'time_between_tokens_ms', labels, elapsedMs)
    })
  }

  /** Fails with `model_unknown` or `workspace_forbidden`. */
  private findModel (name: string, caller: authenticators.Caller): failures.Result<configuration.Model> {
    const model = this.context.configuration.getModel(name)
    if (model === undefined) {
      return failures.fail(failures.createFailure('not_run', 'model_unknown', [name]))
    }
    const allowed = this.context.configuration.getWorkspace(caller.workspace)?.models
    if (allowed !== undefined && !allowed.includes(name)) {
      return failures.fail(failures.createFailure('not_run', 'workspace_forbidden', [caller.workspace, name]))
    }
    return failures.succeed(model)
  }

  private createJob (
    exchange: exchanges.Exchange, caller: authenticators.Caller, model: configuration.Model, generation: work.Generation
  ): types.Job {
    const { workspace } = caller
    return {
      request: exchange.id,
      workspace,
      weight: this.context.configuration.getWorkspace(workspace)?.allowance.tokensPerSecond ?? 1,
      model,
      generation,
      prefixes: hashPrefixes(generation, model),
      receivedAtMs: exchange.receivedAtMs
    }
  }
}

function hashPrefixes (generation: work.Generation, model: configuration.Model): readonly string[] {
  const { pieceTokens, bytesPerToken } = model
  return prefixes.hashPrefixes(generation.model, generation.prompt, pieceTokens, bytesPerToken).slice(0, maximumPrefixes)
}
