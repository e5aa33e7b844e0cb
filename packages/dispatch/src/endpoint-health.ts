import type { TaskId } from '@ibisstair/common'
import type { EndpointIncarnation, RunOutcome } from '@ibisstair/jobs'
import { mustParseTaskId } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'

/** Different jobs that fail in a row before the endpoint is suspected rather than the jobs. */
const SUSPECT_AFTER_JOBS = 2
const SUSPECT_MS = 6_000
const REFUSAL_PAUSE_MS = 1_500

interface Health {
  readonly failedJobs: Set<string>
  suspectUntilMs: number
}

/** Suspects endpoints on which runs of several jobs fail one after the other. */
export class EndpointHealth {
  readonly #timers: TimerService
  readonly #health = new Map<EndpointIncarnation, Health>()

  constructor (timers: TimerService) {
    this.#timers = timers
  }

  noteEnd (life: EndpointIncarnation, task: TaskId, outcome: RunOutcome): void {
    if (outcome === 'done') {
      this.#health.delete(life)
      return
    }
    if (outcome !== 'failed') return
    const health = this.#get(life)
    health.failedJobs.add(mustParseTaskId(task).job)
    if (health.failedJobs.size >= SUSPECT_AFTER_JOBS) health.suspectUntilMs = this.#timers.now() + SUSPECT_MS
  }

  noteRefusal (life: EndpointIncarnation): void {
    const health = this.#get(life)
    health.suspectUntilMs = Math.max(health.suspectUntilMs, this.#timers.now() + REFUSAL_PAUSE_MS)
  }

  isSuspect (life: EndpointIncarnation): boolean {
    return (this.#health.get(life)?.suspectUntilMs ?? -Infinity) > this.#timers.now()
  }

  /** Endpoints with recent failures are used last. */
  getPenalty (life: EndpointIncarnation): number {
    return this.#health.get(life)?.failedJobs.size ?? 0
  }

  forget (life: EndpointIncarnation): void {
    this.#health.delete(life)
  }

  #get (life: EndpointIncarnation): Health {
    const known = this.#health.get(life)
    if (known) return known
    const health = { failedJobs: new Set<string>(), suspectUntilMs: -Infinity }
    this.#health.set(life, health)
    return health
  }
}
