/**
 * Split of the engines of a service into prefill and decode engines.
 *
 * Pattern: the mix of long prompts and long answers changes while the number of engines stays the same. A stage change takes an
 * engine out of service for seconds, so the split follows the load of the last seconds with hysteresis, one engine at a time. For
 * bursts shorter than a change, decode servers prefill prompts themselves.
 */
import * as routing from '../contracts/routing.js'

/** Fraction of prefill engines until load has been observed: fits three thousand prompt tokens for five hundred output tokens. */
const initialPrefillPart = 0.25
/** Time constant of the average of the offered load, in milliseconds: longer than the rise of a burst, shorter than a phase of the day. */
const averagingMs = 6_000
/** Offered load below which a service counts as idle, in busy engines. */
const minimumLoad = 1
/** Smallest difference between the target and the current number of prefill engines that causes a change: with one or less, noise in the load makes the split oscillate. */
const hysteresisEngines = 1.1
/** The same for an idle service. */
const idleHysteresisEngines = 0.8
/** Shortest time between two changes of a service, in milliseconds: a change and the time until its effect shows. */
const minimumIntervalMs = 9_000
/** The same for an idle service, where a change disturbs no load. */
const minimumIdleIntervalMs = 400
/** Fraction of an engine's memory that is in use at a well-filled decode server. */
const usableMemoryPart = 0.92

/** Offered load, in the number of engines that it keeps busy. */
export interface OfferedLoad {
  /** Engines that the prompts keep busy with prefill. */
  readonly prefill: number
  /** Engines whose memory the answers fill in decode. */
  readonly decode: number
}

/** Averages the load offered by the callers of one gateway, including refused requests. */
export class LoadMeter {
  private prefill = 0
  private decode = 0
  private updatedMs: number | undefined

  /** `prefillMs` is the prefill time of the prompt at one engine; `memoryMs` is the fraction of an engine's memory times the time it is held. */
  record (prefillMs: number, memoryMs: number, nowMs: number): void {
    this.decay(nowMs)
    this.prefill += prefillMs / averagingMs
    this.decode += memoryMs / averagingMs
  }

  read (nowMs: number): OfferedLoad {
    this.decay(nowMs)
    return { prefill: this.prefill, decode: this.decode }
  }

  private decay (nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - (this.updatedMs ?? nowMs)) / averagingMs)
    this.prefill *= factor
    this.decode *= factor
    this.updatedMs = nowMs
  }
}

/** A stage change that brings the split nearer to its target. */
export interface StageChange {
  readonly from: routing.EngineStage
  readonly to: routing.EngineStage
}

/** Decides on stage changes of one service. */
export class StageSplit {
  private changedMs = -Infinity

  /** Returns the stage change to be made now, if any. */
  decide (prefillEngines: number, decodeEngines: number, load: OfferedLoad, nowMs: number): StageChange | undefined {
    const engines = prefillEngines + decodeEngines
    const isIdle = load.prefill + load.decode < minimumLoad
    const pauseMs = isIdle ? minimumIdleIntervalMs : minimumIntervalMs
    const hysteresis = isIdle ? idleHysteresisEngines : hysteresisEngines
    if (engines < 2 || nowMs - this.changedMs < pauseMs) {
      return undefined
    }
    const target = computePrefillTarget(engines, load)
    if (prefillEngines > 1 && prefillEngines - target >= hysteresis) {
      return { from: 'prefill', to: 'decode' }
    }
    if (decodeEngines > 1 && target - prefillEngines >= hysteresis) {
      return { from: 'decode', to: 'prefill' }
    }
    return undefined
  }

  /** Records that a change was ordered. */
  recordChange (nowMs: number): void {
    this.changedMs = nowMs
  }
}

/** Returns the target number of prefill engines, not rounded while there is load. */
export function computePrefillTarget (engines: number, load: OfferedLoad): number {
  const { prefill } = load
  const decode = load.decode / usableMemoryPart
  const initial = engines * initialPrefillPart
  if (prefill + decode < minimumLoad) {
    return Math.max(1, Math.round(initial))
  }
  return Math.min(engines - 1, Math.max(1, engines * prefill / (prefill + decode)))
}
