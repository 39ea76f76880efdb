/**
 * Every metric with its meaning; the operators' page is made from it.
 */

/** One row of the catalog. */
export interface Metric {
  readonly kind: 'counter' | 'gauge' | 'histogram'
  readonly help: string
}

export const metrics: Readonly<Record<string, Metric>> = {
}

/** Returns the help text of a metric. */
export function getHelp (name: string): string {
  return metrics[name]?.help ?? name
}
