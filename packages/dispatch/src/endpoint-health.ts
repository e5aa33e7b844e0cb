import type { TaskId } from '@ibisstair/common'
import type { EndpointLife, RunOutcome } from '@ibisstair/jobs'
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
  readonly #health = new Map<EndpointLife, Health>()

  constructor (timers: TimerService) {
    this.#timers = timers
  }

  noteEnd (life: EndpointLife, task: TaskId, outcome: RunOutcome): void {
    if (outcome === 'done') {
      this.#health.delete(life)
      return
    }
    if (outcome !== 'failed') return
    const health = this.#get(life)
    health.failedJobs.add(mustParseTaskId(task).job)
    if (health.failedJobs.size >= SUSPECT_AFTER_JOBS) health.suspectUntilMs = this.#timers.now() + SUSPECT_MS
  }

  noteRefusal (life: EndpointLife): void {
    const health = this.#get(life)
    health.suspectUntilMs = Math.max(health.suspectUntilMs, this.#timers.now() + REFUSAL_PAUSE_MS)
  }

  isSuspect (life: EndpointLife): boolean {
    return (this.#health.get(life)?.suspectUntilMs ?? -Infinity) > this.#timers.now()
  }

  /** Endpoints with recent failures are used last. */
  getPenalty (life: EndpointLife): number {
    return this.#health.get(life)?.failedJobs.size ?? 0
  }

  forget (life: EndpointLife): void {
    this.#health.delete(life)
  }

  #get (life: EndpointLife): Health {
    const known = this.#health.get(life)
    if (known) return known
    const health = { failedJobs: new Set<string>(), suspectUntilMs: -Infinity }
    this.#health.set(life, health)
    return health
  }
}
