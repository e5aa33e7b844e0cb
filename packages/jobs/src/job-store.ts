import type { JobId, TaskId } from '@ibisstair/common'
import { MAX_JOBS, STATUS_RETENTION_MS } from './constants.ts'
import { JobEntry, type JobSnapshot } from './job-entry.ts'
import { addResources, NO_RESOURCES, subtractResources } from './resources.ts'
import { parseTaskId, toTaskId } from './task-id.ts'
import type { ActiveRun, EndpointIncarnation, JobSpec, Resources, RunEnd, StartGroup } from './types.ts'

/** All accepted jobs and the runs that occupy endpoints. */
export class JobStore {
  readonly #jobs = new Map<JobId, JobEntry>()
  readonly #activeJobs = new Set<JobEntry>()
  readonly #runs = new Map<EndpointIncarnation, Map<TaskId, ActiveRun>>()
  readonly #usage = new Map<EndpointIncarnation, Resources>()
  readonly #pendingByQueue = new Map<string, number>()

  get size (): number {
    return this.#jobs.size
  }

  get (id: JobId): JobEntry | undefined {
    return this.#jobs.get(id)
  }

  /** Jobs that are neither completed, failed nor cancelled, oldest first. */
  listActive (): IterableIterator<JobEntry> {
    return this.#activeJobs.values()
  }

  listRuns (endpoint: EndpointIncarnation): ReadonlyMap<TaskId, ActiveRun> {
    return this.#runs.get(endpoint) ?? new Map()
  }

  /** Endpoints with active runs. */
  listOccupiedEndpoints (): IterableIterator<EndpointIncarnation> {
    return this.#runs.keys()
  }

  /** Returns the resources that active runs occupy on the endpoint, including runs that are being stopped. */
  getUsage (endpoint: EndpointIncarnation): Resources {
    return this.#usage.get(endpoint) ?? NO_RESOURCES
  }

  /** Returns the number of accepted jobs of the queue that have not started any task. */
  countPending (queue: string): number {
    return this.#pendingByQueue.get(queue) ?? 0
  }

  /** Returns null when the store already holds `MAX_JOBS` jobs. */
  accept (spec: JobSpec, atMs: number): { readonly job: JobEntry, readonly isNew: boolean } | null {
    const known = this.#jobs.get(spec.id)
    if (known) return { job: known, isNew: false }
    this.#removeExpiredJobs(atMs)
    if (this.#jobs.size >= MAX_JOBS) return null
    const job = new JobEntry(spec, atMs)
    this.#jobs.set(spec.id, job)
    this.#activeJobs.add(job)
    this.#addPending(spec.queue, 1)
    return { job, isNew: true }
  }

  cancel (id: JobId, atMs: number): JobEntry | null {
    const job = this.#jobs.get(id)
    if (!job) return null
    this.#update(job, () => job.cancel(atMs))
    return job
  }

  /** Starts each group completely or not at all, and returns the groups that were started. */
  start (groups: readonly StartGroup[], atMs: number): StartGroup[] {
    return groups.filter((group) => {
      const job = this.#jobs.get(group.job)
      if (!job || !this.#canStart(job, group)) return false
      this.#update(job, () => this.#startGroup(job, group, atMs))
      return true
    })
  }

  end (endpoint: EndpointIncarnation, ends: readonly RunEnd[], atMs: number): void {
    for (const end of ends) {
      const ref = parseTaskId(end.task)
      const job = ref && this.#jobs.get(ref.job)
      if (!job) continue
      this.#update(job, () => {
        const ended = job.endRun(endpoint, ref.occurrence, ref.step, ref.index, end, atMs)
        if (ended) this.#release(ended, job.spec.steps[ref.step]!.resources)
      })
    }
  }

  /** Ends all runs of a removed or replaced endpoint as lost, and returns them. */
  endRunsAsLost (endpoint: EndpointIncarnation, atMs: number): readonly ActiveRun[] {
    const runs = [...this.listRuns(endpoint).values()]
    this.end(endpoint, runs.map(({ task, run }) => ({ task, run, outcome: 'lost', checkpoint: '' })), atMs)
    return runs
  }

  toSnapshot (): readonly JobSnapshot[] {
    return [...this.#jobs.values()].map((job) => job.toSnapshot())
  }

  restore (snapshots: readonly JobSnapshot[]): void {
    for (const map of [this.#jobs, this.#runs, this.#usage, this.#pendingByQueue]) map.clear()
    this.#activeJobs.clear()
    for (const snapshot of snapshots) {
      const job = JobEntry.restore(snapshot)
      this.#jobs.set(job.spec.id, job)
      if (job.isActive) this.#activeJobs.add(job)
      if (job.status === 'queued') this.#addPending(job.spec.queue, 1)
      for (const [, { steps }] of snapshot.occurrences) {
        steps.forEach(({ tasks }, step) => {
          for (const { active } of tasks) if (active) this.#occupy(active, job.spec.steps[step]!.resources)
        })
      }
    }
  }

  #canStart (job: JobEntry, { occurrence, step, run, members }: StartGroup): boolean {
    if (!job.isActive || !job.areDependenciesDone(occurrence, step)) return false
    return members.every(({ index }) => {
      const task = job.findTask(occurrence, step, index)
      return task !== undefined && !task.isDone && task.active === null && run > task.lastRun
    })
  }

  #startGroup (job: JobEntry, { job: id, occurrence, step, run, members }: StartGroup, atMs: number): void {
    for (const { index, endpoint } of members) {
      const active = { task: toTaskId({ job: id, occurrence, step, index }), run, endpoint, startedAtMs: atMs }
      job.startRun(occurrence, step, index, active)
      this.#occupy(active, job.spec.steps[step]!.resources)
    }
  }

  #occupy (run: ActiveRun, resources: Resources): void {
    const runs = this.#runs.get(run.endpoint) ?? new Map<TaskId, ActiveRun>()
    runs.set(run.task, run)
    this.#runs.set(run.endpoint, runs)
    this.#usage.set(run.endpoint, addResources(this.getUsage(run.endpoint), resources))
  }

  #release ({ task, endpoint }: ActiveRun, resources: Resources): void {
    const runs = this.#runs.get(endpoint)!
    runs.delete(task)
    this.#usage.set(endpoint, subtractResources(this.getUsage(endpoint), resources))
    if (runs.size > 0) return
    this.#runs.delete(endpoint)
    this.#usage.delete(endpoint)
  }

  /** Applies a change to the job and updates the indexes. */
  #update (job: JobEntry, change: () => void): void {
    const wasPending = job.status === 'queued'
    change()
    if (wasPending && job.status !== 'queued') this.#addPending(job.spec.queue, -1)
    if (!job.isActive) this.#activeJobs.delete(job)
  }

  #addPending (queue: string, by: number): void {
    this.#pendingByQueue.set(queue, (this.#pendingByQueue.get(queue) ?? 0) + by)
  }

  #removeExpiredJobs (atMs: number): void {
    for (const [id, job] of this.#jobs) {
      const isExpired = !job.isActive && job.activeRuns === 0 && job.endedAtMs + STATUS_RETENTION_MS < atMs
      if (isExpired) this.#jobs.delete(id)
      // Jobs are sorted by acceptance time and most end in about that order, so the scan can stop here.
      else if (job.acceptedAtMs + STATUS_RETENTION_MS >= atMs) return
    }
  }
}
