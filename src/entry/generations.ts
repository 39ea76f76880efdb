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
    private readonly surroundings: types.EntryContext,
    private readonly conductor: generationRunners.GenerationRunner
  ) {}

  /** Serves a request and sends the answer. A failure is returned, not sent. */
  async serve (
    kind: completionsApi.Kind, exchange: exchanges.Exchange, caller: authenticators.Caller, body: buffer.Buffer
  ): Promise<failures.Result<void>> {
    const demand = completionsApi.parseDemand(kind, body.toString())
    if (demand.isLeft()) {
      return failures.fail(demand.extract() as failures.Failure)
    }
    const wanted = demand.extract() as completionsApi.Demand
    const job = this.findModel(wanted.model, caller)
      .chain(model => completionsApi.createGeneration(wanted, model)
        .map(generation => this.createJob(exchange, caller, model, generation)))
    if (job.isLeft()) {
      return failures.fail(job.extract() as failures.Failure)
    }
    return await this.generate(exchange, wanted, job.extract() as types.Job)
  }

  /** Returns the names of the models that a workspace may use. */
  listModels (workspace: string): string[] {
    const allowed = this.surroundings.configuration.getWorkspace(workspace)?.models
    const names = [...this.surroundings.configuration.listModels().keys()].sort()
    return allowed === undefined ? names : names.filter(name => allowed.includes(name))
  }

  private async generate (
    exchange: exchanges.Exchange, demand: completionsApi.Demand, job: types.Job
  ): Promise<failures.Result<void>> {
    const createdS = Math.floor(this.surroundings.system.clock.wallMs() / 1000)
    const writer = new completionsApi.Writer(demand.kind, exchange.id, createdS, demand.model)
    if (demand.isStreamed) {
      const sink = new sinks.StreamSink(exchange.reply, writer, demand)
      const result = await this.conductor.run(job, this.createTimed(sink, job), exchange.signal)
      return result.map(completion => sink.finish(completion))
    }
    const sink = new sinks.WholeSink()
    const result = await this.conductor.run(job, this.createTimed(sink, job), exchange.signal)
    return result.map(completion => exchange.reply.sendJson(200, writer.createAnswer(sink.text, completion)))
  }

  private createTimed (sink: types.Sink, job: types.Job): types.Sink {
    const { meter, system } = this.surroundings
    const labels = { model: job.generation.model }
    return new sinks.TimedSink(sink, job.receivedAtMs, () => system.clock.monotonicMs(), (isFirst, elapsedMs) => {
      meter.observe(isFirst ? 'time_to_first_token_ms' : 'time_between_tokens_ms', labels, elapsedMs)
    })
  }

  /** Fails with `model_unknown` or `workspace_forbidden`. */
  private findModel (name: string, caller: authenticators.Caller): failures.Result<configuration.Model> {
    const model = this.surroundings.configuration.getModel(name)
    if (model === undefined) {
      return failures.fail(failures.createFailure('not_run', 'model_unknown', [name]))
    }
    const allowed = this.surroundings.configuration.getWorkspace(caller.workspace)?.models
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
      weight: this.surroundings.configuration.getWorkspace(workspace)?.allowance.tokensPerSecond ?? 1,
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
