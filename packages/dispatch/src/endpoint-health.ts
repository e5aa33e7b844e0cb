import type { TaskId } from '@ibisstair/common'
import type { EndpointIncarnation, RunOutcome } from '@ibisstair/jobs'
import { mustParseTaskId } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'

/** Number of different jobs that must fail in a row on an endpoint before it counts as faulty. */
const MIN_FAILED_JOBS = 2
const SUSPECT_MS = 6_000
const SUSPECT_AFTER_REFUSAL_MS = 1_500

interface Health {
  readonly failedJobs: Set<string>
  suspectUntilMs: number
}

/** Marks endpoints as suspect when runs of several jobs fail there in a row, or when they refuse a start. */
export class EndpointHealth {
  readonly #timers: TimerService
  readonly #health = new Map<EndpointIncarnation, Health>()

  constructor (timers: TimerService) {
    this.#timers = timers
  }

  recordEnd (incarnation: EndpointIncarnation, task: TaskId, outcome: RunOutcome): void {
    if (outcome === 'done') {
      this.#health.delete(incarnation)
      return
    }
    if (outcome !== 'failed') return
    const health = this.#get(incarnation)
    health.failedJobs.add(mustParseTaskId(task).job)
    if (health.failedJobs.size >= MIN_FAILED_JOBS) health.suspectUntilMs = this.#timers.now() + SUSPECT_MS
  }

  recordRefusal (incarnation: EndpointIncarnation): void {
    const health = this.#get(incarnation)
    health.suspectUntilMs = Math.max(health.suspectUntilMs, this.#timers.now() + SUSPECT_AFTER_REFUSAL_MS)
  }

  isSuspect (incarnation: EndpointIncarnation): boolean {
    return (this.#health.get(incarnation)?.suspectUntilMs ?? -Infinity) > this.#timers.now()
  }

  /** Returns the number of jobs that failed there in a row; a higher penalty is placed later. */
  getPenalty (incarnation: EndpointIncarnation): number {
    return this.#health.get(incarnation)?.failedJobs.size ?? 0
  }

  remove (incarnation: EndpointIncarnation): void {
    this.#health.delete(incarnation)
  }

  #get (incarnation: EndpointIncarnation): Health {
    const known = this.#health.get(incarnation)
    if (known) return known
    const health = { failedJobs: new Set<string>(), suspectUntilMs: -Infinity }
    this.#health.set(incarnation, health)
    return health
  }
}
