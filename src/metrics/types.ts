/**
 * Counting and measuring, as the code that reports sees it.
 */

export type Labels = Readonly<Record<string, string>>

/** Counters, gauges and histograms by name. Names follow Prometheus, without the common prefix. */
export abstract class Meter {
  /** Adds to a counter. */
  abstract count (name: string, labels?: Labels, by?: number): void
  /** Records a value in a histogram; times are in milliseconds. */
  abstract observe (name: string, labels: Labels, value: number): void
  /** Sets a gauge. */
  abstract gauge (name: string, labels: Labels, value: number): void
}

/** A meter that forgets everything. */
export class SilentMeter extends Meter {
  override count (): void {}
  override observe (): void {}
  override gauge (): void {}
}
