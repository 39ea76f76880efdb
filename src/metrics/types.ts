/**
 * Where a process counts what it does.
 */

export type Labels = Readonly<Record<string, string>>

/** Counters, histograms and gauges by name. */
export abstract class Meter {
  abstract count (name: string, labels?: Labels, by?: number): void
  abstract observe (name: string, value: number, labels?: Labels): void
  abstract gauge (name: string, value: number, labels?: Labels): void
}
