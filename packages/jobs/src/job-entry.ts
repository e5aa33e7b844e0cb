import { invariant, type TaskId } from '@ibisstair/common'
import { getProbationMs, judge, MAX_REMEMBERED_CRASHES, type TaskCrash, type Verdict } from '@ibisstair/crashes'
import { countMaxOpenTasks, countTasksPerOccurrence, getMaxOpenOccurrences } from './job-size.ts'
import type { ActiveRun, EndpointIncarnation, JobSpec, JobState, JobStatus, QueueConfig, QueuePolicy, RunEnd, StepSpec } from './types.ts'

/** Progress of one task of one occurrence. */
export interface TaskEntry {
  isDone: boolean
  /** Numbers of the failed runs; each counts once, however often it is reported. */
  failedRuns: number[]
  lastRun: number
  checkpoint: string
  active: ActiveRun | null
  /** Crashes of endpoints under the task since its last run that lasted, oldest first. */
  crashes: readonly TaskCrash[]
}

/** Progress of one step of one occurrence. Attempts and checkpoints of a gang belong to the step. */
export interface StepEntry {
  readonly tasks: TaskEntry[]
  doneTasks: number
  activeTasks: number
  /** Numbers of the failed runs of a gang; each counts once, however many members report it. */
  failedRuns: number[]
  lastRun: number
  checkpoint: string
  /** Whether an endpoint has crashed under a task of the step. */
  hasCrashes: boolean
}

export interface OccurrenceEntry {
  readonly steps: StepEntry[]
}

export interface JobSnapshot {
  readonly spec: JobSpec
  /** Absent while it is the one of the spec, and in snapshots of builds that never changed it. */
  readonly policy?: QueuePolicy
  readonly acceptedAtMs: number
  readonly state: JobState
  readonly endedAtMs: number
  readonly hasBegun: boolean
  /** Absent in snapshots of builds that did not count crashes. */
  readonly crashedTask?: TaskId | null
  /** Occurrences that are done and no longer listed; absent in snapshots of builds that kept them. */
  readonly closedOccurrences?: number
  readonly occurrences: ReadonlyArray<readonly [number, OccurrenceEntry]>
}

const NO_CRASHES: readonly TaskCrash[] = []

/** Whether a run has lasted well past the age at which endpoints crashed under its task. */
export const hasPassedProbation = ({ crashes }: TaskEntry, { startedAtMs }: ActiveRun, atMs: number): boolean =>
  crashes.length === 0 || atMs - startedAtMs >= getProbationMs(crashes)

const toPolicy = ({ name, host, pathPrefix, service, priority, stretch, targetLatencyMs }: QueueConfig, maxAttempts: number): QueuePolicy =>
  ({ queue: name, route: { host, pathPrefix }, service, priority, maxAttempts, stretch, targetLatencyMs })

const isSamePolicy = (a: QueuePolicy, b: QueuePolicy): boolean =>
  a.queue === b.queue && a.route?.host === b.route?.host && a.route?.pathPrefix === b.route?.pathPrefix && a.service === b.service &&
  a.priority === b.priority && a.maxAttempts === b.maxAttempts && a.stretch === b.stretch && a.targetLatencyMs === b.targetLatencyMs

const createTask = (): TaskEntry => ({ isDone: false, failedRuns: [], lastRun: 0, checkpoint: '', active: null, crashes: NO_CRASHES })

const createStep = ({ count }: StepSpec): StepEntry => ({
  tasks: Array.from({ length: count }, createTask),
  doneTasks: 0,
  activeTasks: 0,
  failedRuns: [],
  lastRun: 0,
  checkpoint: '',
  hasCrashes: false
})

const isClosable = ({ steps }: OccurrenceEntry): boolean =>
  steps.every(({ tasks, doneTasks, activeTasks }) => doneTasks === tasks.length && activeTasks === 0)

/** Fills in what snapshots of builds that did not count crashes lack. */
const addMissingCrashFields = (step: StepEntry): void => {
  step.hasCrashes ??= false
  for (const task of step.tasks) task.crashes ??= NO_CRASHES
}

/** An accepted job and its progress. It changes only through commands of the log. */
export class JobEntry {
  readonly spec: JobSpec
  readonly acceptedAtMs: number
  /** What the last configuration that had the queue says of it. */
  #policy: QueuePolicy
  readonly #occurrences = new Map<number, OccurrenceEntry>()
  /** All earlier occurrences are done, and their state is no longer kept. */
  #closedOccurrences = 0
  #state: JobState = 'active'
  #endedAtMs = 0
  #hasBegun = false
  #crashedTask: TaskId | null = null
  #doneTasks = 0
  #activeRuns = 0

  constructor (spec: JobSpec, acceptedAtMs: number) {
    this.spec = spec
    this.#policy = spec
    this.acceptedAtMs = acceptedAtMs
  }

  static restore (snapshot: JobSnapshot): JobEntry {
    const job = new JobEntry(snapshot.spec, snapshot.acceptedAtMs)
    job.#policy = snapshot.policy ?? snapshot.spec
    job.#state = snapshot.state
    job.#endedAtMs = snapshot.endedAtMs
    job.#hasBegun = snapshot.hasBegun
    job.#crashedTask = snapshot.crashedTask ?? null
    job.#closedOccurrences = snapshot.closedOccurrences ?? 0
    job.#doneTasks = job.#closedOccurrences * countTasksPerOccurrence(job.spec)
    for (const [occurrence, entry] of snapshot.occurrences) {
      job.#occurrences.set(occurrence, entry)
      for (const step of entry.steps) {
        addMissingCrashFields(step)
        job.#doneTasks += step.doneTasks
        job.#activeRuns += step.activeTasks
      }
    }
    return job
  }

  toSnapshot (): JobSnapshot {
    const policy = this.#policy === this.spec ? {} : { policy: this.#policy }
    return { spec: this.spec, ...policy, acceptedAtMs: this.acceptedAtMs, state: this.#state, endedAtMs: this.#endedAtMs, hasBegun: this.#hasBegun, crashedTask: this.#crashedTask, closedOccurrences: this.#closedOccurrences, occurrences: [...this.#occurrences] }
  }

  get policy (): QueuePolicy {
    return this.#policy
  }

  get state (): JobState {
    return this.#state
  }

  get endedAtMs (): number {
    return this.#endedAtMs
  }

  get isActive (): boolean {
    return this.#state === 'active'
  }

  get hasBegun (): boolean {
    return this.#hasBegun
  }

  /** The task for which the job was given up because endpoints crashed under it; null otherwise. */
  get crashedTask (): TaskId | null {
    return this.#crashedTask
  }

  get activeRuns (): number {
    return this.#activeRuns
  }

  get status (): JobStatus {
    if (this.#state !== 'active') return this.#state
    return this.#hasBegun ? 'running' : 'queued'
  }

  get occurrenceCount (): number {
    return this.spec.recurrence?.occurrences ?? 1
  }

  /** The largest number of tasks whose state the job keeps at a time. */
  get maxOpenTasks (): number {
    return countMaxOpenTasks(this.spec)
  }

  /** Returns the occurrences that are due and not closed, oldest first, at most as many as may be open at a time. */
  listDueOccurrences (wallMs: number): number[] {
    const due: number[] = []
    const end = Math.min(this.occurrenceCount, this.#closedOccurrences + getMaxOpenOccurrences(this.spec))
    for (let occurrence = this.#closedOccurrences; occurrence < end && this.getDueAtMs(occurrence) <= wallMs; occurrence++) due.push(occurrence)
    return due
  }

  /** Returns the Unix time in milliseconds before which an occurrence must not start. */
  getDueAtMs (occurrence: number): number {
    const { recurrence } = this.spec
    return recurrence ? recurrence.startAtMs + occurrence * recurrence.intervalMs : 0
  }

  /** The occurrence must not be closed. */
  getOccurrence (occurrence: number): OccurrenceEntry {
    const known = this.#occurrences.get(occurrence)
    if (known) return known
    invariant(occurrence >= this.#closedOccurrences, 'the state of a closed occurrence is not used', { job: this.spec.id, occurrence, closed: this.#closedOccurrences })
    const entry = { steps: this.spec.steps.map(createStep) }
    this.#occurrences.set(occurrence, entry)
    return entry
  }

  /** The occurrences of which anything has been looked up or started. */
  listBegunOccurrences (): readonly OccurrenceEntry[] {
    return [...this.#occurrences.values()]
  }

  /** Returns undefined for a task that the job does not have, or whose state is no longer kept. */
  findTask (occurrence: number, step: number, index: number): TaskEntry | undefined {
    if (occurrence >= this.occurrenceCount || step >= this.spec.steps.length) return undefined
    if (!this.#occurrences.has(occurrence) && (!this.isActive || occurrence < this.#closedOccurrences)) return undefined
    return this.getOccurrence(occurrence).steps[step]?.tasks[index]
  }

  isStepDone (occurrence: number, step: number): boolean {
    const { doneTasks, tasks } = this.getOccurrence(occurrence).steps[step]!
    return doneTasks === tasks.length
  }

  areDependenciesDone (occurrence: number, step: number): boolean {
    return this.spec.steps[step]!.dependsOn.every((earlier) => this.isStepDone(occurrence, earlier))
  }

  /** Whether the task still has to be done: its job is active and no run of it has completed. */
  isRunWanted (occurrence: number, step: number, index: number): boolean {
    return this.isActive && this.findTask(occurrence, step, index)?.isDone === false
  }

  startRun (occurrence: number, step: number, index: number, run: ActiveRun): void {
    const stepEntry = this.getOccurrence(occurrence).steps[step]!
    const task = stepEntry.tasks[index]!
    task.active = run
    task.lastRun = run.run
    stepEntry.lastRun = Math.max(stepEntry.lastRun, run.run)
    stepEntry.activeTasks += 1
    this.#activeRuns += 1
    this.#hasBegun = true
  }

  get hasCrashes (): boolean {
    return [...this.#occurrences.values()].some(({ steps }) => steps.some((step) => step.hasCrashes))
  }

  /** Records that the endpoint of a run has crashed, and returns what is to be thought of the task. */
  recordCrash (occurrence: number, step: number, index: number, crash: TaskCrash): Verdict {
    const stepEntry = this.getOccurrence(occurrence).steps[step]!
    const task = stepEntry.tasks[index]!
    task.crashes = [...task.crashes, crash].slice(-MAX_REMEMBERED_CRASHES)
    stepEntry.hasCrashes = true
    return judge(task.crashes)
  }

  /** Fails the job because endpoints crash under the task. */
  giveUp (task: TaskId, atMs: number): void {
    this.#crashedTask = task
    this.#end('failed', atMs)
  }

  /**
   * Takes over the policy of the queue, but for the number of attempts if `attemptsAtMs` is null. A task that waits and
   * has used up a lower number fails the job; one that runs may still succeed.
   */
  followQueue (queue: QueueConfig, attemptsAtMs: number | null): void {
    const before = this.#policy
    const policy = toPolicy(queue, attemptsAtMs === null ? before.maxAttempts : queue.maxAttempts)
    if (isSamePolicy(policy, before)) return
    this.#policy = policy
    if (attemptsAtMs === null || policy.maxAttempts === before.maxAttempts) return
    if (this.isActive && this.#hasWaitingTaskWithoutAttempts()) this.#end('failed', attemptsAtMs)
  }

  #hasWaitingTaskWithoutAttempts (): boolean {
    const { steps } = this.spec
    return [...this.#occurrences.values()].some((occurrence) => occurrence.steps.some((entry, step) => {
      const { gang, longRunning } = steps[step]!
      if (longRunning) return false
      if (gang) return entry.activeTasks === 0 && entry.doneTasks < entry.tasks.length && this.#hasNoAttemptLeft(entry)
      return entry.tasks.some((task) => task.active === null && !task.isDone && this.#hasNoAttemptLeft(task))
    }))
  }

  #hasNoAttemptLeft ({ failedRuns }: Pick<TaskEntry | StepEntry, 'failedRuns'>): boolean {
    return failedRuns.length >= this.#policy.maxAttempts
  }

  cancel (atMs: number): void {
    if (this.isActive) this.#end('cancelled', atMs)
  }

  /** Records the end of a run. Returns the run if it was active on the reporting endpoint, else null. */
  endRun (endpoint: EndpointIncarnation, occurrence: number, step: number, index: number, end: RunEnd, atMs: number): ActiveRun | null {
    const task = this.findTask(occurrence, step, index)
    if (!task) return null
    const stepEntry = this.getOccurrence(occurrence).steps[step]!
    const ended = task.active?.run === end.run && task.active.endpoint === endpoint ? task.active : null
    if (ended) {
      task.active = null
      if (end.outcome !== 'lost' && hasPassedProbation(task, ended, atMs)) task.crashes = NO_CRASHES
      stepEntry.activeTasks -= 1
      this.#activeRuns -= 1
    }
    if (this.isActive && !task.isDone) {
      // A late result of a run that was already counted as ended is valid, too: the task has been done once.
      if (end.outcome === 'done') this.#finishTask(stepEntry, step, task, atMs)
      else this.#failTask(stepEntry, step, task, end, atMs)
    }
    this.#dropUnusedState()
    return ended
  }

  #finishTask (stepEntry: StepEntry, step: number, task: TaskEntry, atMs: number): void {
    const spec = this.spec.steps[step]!
    if (spec.longRunning) return
    // The members of a gang end together, so one report completes all of them.
    const finished = spec.gang ? stepEntry.tasks.filter(({ isDone }) => !isDone) : [task]
    for (const entry of finished) entry.isDone = true
    stepEntry.doneTasks += finished.length
    this.#doneTasks += finished.length
    const total = this.occurrenceCount * this.spec.steps.reduce((sum, { count }) => sum + count, 0)
    if (this.#doneTasks === total) this.#end('completed', atMs)
  }

  #failTask (stepEntry: StepEntry, step: number, task: TaskEntry, end: RunEnd, atMs: number): void {
    const { gang, longRunning } = this.spec.steps[step]!
    if (end.checkpoint !== '') {
      if (gang) stepEntry.checkpoint = end.checkpoint
      else task.checkpoint = end.checkpoint
    }
    if (longRunning) return
    const attempts = gang ? stepEntry : task
    if (end.outcome === 'failed' && !attempts.failedRuns.includes(end.run)) attempts.failedRuns.push(end.run)
    // The limit may have been lowered during a run that ended without a failure.
    if (this.#hasNoAttemptLeft(attempts)) this.#end('failed', atMs)
  }

  #end (state: JobState, atMs: number): void {
    this.#state = state
    this.#endedAtMs = atMs
    this.#dropUnusedState()
  }

  /** Drops the state of a job that has ended, or of its first occurrences that are done, once no run is active there. */
  #dropUnusedState (): void {
    if (!this.isActive) {
      if (this.#activeRuns === 0) this.#occurrences.clear()
      return
    }
    for (let entry = this.#occurrences.get(this.#closedOccurrences); entry && isClosable(entry); entry = this.#occurrences.get(this.#closedOccurrences)) {
      this.#occurrences.delete(this.#closedOccurrences)
      this.#closedOccurrences += 1
    }
  }
}
