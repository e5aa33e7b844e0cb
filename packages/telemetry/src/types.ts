import type { KindOfWork, NodeId } from '@ibisstair/common'
import type { LOG_LEVELS } from './constants.ts'

export type LogLevel = typeof LOG_LEVELS[number]

export type LogFields = Readonly<Record<string, unknown>>

export interface Logger {
  error (message: string, fields?: LogFields): void
  warn (message: string, fields?: LogFields): void
  info (message: string, fields?: LogFields): void
  debug (message: string, fields?: LogFields): void
}

/** Latencies in milliseconds; `max` and the quantiles are exact to two significant digits. */
export interface LatencySummary {
  readonly count: number
  readonly mean: number
  readonly p50: number
  readonly p90: number
  readonly p99: number
  readonly max: number
}

/** Values kept in the process, as the message `metrics.read` returns them. */
export interface MetricsSnapshot {
  readonly counters: Readonly<Record<string, number>>
  readonly gauges: Readonly<Record<string, number>>
  readonly timings: Readonly<Record<string, LatencySummary>>
}

/** Service level objective for one kind of work. */
export interface KindObjective {
  readonly kind: KindOfWork
  /** A request is good when it starts within this time of its arrival. */
  readonly startWithinMs: number
  /** Fraction of requests that must be good. */
  readonly target: number
}

/** Start in Unix milliseconds (a multiple of the bucket length), good requests, all requests. */
export type ObjectiveBucket = readonly [startMs: number, good: number, total: number]

export interface ObjectiveCounts extends KindObjective {
  /** Sorted by start time, ascending. */
  readonly buckets: readonly ObjectiveBucket[]
}

/** The body of `GET /v1/metrics` on the operators' listener. */
export interface MetricsBody {
  readonly node: NodeId
  readonly atMs: number
  readonly objectives: readonly ObjectiveCounts[]
  readonly counters: Readonly<Record<string, number>>
}

/** Objective and counts of one kind of work, merged over several entries. */
export interface MergedObjective extends ObjectiveCounts {
  /** Whether entries report different objectives for this kind; the objective of the newest body is used. */
  readonly mixed: boolean
}

/** Counts and burn rate over one time window. */
export interface WindowBurn {
  readonly windowMs: number
  readonly good: number
  readonly total: number
  /** Fraction of bad requests divided by the fraction that the objective allows. */
  readonly burnRate: number
}

/**
 * `burning`: both windows consume the error budget faster than allowed; `at-risk`: only the short
 * window does; `recovering`: only the long window does.
 */
export type BurnVerdict = 'no-data' | 'ok' | 'at-risk' | 'recovering' | 'burning'

export interface BurnReport extends KindObjective {
  readonly mixed: boolean
  readonly short: WindowBurn
  readonly long: WindowBurn
  /** Fraction of the long window's error budget that is left; negative when it is overspent. */
  readonly budgetRemaining: number
  readonly verdict: BurnVerdict
}
