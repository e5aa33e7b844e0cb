import type { JobId } from '@ibisstair/common'
import { mustParseTaskId, type EndpointIncarnation, type SchedulingState } from '@ibisstair/jobs'
import type { Assignment, Candidate } from './placement.ts'
import { listSuspects, type ReadyWork } from './ready-work.ts'

/**
 * Keeps suspect work apart from the work of other jobs during one pass. The load pattern: a task crashes each
 * endpoint on which it starts, beside tasks that would be lost with it and that could be blamed in its place.
 */
export class Isolation {
  readonly #state: SchedulingState
  /** Endpoints that are kept for a suspect, with its job. */
  readonly #reservedFor = new Map<EndpointIncarnation, JobId>()
  /** Jobs that this pass has placed on an endpoint. */
  readonly #placedJobs = new Map<EndpointIncarnation, Set<JobId>>()

  constructor (state: SchedulingState, wallMs: number) {
    this.#state = state
    for (const job of state.jobs.listWithCrashes()) {
      for (const { active } of listSuspects(job, wallMs)) if (active) this.#reservedFor.set(active.endpoint, job.spec.id)
    }
  }

  /** Returns the candidates that are not kept for a suspect of another job. */
  listOpen (candidates: readonly Candidate[], { job }: ReadyWork): readonly Candidate[] {
    if (this.#reservedFor.size === 0) return candidates
    return candidates.filter(({ endpoint }) => (this.#reservedFor.get(endpoint.life) ?? job.spec.id) === job.spec.id)
  }

  /** Returns the candidates on which no other job runs. */
  listEmpty (candidates: readonly Candidate[], { job }: ReadyWork): Candidate[] {
    return candidates.filter(({ endpoint }) => this.#hasOnly(endpoint.life, job.spec.id))
  }

  recordPlacement ({ job, isSuspect }: ReadyWork, assignments: readonly Assignment[]): void {
    for (const { endpoint } of assignments) {
      if (isSuspect) this.#reservedFor.set(endpoint, job.spec.id)
      const jobs = this.#placedJobs.get(endpoint)
      if (jobs) jobs.add(job.spec.id)
      else this.#placedJobs.set(endpoint, new Set([job.spec.id]))
    }
  }

  #hasOnly (endpoint: EndpointIncarnation, job: JobId): boolean {
    for (const placed of this.#placedJobs.get(endpoint) ?? []) if (placed !== job) return false
    for (const task of this.#state.jobs.listRuns(endpoint).keys()) if (mustParseTaskId(task).job !== job) return false
    return true
  }
}
