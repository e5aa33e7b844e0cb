import type { TimerService, Unsubscribe } from '@ibisstair/timers'
import { StatsD } from 'hot-shots'
import { MAX_METRIC_NAMES, MAX_TIMING_NAMES, METRICS_PACKET_BYTES, METRICS_PUBLISH_PERIOD_MS } from './constants.ts'
import { LatencyHistogram } from './histogram.ts'
import type { LatencySummary, MetricsSnapshot } from './types.ts'

/** Characters that the StatsD line format gives no meaning. */
const METRIC_NAME = /^[A-Za-z0-9_.-]{1,120}$/

export interface MetricsServer {
  readonly address: string
  readonly port: number
  readonly prefix: string
}

export interface MetricsOptions {
  readonly node: string
  /** Without a server the values are kept locally only. */
  readonly server?: MetricsServer | undefined
  /** Needed with a server: values are published every 10 s. */
  readonly timers?: TimerService
}

/**
 * Counters, gauges and timings of one process. Values are kept locally and published as totals of
 * each period, so that the traffic to the metrics server is bounded by the number of names and not
 * by the load.
 */
export class Metrics {
  readonly #counters = new Map<string, number>()
  readonly #gauges = new Map<string, number>()
  readonly #timings = new Map<string, LatencyHistogram>()
  readonly #published = new Map<string, number>()
  readonly #recent = new Map<string, LatencyHistogram>()
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

  increment (name: string, by = 1): void {
    if (!this.#accepts(name, this.#counters)) return
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + by)
  }

  gauge (name: string, value: number): void {
    if (!this.#accepts(name, this.#gauges)) return
    this.#gauges.set(name, value)
  }

  timing (name: string, ms: number): void {
    if (!this.#accepts(name, this.#timings, MAX_TIMING_NAMES)) return
    Metrics.#record(this.#timings, name, ms)
    if (this.#client) Metrics.#record(this.#recent, name, ms)
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

  /** Sends what changed since the last call. A failure is counted and has no other effect. */
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

  /** Publishes the last values and stops; resolves even when the server is gone. */
  async close (): Promise<void> {
    if (this.#closed) return
    this.publish()
    this.#closed = true
    this.#unsubscribe?.()
    const client = this.#client
    if (!client) return
    await new Promise<void>((resolve) => {
      client.close((err) => {
        // An error of the last flush arrives here and not at the error handler.
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
      const delta = value - (this.#published.get(name) ?? 0)
      if (delta === 0) continue
      client.increment(name, delta)
      this.#published.set(name, value)
    }
  }

  #publishTimings (client: StatsD): void {
    for (const [name, recent] of this.#recent) {
      if (recent.count === 0) continue
      const summary = recent.summarise()
      for (const field of ['count', 'p50', 'p99', 'max'] as const satisfies ReadonlyArray<keyof LatencySummary>) {
        client.gauge(`${name}.${field}`, summary[field])
      }
      recent.reset()
    }
  }

  #accepts (name: string, values: ReadonlyMap<string, unknown>, limit = MAX_METRIC_NAMES): boolean {
    if (values.has(name)) return true
    if (values.size < limit && METRIC_NAME.test(name)) return true
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
