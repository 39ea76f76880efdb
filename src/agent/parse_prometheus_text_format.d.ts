/**
 * Types of the library, as far as they are used here.
 */
declare module 'parse-prometheus-text-format' {
  export interface Metric {
    readonly value?: string
    readonly labels?: Readonly<Record<string, string>>
  }

  export interface MetricFamily {
    readonly name: string
    readonly metrics: readonly Metric[]
  }

  export default function parse (text: string): readonly MetricFamily[]
}
