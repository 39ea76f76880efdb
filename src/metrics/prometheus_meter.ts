/**
 * Counters, gauges and HDR histograms of a process, as Prometheus text.
 *
 * The histograms are taken from their own modules: the library's entry point also loads its WebAssembly version.
 */
import * as histogramFactories from 'hdr-histogram-js/dist/JsHistogramFactory.js'
import * as histograms from 'hdr-histogram-js/dist/JsHistogram.js'
import * as prometheus from 'prom-client'
import * as catalog from './catalog.js'
import * as types from './types.js'

/** Label sets of one metric; further ones are counted under the label value `other`. */
const labelSetLimit = 256

const otherValue = 'other'
const quantiles = [0.5, 0.9, 0.95, 0.99, 1]
const prefix = 'mulberryflow_'

/** Histograms count in thousandths of their unit. */
const histogramScale = 1000

/** Values below are not told apart; in scaled units. */
const lowestValue = 1
/** Range of an empty histogram, which grows by itself; in scaled units. */
const initialHighestValue = 2
const significantDigits = 2
const bucketBits = 32

interface Series {
  readonly labels: types.Labels
  readonly histogram: histograms.JsHistogram
}

export class PrometheusMeter extends types.Meter {
  private readonly registry = new prometheus.Registry()
  private readonly counters = new Map<string, prometheus.Counter>()
  private readonly gauges = new Map<string, prometheus.Gauge>()
  private readonly histograms = new Map<string, Map<string, Series>>()
  private readonly labelSets = new Map<string, Set<string>>()

  private isWatchingProcess = false

  override count (name: catalog.CounterName, labels: types.Labels, by = 1): void {
    this.getCounter(name, labels).inc(this.bound(name, labels), by)
  }

  override gauge (name: catalog.GaugeName, labels: types.Labels, value: number): void {
    this.getGauge(name, labels).set(this.bound(name, labels), value)
  }

  override observe (name: catalog.HistogramName, labels: types.Labels, value: number): void {
    const bounded = this.bound(name, labels)
    const key = createKey(bounded)
    const series = this.getHistograms(name, labels)
    let found = series.get(key)
    if (found === undefined) {
      found = { labels: bounded, histogram: createHistogram() }
      series.set(key, found)
    }
    found.histogram.recordValue(Math.max(0, Math.round(value * histogramScale)))
  }

  /** Returns everything as Prometheus text. */
  /** The metrics of the process itself are collected from the first call on, for they take time at a start. */
  render (): Promise<string> {
    if (!this.isWatchingProcess) {
      this.isWatchingProcess = true
      prometheus.collectDefaultMetrics({ register: this.registry })
    }
    return this.registry.metrics()
  }

  private getCounter (name: catalog.CounterName, labels: types.Labels): prometheus.Counter {
    let counter = this.counters.get(name)
    if (counter === undefined) {
      counter = new prometheus.Counter({ ...describe(name), labelNames: Object.keys(labels), registers: [this.registry] })
      this.counters.set(name, counter)
    }
    return counter
  }

  private getGauge (name: catalog.GaugeName, labels: types.Labels): prometheus.Gauge {
    let gauge = this.gauges.get(name)
    if (gauge === undefined) {
      gauge = new prometheus.Gauge({ ...describe(name), labelNames: Object.keys(labels), registers: [this.registry] })
      this.gauges.set(name, gauge)
    }
    return gauge
  }

  private getHistograms (name: catalog.HistogramName, labels: types.Labels): Map<string, Series> {
    let series = this.histograms.get(name)
    if (series === undefined) {
      series = new Map()
      this.histograms.set(name, series)
      this.register(name, Object.keys(labels), series)
    }
    return series
  }

  /** Registers gauges that read the histograms when they are collected. */
  private register (name: catalog.HistogramName, labelNames: readonly string[], series: ReadonlyMap<string, Series>): void {
    const described = describe(name)
    const registers = [this.registry]
    const counts = new prometheus.Gauge({
      name: `${described.name}_count`, help: `${described.help} Number of values.`, labelNames, registers
    })
    const values = new prometheus.Gauge({
      ...described,
      labelNames: [...labelNames, 'quantile'],
      registers,
      collect: () => {
        for (const { labels, histogram } of series.values()) {
          counts.set(labels, histogram.totalCount)
          setQuantiles(values, labels, histogram)
        }
      }
    })
  }

  private bound (name: string, labels: types.Labels): types.Labels {
    let known = this.labelSets.get(name)
    if (known === undefined) {
      known = new Set()
      this.labelSets.set(name, known)
    }
    const key = createKey(labels)
    if (known.has(key)) {
      return labels
    }
    if (known.size >= labelSetLimit) {
      return Object.fromEntries(Object.keys(labels).map(label => [label, otherValue]))
    }
    known.add(key)
    return labels
  }
}

/** Joins the values of labels, which every caller of one metric gives in the same order. */
function createKey (labels: types.Labels): string {
  return Object.values(labels).join('\n')
}

function setQuantiles (values: prometheus.Gauge, labels: types.Labels, histogram: histograms.JsHistogram): void {
  for (const quantile of quantiles) {
    const value = histogram.getValueAtPercentile(quantile * 100) / histogramScale
    values.set({ ...labels, quantile: String(quantile) }, value)
  }
}

function createHistogram (): histograms.JsHistogram {
  const Int32Histogram = histogramFactories.constructorFromBucketSize(bucketBits)
  const histogram = new Int32Histogram(lowestValue, initialHighestValue, significantDigits)
  histogram.autoResize = true
  return histogram
}

function describe (name: catalog.MetricName): { name: string, help: string } {
  return { name: `${prefix}${name}`, help: catalog.getHelp(name) }
}
