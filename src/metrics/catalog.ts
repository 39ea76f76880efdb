/**
 * Every metric with its meaning; the operators' page is made from it.
 */

/** One row of the catalog. */
export interface Metric {
  readonly kind: 'counter' | 'gauge' | 'histogram'
  readonly help: string
}

export const metrics: Readonly<Record<string, Metric>> = {
  requests_total: { kind: 'counter', help: 'Callers\' requests by workspace and end.' },
  request_failures_total: { kind: 'counter', help: 'Requests that were refused or failed, by code.' },
  retries_total: { kind: 'counter', help: 'Further attempts of generations, by the reason for them.' },
  time_to_first_token_ms: { kind: 'histogram', help: 'Time from a request\'s arrival to its first text, in milliseconds.' },
  time_between_tokens_ms: { kind: 'histogram', help: 'Time between two texts of a stream, in milliseconds.' },
}

/** Returns the help text of a metric. */
export function getHelp (name: string): string {
  return metrics[name]?.help ?? name
}
