/**
<<<<<<< HEAD
 * Counting and measuring, as the code that reports sees it.
=======
 * Where a process counts what it does.
>>>>>>> 2632ac832f9d2840d8f2a44914aeb1ce8868012e
 */

export type Labels = Readonly<Record<string, string>>

<<<<<<< HEAD
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
=======
/** Counters, histograms and gauges by name. */
export abstract class Meter {
  abstract count (name: string, labels?: Labels, by?: number): void
  abstract observe (name: string, value: number, labels?: Labels): void
  abstract gauge (name: string, value: number, labels?: Labels): void
>>>>>>> 2632ac832f9d2840d8f2a44914aeb1ce8868012e
}
