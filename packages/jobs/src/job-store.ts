import type { JobId, TaskId } from '@ibisstair/common'
import type { ConfigStore } from './config-store.ts'
import { MAX_JOBS, MAX_OPEN_TASKS, STATUS_RETENTION_MS } from './constants.ts'
import { EarlyCancels } from './early-cancels.ts'
import { JobEntry, type JobSnapshot } from './job-entry.ts'
import { countMaxOpenTasks } from './job-size.ts'
import { blameRuns, toRanMs, type IncarnationOutcome } from './lost-runs.ts'
import { addResources, NO_RESOURCES, subtractResources } from './resources.ts'
import { SilentLosses, type SilentLoss } from './silent-losses.ts'
import { mustParseTaskId, parseTaskId, toTaskId } from './task-id.ts'
import type { ActiveRun, ConfigEffect, EndedIncarnation, EndpointIncarnation, EndpointRecord, GivenUpJob, JobLimit, JobSpec, LostRun, Resources, RunEnd, Silence, StartGroup } from './types.ts'

const toLostRun = ({ task, run, ranMs }: Omit<LostRun, 'blame'>): Omit<LostRun, 'blame'> => ({ task, run, ranMs })

/** Returns the queue in which the job counts as pending; null if it has begun or ended. */
const getPendingQueue = ({ status, policy }: JobEntry): string | null => status === 'queued' ? policy.queue : null

/** Whether the endpoint has not answered since the loss, so that it may have crashed under that run. */
const isOfSilence = ({ atMs }: SilentLoss, silence: Silence | null): boolean => (silence?.sinceMs ?? -Infinity) <= atMs

export interface FollowOptions {
  /** Time of the change if the number of attempts changes, too; null if it stays. */
  readonly attemptsAtMs: number | null
}

/** All accepted jobs and the runs that occupy endpoints. */
export class JobStore {
  readonly #jobs = new Map<JobId, JobEntry>()
  readonly #activeJobs = new Set<JobEntry>()
  readonly #runs = new Map<EndpointIncarnation, Map<TaskId, ActiveRun>>()
  readonly #usage = new Map<EndpointIncarnation, Resources>()
  readonly #pendingByQueue = new Map<string, number>()
  readonly silentLosses = new SilentLosses()
  readonly earlyCancels = new EarlyCancels()
  readonly #jobsWithCrashes = new Set<JobEntry>()
  /** Tasks of active jobs whose state may be kept at a time. */
  #openTasks = 0

  get openTasks (): number {
    return this.#openTasks
  }

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

  /** Whether an active job runs on endpoints of the service. */
  needsService (service: string): boolean {
    for (const job of this.#activeJobs) if (job.policy.service === service) return true
    return false
  }

  /** Active jobs with a task under which an endpoint has crashed. */
  listWithCrashes (): IterableIterator<JobEntry> {
    return this.#jobsWithCrashes.values()
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

  /** Returns the limit that refuses the job if there is no room for it. */
  accept (spec: JobSpec, atMs: number): { readonly job: JobEntry, readonly isNew: boolean } | JobLimit {
    const known = this.#jobs.get(spec.id)
    if (known) return { job: known, isNew: false }
    this.#removeExpiredJobs(atMs)
    if (this.#jobs.size >= MAX_JOBS) return 'too-many-jobs'
    if (this.#openTasks + countMaxOpenTasks(spec) > MAX_OPEN_TASKS) return 'too-many-tasks'
    const job = new JobEntry(spec, atMs)
    this.#jobs.set(spec.id, job)
    this.#addActive(job)
    this.#addPending(spec.queue, 1)
    if (this.earlyCancels.take(spec.id, atMs)) this.#update(job, () => job.cancel(atMs))
    return { job, isNew: true }
  }

  /** Gives active jobs the policy that the configuration has for their queues; a job whose queue is gone keeps its own. */
  followConfig (config: ConfigStore, options: FollowOptions): ConfigEffect {
    let movedJobs = 0
    const failedJobs: JobId[] = []
    for (const job of [...this.#activeJobs]) {
      const { service } = job.policy
      this.followQueue(job, config, options)
      if (job.policy.service !== service) movedJobs += 1
      if (!job.isActive) failedJobs.push(job.spec.id)
    }
    return { movedJobs, failedJobs }
  }

  followQueue (job: JobEntry, config: ConfigStore, { attemptsAtMs }: FollowOptions): void {
    const queue = config.findQueueOf(job.policy)
    if (!queue || !job.isActive) return
    this.#update(job, () => job.followQueue(queue, attemptsAtMs))
  }

  /** Returns null for a job that is not known; should it be submitted later, it is cancelled at once. */
  cancel (id: JobId, atMs: number): JobEntry | null {
    const job = this.#jobs.get(id)
    if (!job) {
      this.earlyCancels.add(id, atMs)
      return null
    }
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

  /** Ends runs as their endpoint reports; with `silence` it does not answer, and the lost runs among them may have crashed it. */
  end (endpoint: EndpointIncarnation, ends: readonly RunEnd[], atMs: number, silence: Silence | null = null): void {
    if (ends.some(({ outcome }) => outcome !== 'lost')) this.silentLosses.forget(endpoint)
    if (silence) this.#recordSilentLosses(endpoint, ends, atMs, silence)
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

  /** Ends all runs of an incarnation that is gone. If it has crashed, the tasks that may have caused it are judged. */
  endIncarnation (endpoint: EndpointRecord, outcome: IncarnationOutcome): EndedIncarnation {
    const { hasCrashed, silence, atMs } = outcome
    const active = [...this.listRuns(endpoint.life).values()]
    const losses = this.silentLosses.take(endpoint.life, atMs).filter((loss) => isOfSilence(loss, silence))
    const runs = [...losses, ...active.map((run) => ({ task: run.task, run: run.run, ranMs: toRanMs(run, silence) }))]
    this.end(endpoint.life, active.map(({ task, run }) => ({ task, run, outcome: 'lost', checkpoint: '' })), atMs)
    if (!hasCrashed) return { endpoint, hasCrashed, lostRuns: runs.map((run) => ({ ...toLostRun(run), blame: null })), givenUp: [] }
    const lostRuns = blameRuns(runs.map(toLostRun), outcome, (other) => this.#listJobsOn(other))
    return { endpoint, hasCrashed, lostRuns, givenUp: lostRuns.flatMap((run) => this.#recordCrash(endpoint.address, run, atMs) ?? []) }
  }

  toSnapshot (): readonly JobSnapshot[] {
    return [...this.#jobs.values()].map((job) => job.toSnapshot())
  }

  restore (snapshots: readonly JobSnapshot[]): void {
    for (const map of [this.#jobs, this.#runs, this.#usage, this.#pendingByQueue]) map.clear()
    this.#activeJobs.clear()
    this.#openTasks = 0
    this.#jobsWithCrashes.clear()
    for (const snapshot of snapshots) {
      const job = JobEntry.restore(snapshot)
      this.#jobs.set(job.spec.id, job)
      if (job.isActive) this.#addActive(job)
      if (job.isActive && job.hasCrashes) this.#jobsWithCrashes.add(job)
      if (job.status === 'queued') this.#addPending(job.policy.queue, 1)
      for (const [, { steps }] of snapshot.occurrences) {
        steps.forEach(({ tasks }, step) => {
          for (const { active } of tasks) if (active) this.#occupy(active, job.spec.steps[step]!.resources)
        })
      }
    }
  }

  #recordSilentLosses (endpoint: EndpointIncarnation, ends: readonly RunEnd[], atMs: number, silence: Silence): void {
    const runs = this.listRuns(endpoint)
    const losses = ends.flatMap(({ task, run, outcome }) => {
      const active = runs.get(task)
      return outcome === 'lost' && active?.run === run ? [{ task, run, ranMs: toRanMs(active, silence), atMs }] : []
    })
    this.silentLosses.add(endpoint, losses, atMs)
  }

  /** Returns the job if it is given up because of this crash. */
  #recordCrash (address: string, { task, run, ranMs, blame }: LostRun, atMs: number): GivenUpJob | null {
    const { job: id, occurrence, step, index } = mustParseTaskId(task)
    const job = this.#jobs.get(id)
    if (!job?.isRunWanted(occurrence, step, index) || blame === null) return null
    const verdict = job.recordCrash(occurrence, step, index, { address, run, ranMs, blame, atMs })
    this.#jobsWithCrashes.add(job)
    if (verdict !== 'guilty') return null
    const { crashes } = job.findTask(occurrence, step, index)!
    this.#update(job, () => job.giveUp(task, atMs))
    return { job: id, task, crashes }
  }

  #listJobsOn (endpoint: EndpointIncarnation): ReadonlySet<string> {
    const tasks = [...this.listRuns(endpoint).keys(), ...this.silentLosses.list(endpoint).map(({ task }) => task)]
    return new Set(tasks.map((task) => mustParseTaskId(task).job))
  }

  #canStart (job: JobEntry, { occurrence, step, run, members }: StartGroup): boolean {
    if (!job.isActive || !members.every(({ index }) => job.findTask(occurrence, step, index))) return false
    if (!job.areDependenciesDone(occurrence, step)) return false
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
    const pendingIn = getPendingQueue(job)
    change()
    this.#movePending(pendingIn, getPendingQueue(job))
    if (job.isActive) return
    if (this.#activeJobs.delete(job)) this.#openTasks -= job.maxOpenTasks
    this.#jobsWithCrashes.delete(job)
  }

  #addActive (job: JobEntry): void {
    this.#activeJobs.add(job)
    this.#openTasks += job.maxOpenTasks
  }

  #movePending (from: string | null, to: string | null): void {
    if (from === to) return
    if (from !== null) this.#addPending(from, -1)
    if (to !== null) this.#addPending(to, 1)
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
