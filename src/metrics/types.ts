/**
 * Counting and measuring, as the code that reports sees it.
 */
import * as catalog from './catalog.js'

/** Labels of any metric. */
export type Labels = Readonly<Record<string, string>>

/** Counters, gauges and histograms of the catalog. Names follow Prometheus, without the common prefix. */
export abstract class Meter {
  /** Adds to a counter, 1 if left out. */
  abstract count<Name extends catalog.CounterName> (name: Name, labels: catalog.LabelsOf<Name>, by?: number): void
  /** Records a value in a histogram; times are in milliseconds. */
  abstract observe<Name extends catalog.HistogramName> (name: Name, labels: catalog.LabelsOf<Name>, value: number): void
  /** Sets a gauge. */
  abstract gauge<Name extends catalog.GaugeName> (name: Name, labels: catalog.LabelsOf<Name>, value: number): void
}

/** A meter that forgets everything. */
export class SilentMeter extends Meter {
  override count (): void {}
  override observe (): void {}
  override gauge (): void {}
}
