/**
 * Where a prompt is read: at a prefill server, or at the decode server that will stream the answer.
 *
 * Pattern: a burst of prompts queues at the prefill servers. A prompt that waits there holds the room of one run; one that
 * a decode server reads itself slows down all the runs there while it is read.
 */

/** Speed at which a decode server reads a prompt, in parts of a prefill server's; a property of the engines. */
const decodeReadingPart = 0.5
/** Longer wait for a prefill server that each run at the decode server is worth, in parts of the reading there: they go on meanwhile, slower. */
const disturbancePart = 0.15

/**
 * Tells whether the decode server should read a prompt. `prefillMs` is the time until the best prefill server would have
 * read it, `emptyMs` that at one without other work; `otherRuns` counts the runs at the decode server beside this one.
 */
export function isBetterLeft (prefillMs: number, emptyMs: number, otherRuns: number): boolean {
  return prefillMs > emptyMs / decodeReadingPart * (1 + disturbancePart * Math.max(0, otherRuns))
}
