/**
 * Load of an engine in Prometheus text, as old as the knob says.
 */
import * as prometheus from 'prom-client'
import * as host from '../src/host/types.js'

/** The figures at one moment. */
export interface LoadSample {
  readonly running: number
  readonly waiting: number
  /** Share of memory in use, from 0 to 1. */
  readonly cacheUsage: number
  readonly queriedTokens: number
  readonly hitTokens: number
  readonly generatedTokens: number
  readonly preemptions: number
}

interface TimedSample {
  readonly atMs: number
  readonly sample: LoadSample
}

/** How often the figures are taken, in milliseconds. */
const samplePeriodMs = 100
/** Oldest figures kept, in milliseconds. */
const maximumAgeMs = 60_000

const metricNames = {
  running: 'vllm:num_requests_running',
  waiting: 'vllm:num_requests_waiting',
  cacheUsage: 'vllm:kv_cache_usage_perc',
  queriedTokens: 'vllm:prefix_cache_queries_total',
  hitTokens: 'vllm:prefix_cache_hits_total',
  generatedTokens: 'vllm:generation_tokens_total',
  preemptions: 'vllm:num_preemptions_total'
} as const satisfies Record<keyof LoadSample, string>

export class LaggingMetrics {
  private readonly samples: TimedSample[] = []
  private readonly registry = new prometheus.Registry()
  private readonly gauges: Readonly<Record<keyof LoadSample, prometheus.Gauge>>
  private readonly stopSampling: host.Stop

  constructor (private readonly clock: host.Clock, private readonly model: string, private readonly takeSample: () => LoadSample) {
    this.gauges = {
      running: this.createGauge('running'),
      waiting: this.createGauge('waiting'),
      cacheUsage: this.createGauge('cacheUsage'),
      queriedTokens: this.createGauge('queriedTokens'),
      hitTokens: this.createGauge('hitTokens'),
      generatedTokens: this.createGauge('generatedTokens'),
      preemptions: this.createGauge('preemptions')
    }
    this.sample()
    this.stopSampling = clock.every(samplePeriodMs, () => this.sample())
  }

  /** Returns the figures as they were `lagMs` milliseconds ago. */
  render (lagMs: number): Promise<string> {
    const sample = lagMs === 0 ? this.takeSample() : this.getSample(lagMs)
    for (const [name, gauge] of Object.entries(this.gauges)) {
      gauge.set({ model_name: this.model }, sample[name as keyof LoadSample])
    }
    return this.registry.metrics()
  }

  close (): void {
    this.stopSampling()
  }

  private createGauge (name: keyof LoadSample): prometheus.Gauge {
    return new prometheus.Gauge({
      name: metricNames[name], help: name, labelNames: ['model_name'], registers: [this.registry]
    })
  }

  private sample (): void {
    const atMs = this.clock.monotonicMs()
    this.samples.push({ atMs, sample: this.takeSample() })
    if ((this.samples[0] as TimedSample).atMs < atMs - maximumAgeMs) {
      this.samples.shift()
    }
  }

  private getSample (lagMs: number): LoadSample {
    const untilMs = this.clock.monotonicMs() - lagMs
    let found = this.samples[0] as TimedSample
    for (const timed of this.samples) {
      if (timed.atMs > untilMs) {
        break
      }
      found = timed
    }
    return found.sample
  }
}
