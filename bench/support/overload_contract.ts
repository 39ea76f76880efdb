/**
 * What the bench of overload and its callers exchange.
 */

/** Targets in milliseconds: the first token, and the mean time between tokens. */
export const firstTokenTargetMs = 1900
export const betweenTokensTargetMs = 28

export interface Target {
  readonly url: string
  readonly key: string
}

export interface Order {
  readonly target: Target
  readonly requestsPerSecond: number
  readonly seconds: number
}

export interface Outcome {
  readonly isServed: boolean
  readonly firstTokenMs: number
  /** Mean time between tokens, in milliseconds. */
  readonly betweenTokensMs: number
}
