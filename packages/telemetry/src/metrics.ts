import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { StatsD } from 'hot-shots'
import { MAX_METRIC_NAMES, MAX_TIMING_NAMES, METRICS_PACKET_BYTES, METRICS_PUBLISH_PERIOD_MS } from './constants.ts'
import { LatencyHistogram } from './histogram.ts'
import type { LatencySummary, MetricsSnapshot } from './types.ts'

/** Allows only characters without a special meaning in the StatsD line format. */
const METRIC_NAME_PATTERN = /^[A-Za-z0-9_.-]{1,120}$/

export interface MetricsServer {
  readonly address: string
  readonly port: number
  readonly prefix: string
}

export interface MetricsOptions {
  readonly node: string
  /** Without a server, values are only kept locally. */
  readonly server?: MetricsServer | undefined
  /** Required with a server, to publish values every 10 s. */
  readonly timers?: TimerService
}

/**
 * Counters, gauges and timings of one process. Values are aggregated locally and published once per
 * period, so that traffic to the metrics server depends on the number of names, not on the load.
 */
export class Metrics {
  readonly #counters = new Map<string, number>()
  readonly #gauges = new Map<string, number>()
  readonly #timings = new Map<string, LatencyHistogram>()
  readonly #publishedCounters = new Map<string, number>()
  readonly #unpublishedTimings = new Map<string, LatencyHistogram>()
  readonly #client: StatsD | undefined
  readonly #unsubscribe: Unsubscribe | undefined
  #droppedNames = 0
  #sendFailures = 0
  #closed = false

  constructor ({ node, server, timers }: MetricsOptions) {
    if (!server || !timers) return
    this.#client = this.#openClient(node, server)
    this.#unsubscribe = timers.every(METRICS_PUBLISH_PERIOD_MS, () => this.publish())
  }

  increment (name: string, amount = 1): void {
    if (!this.#acceptsName(name, this.#counters)) return
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount)
  }

  gauge (name: string, value: number): void {
    if (!this.#acceptsName(name, this.#gauges)) return
    this.#gauges.set(name, value)
  }

  timing (name: string, ms: number): void {
    if (!this.#acceptsName(name, this.#timings, MAX_TIMING_NAMES)) return
    Metrics.#record(this.#timings, name, ms)
    if (this.#client) Metrics.#record(this.#unpublishedTimings, name, ms)
  }

  counter (name: string): number {
    return this.#counters.get(name) ?? 0
  }

  read (): MetricsSnapshot {
    return {
      counters: {
        ...Object.fromEntries(this.#counters),
        'metrics.dropped-names': this.#droppedNames,
        'metrics.send-failures': this.#sendFailures
      },
      gauges: Object.fromEntries(this.#gauges),
      timings: Object.fromEntries([...this.#timings].map(([name, timing]) => [name, timing.summarise()]))
    }
  }

  /** Sends counter and timing changes since the last call, and all gauges. A failure is only counted. */
  publish (): void {
    const client = this.#client
    if (!client || this.#closed) return
    try {
      this.#publishCounters(client)
      for (const [name, value] of this.#gauges) client.gauge(name, value)
      this.#publishTimings(client)
    } catch {
      this.#sendFailures += 1
    }
  }

  /** Publishes the last values and stops publishing. Resolves even when the server is unreachable. */
  async close (): Promise<void> {
    if (this.#closed) return
    this.publish()
    this.#closed = true
    this.#unsubscribe?.()
    const client = this.#client
    if (!client) return
    await new Promise<void>((resolve) => {
      client.close((err) => {
        // An error of the last flush is passed to this callback and not to the error handler.
        if (err) this.#sendFailures += 1
        resolve()
      })
    })
  }

  #openClient (node: string, { address, port, prefix }: MetricsServer): StatsD | undefined {
    const onError = (): void => { this.#sendFailures += 1 }
    try {
      return new StatsD({
        host: address,
        port,
        prefix: `${prefix}.`,
        protocol: 'udp',
        globalTags: { node },
        datadog: false,
        includeDataDogTags: false,
        maxBufferSize: METRICS_PACKET_BYTES,
        errorHandler: onError
      })
    } catch {
      onError()
      return undefined
    }
  }

  #publishCounters (client: StatsD): void {
    for (const [name, value] of Object.entries(this.read().counters)) {
      const delta = value - (this.#publishedCounters.get(name) ?? 0)
      if (delta === 0) continue
      client.increment(name, delta)
      this.#publishedCounters.set(name, value)
    }
  }

  #publishTimings (client: StatsD): void {
    for (const [name, recent] of this.#unpublishedTimings) {
      if (recent.count === 0) continue
      const summary = recent.summarise()
      for (const field of ['count', 'p50', 'p99', 'max'] as const satisfies ReadonlyArray<keyof LatencySummary>) {
        client.gauge(`${name}.${field}`, summary[field])
      }
      recent.reset()
    }
  }

  #acceptsName (name: string, values: ReadonlyMap<string, unknown>, limit = MAX_METRIC_NAMES): boolean {
    if (values.has(name)) return true
    if (values.size < limit && METRIC_NAME_PATTERN.test(name)) return true
    this.#droppedNames += 1
    return false
  }

  static #record (timings: Map<string, LatencyHistogram>, name: string, ms: number): void {
    let histogram = timings.get(name)
    if (!histogram) {
      histogram = new LatencyHistogram()
      timings.set(name, histogram)
    }
    histogram.record(ms)
  }
}
