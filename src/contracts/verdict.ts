/**
 * The verdict on a piece of work: whether it may have run.
 */
import * as z from 'zod'

/**
 * - `not_run`: decided, not guessed, that the work did not start and never will.
 * - `may_have_run`: the work may or may not have run.
 * - `ran`: the work ran, in whole or in part.
 */
export const Verdict = z.enum(['not_run', 'may_have_run', 'ran'])
export type Verdict = z.infer<typeof Verdict>

/** Tells whether another attempt at work that must run at most once is safe. */
export function isSafeToRepeat (verdict: Verdict): boolean {
  return verdict === 'not_run'
}

/** Returns the verdict on work of which both parts are known: `not_run` only when neither part ran. */
export function joinVerdicts (first: Verdict, second: Verdict): Verdict {
  if (first === 'ran' || second === 'ran') {
    return 'ran'
  }
  if (first === 'may_have_run' || second === 'may_have_run') {
    return 'may_have_run'
  }
  return 'not_run'
}

/** Fails to compile where a switch over a union misses a member. */
export function assertNever (value: never): never {
  throw new Error(`Unexpected value ${JSON.stringify(value)}`)
}
