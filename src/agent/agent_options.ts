/**
 * Derives the options of a gate and of its backend from the settings and the configuration.
 */
import * as backends from './backend.js'
import * as configuration from '../contracts/configuration.js'
import * as documents from '../configuration/document.js'
import * as host from '../host/types.js'
import * as httpEngines from './http_engine.js'
import * as httpServices from './http_service.js'
import * as settings from '../contracts/settings.js'
import * as types from './types.js'

/** How long an engine keeps the KV cache of a finished prefill, including a margin for clock drift. */
const transferKeptMs = 1_000
/** Delay before an unconfirmed abort is sent to the backend server again. */
const abortRetryMs = 250
/** Idle time-out of an engine's stream, after which the stream is closed and resumed. */
const engineIdleTimeoutMs = 5_000

const defaultModel = configuration.Model.parse({})
const defaultPolicy = configuration.Policy.parse({})

/** Returns the capacity of a server, with the default targets and limits if there is no configuration. */
export function createCapacity (agent: settings.AgentSettings, view?: documents.ConfigurationView): types.Capacity {
  const { backend } = agent
  return {
    role: backend.role,
    slots: backend.slots,
    memoryPieces: backend.kind === 'engine' ? backend.memoryPieces : 0,
    pieceTokens: backend.pieceTokens,
    prefillTokensPerSecond: backend.prefillTokensPerSecond,
    stepMs: backend.stepMs,
    betweenTokensTargetMs: getBetweenTokensTarget(backend.models, view),
    queueLimit: (view?.policy ?? defaultPolicy).queueLimit,
    transferKeptMs
  }
}

/** Returns the gate options of a boot that starts at `wallMs` on the wall clock; the fencing token derives from it. */
export function createGateOptions (agent: settings.AgentSettings, boot: string, wallMs: number): types.GateOptions {
  const { limits, timing } = agent
  return {
    server: agent.server,
    boot,
    fence: Math.floor(wallMs),
    capacity: createCapacity(agent),
    retention: {
      attemptsKept: limits.attemptsKept,
      attemptsKeptMs: limits.attemptsKeptMs,
      lateArrivalMs: timing.sessionLeaseMs + timing.silenceMs + timing.callTimeoutMs
    },
    abortRetryMs
  }
}

export function createBackend (agent: settings.AgentSettings, clock: host.Clock): backends.Backend {
  const { backend, timing, limits, server } = agent
  const common = { server, url: backend.url, connectTimeoutMs: timing.connectTimeoutMs }
  if (backend.kind === 'service') {
    return new httpServices.HttpService({ ...common, maximumResponseBytes: limits.bodyBytes }, clock)
  }
  const options = { ...common, silenceMs: engineIdleTimeoutMs, answerTimeoutMs: timing.callTimeoutMs }
  return new httpEngines.HttpEngine(options, clock)
}

/** Returns the lowest target of the models that the server serves. */
function getBetweenTokensTarget (models: readonly string[], view: documents.ConfigurationView | undefined): number {
  let targetMs = Number.POSITIVE_INFINITY
  for (const name of models) {
    targetMs = Math.min(targetMs, view?.getModel(name)?.betweenTokensTargetMs ?? Number.POSITIVE_INFINITY)
  }
  return Number.isFinite(targetMs) ? targetMs : defaultModel.betweenTokensTargetMs
}
