/**
 * Decides where a prompt is prefilled: at a prefill server, or at the decode server that will stream the answer.
 *
 * Pattern: a burst of prompts queues at the prefill servers. A prompt that waits there occupies the reservation of one run, while
 * prefill at a decode server slows down all the runs there.
 */

/** Prefill speed of a decode server, in parts of a prefill server's; a property of the engines. */
const decodePrefillSpeedPart = 0.5
/**
 * Additional wait for a prefill server that is accepted for each run at the decode server, in parts of the prefill time there:
 * the runs continue meanwhile, slower.
 */
const interferencePart = 0.15

/**
 * Returns whether the decode server should prefill the prompt itself. `prefillMs` is the time until the best prefill server would
 * be done, `unloadedMs` the same without other work; `otherRuns` counts the other runs at the decode server.
 */
export function shouldPrefillAtDecode (prefillMs: number, unloadedMs: number, otherRuns: number): boolean {
  return prefillMs > unloadedMs / decodePrefillSpeedPart * (1 + interferencePart * Math.max(0, otherRuns))
}
