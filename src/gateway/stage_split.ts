/**
 * How many engines of a service read prompts and how many decode.
 *
 * Pattern: the mix of long prompts and long answers shifts while the number of engines stays. A change of stage takes
 * an engine out for seconds, so the split follows the load of the last seconds with hysteresis, one engine at a time;
 * bursts shorter than a change are bridged by decode servers that read prompts themselves.
 */
import * as routing from '../contracts/routing.js'

/** Part of the engines that read prompts before any load was seen: three thousand prompt tokens for five hundred of output. */
const initialPrefillPart = 0.25
/** Time over which offered load is averaged, in milliseconds: longer than a burst's rise, shorter than a day's phase. */
const averagingMs = 6_000
/** Offered load from which on it is followed, in busy engines. */
const leastLoad = 1
/** How far the wished number must lie from the present one, in engines: more than one, or the load's noise would swing the split. */
const hysteresisEngines = 1.1
/** The same while there is no load. */
const idleHysteresisEngines = 0.8
/** Least time between two changes of one service, in milliseconds: a change and the time to see its effect. */
const leastPauseMs = 9_000
/** The same while there is no load that a change could disturb. */
const idlePauseMs = 400
/** Part of an engine's memory that is in use when a decode server is well filled. */
const usableMemoryPart = 0.92

/** Work that callers offer, in a second. */
export interface OfferedLoad {
  /** Engines that the prompts keep busy. */
  readonly prefill: number
  /** Engines whose memory the answers fill. */
  readonly decode: number
}

/** Averages the work that one gateway's callers offer, refused work included. */
export class LoadMeter {
  private prefill = 0
  private decode = 0
  private updatedMs: number | undefined

  /** `prefillMs` is the time that an engine needs for the prompt; `memoryMs` the engine's memory times the time it is held. */
  note (prefillMs: number, memoryMs: number, nowMs: number): void {
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

/** A change that would help. */
export interface StageChange {
  readonly from: routing.EngineStage
  readonly to: routing.EngineStage
}

/** Decides on changes of one service's split. */
export class StageSplit {
  private changedMs = -Infinity

  /** Returns the change that should be made now, or `undefined`. */
  decide (prefillEngines: number, decodeEngines: number, load: OfferedLoad, nowMs: number): StageChange | undefined {
    const engines = prefillEngines + decodeEngines
    const isIdle = load.prefill + load.decode < leastLoad
    const pauseMs = isIdle ? idlePauseMs : leastPauseMs
    const hysteresis = isIdle ? idleHysteresisEngines : hysteresisEngines
    if (engines < 2 || nowMs - this.changedMs < pauseMs) {
      return undefined
    }
    const wished = wishPrefillEngines(engines, load)
    if (prefillEngines > 1 && prefillEngines - wished >= hysteresis) {
      return { from: 'prefill', to: 'decode' }
    }
    if (decodeEngines > 1 && wished - prefillEngines >= hysteresis) {
      return { from: 'decode', to: 'prefill' }
    }
    return undefined
  }

  /** Notes that a change was ordered. */
  noteChange (nowMs: number): void {
    this.changedMs = nowMs
  }
}

/** Returns how many engines should read prompts, not rounded. */
export function wishPrefillEngines (engines: number, load: OfferedLoad): number {
  const { prefill } = load
  const decode = load.decode / usableMemoryPart
  const initial = engines * initialPrefillPart
  if (prefill + decode < leastLoad) {
    return Math.max(1, Math.round(initial))
  }
  return Math.min(engines - 1, Math.max(1, engines * prefill / (prefill + decode)))
}
