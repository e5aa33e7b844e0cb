import type { ActiveRun } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'

/** A run that is unsettled for less than this time is not reported. */
export const MIN_UNSETTLED_MS = 2_000

/** Time between two observations. */
export const OBSERVATION_PERIOD_MS = 1_000

/** The same run is reported again after this time. */
export const REPEATED_REPORT_MS = 5_000

/** Lines that one observation writes at most. */
export const MAX_REPORTED_RUNS = 10

/**
 * Why a run is active in the replicated state although perhaps no endpoint works on it: `unconfirmed` if the endpoint
 * has not confirmed it during the term, `awaits-end` if it is no longer wanted and its end is not committed.
 */
const UNSETTLED_CAUSES = ['unconfirmed', 'awaits-end'] as const

export type UnsettledCause = typeof UNSETTLED_CAUSES[number]

/** What the leader knows of one active run. */
export interface RunStatus {
  readonly run: ActiveRun
  /** null for a run that is wanted and confirmed. */
  readonly cause: UnsettledCause | null
  /** Further fields of the line. */
  readonly describe: () => Readonly<Record<string, unknown>>
}

interface Unsettled {
  readonly sinceMs: number
  reportedAtMs: number
}

/**
 * Reports active runs that keep their task from being placed, and their job from counting as one without runs, while
 * it is not known that an endpoint works on them.
 */
export class UnsettledRuns {
  readonly #logger: Logger
  readonly #metrics: Metrics
  #unsettled = new Map<string, Unsettled>()
  #nextAtMs = -Infinity

  constructor (logger: Logger, metrics: Metrics) {
    this.#logger = logger
    this.#metrics = metrics
  }

  /** `list` is called when an observation is due. */
  observe (list: () => Iterable<RunStatus>, nowMs: number): void {
    if (nowMs < this.#nextAtMs) return
    this.#nextAtMs = nowMs + OBSERVATION_PERIOD_MS
    const unsettled = new Map<string, Unsettled>()
    const counts = new Map<UnsettledCause, number>()
    let lines = 0
    let leftOut = 0
    for (const { run, cause, describe } of list()) {
      if (cause === null) continue
      const key = `${run.task}#${run.run}/${cause}`
      const known = this.#unsettled.get(key) ?? { sinceMs: nowMs, reportedAtMs: -Infinity }
      unsettled.set(key, known)
      if (nowMs - known.sinceMs < MIN_UNSETTLED_MS) continue
      counts.set(cause, (counts.get(cause) ?? 0) + 1)
      if (nowMs - known.reportedAtMs < REPEATED_REPORT_MS) continue
      if (lines === MAX_REPORTED_RUNS) {
        leftOut += 1
        continue
      }
      lines += 1
      known.reportedAtMs = nowMs
      this.#logger.info('run unsettled', { task: run.task, run: run.run, cause, unsettledMs: Math.round(nowMs - known.sinceMs), ...describe() })
    }
    if (leftOut > 0) this.#logger.info('more runs are unsettled; their lines are left out', { leftOut })
    this.#unsettled = unsettled
    this.#measure(counts)
  }

  /** Sets the metrics of a leader whose term is over to 0. */
  close (): void {
    this.#measure(new Map())
  }

  #measure (counts: ReadonlyMap<UnsettledCause, number>): void {
    for (const cause of UNSETTLED_CAUSES) this.#metrics.gauge(`runs.unsettled.${cause}`, counts.get(cause) ?? 0)
  }
}
