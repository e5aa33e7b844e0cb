import { asId, type EndpointId, type JobId, type TaskId } from '@ibisstair/common'
import { mustParseTaskId, type EndpointIncarnation, type EndpointRecord } from '@ibisstair/jobs'

/** Failures on this number of healthy endpoints are due to the task: one endpoint may have been disturbed at the time. */
const MIN_FAILED_ENDPOINTS = 2

/** Ends of runs that are remembered of each endpoint. */
const MAX_REMEMBERED_ENDS = 16

/** Runs of other jobs that must have succeeded on an endpoint, so that a failure there says something about the task. */
const MIN_DONE_RUNS = 2

/** An endpoint on which a larger share of the runs of other jobs fails is at fault; 1 in 100 tasks fails on any endpoint. */
const MAX_FAILED_SHARE = 0.25

/** Steps with failed tasks that are remembered; the oldest are forgotten first. */
const MAX_STEPS = 1_024

/** The members of a gang fail together. */
const GANG_INDEX = 0

/** An end that tells whether an endpoint or a task is at fault; all other ends are due to orders or lost connections. */
export interface TellingEnd {
  readonly endpoint: EndpointRecord
  readonly task: TaskId
  readonly run: number
  readonly isDone: boolean
  readonly isGang: boolean
}

interface RememberedEnd {
  readonly task: TaskId
  readonly run: number
  readonly job: JobId
  readonly isDone: boolean
}

interface Failure {
  readonly endpoint: EndpointId
  readonly life: EndpointIncarnation
}

/** Whether runs of other jobs succeed on the endpoint, so that the job's failure there is its own. */
const isHealthyFor = (job: JobId, ends: readonly RememberedEnd[]): boolean => {
  const others = ends.filter((end) => end.job !== job)
  const done = others.filter(({ isDone }) => isDone).length
  return done >= MIN_DONE_RUNS && others.length - done <= MAX_FAILED_SHARE * others.length
}

/**
 * Tells tasks that can't succeed, 1 in 100 on some loads, from endpoints that fail what they run. A task is hopeless if it
 * failed on several endpoints on which other jobs succeed. A run whose answer was lost says nothing, and an endpoint that
 * restarts counts as one endpoint and has to prove itself again.
 */
export class TaskFailures {
  /** Failed runs by step, index and run number: an end may be reported several times. */
  readonly #steps = new Map<string, Map<number, Map<number, Failure>>>()
  readonly #ends = new Map<EndpointIncarnation, RememberedEnd[]>()

  recordEnd ({ endpoint, task, run, isDone, isGang }: TellingEnd): void {
    const { job, index } = mustParseTaskId(task)
    this.#remember(endpoint.life, { task, run, job, isDone })
    if (isDone) this.#forget(toStepKey(task), isGang ? GANG_INDEX : index)
    else this.#addFailure(toStepKey(task), isGang ? GANG_INDEX : index, run, { endpoint: endpoint.id, life: endpoint.life })
  }

  /** Whether a task of the step has failed of late. */
  hasFailures (stepKey: string): boolean {
    return this.#steps.has(stepKey)
  }

  /** Whether the task, or its whole gang, is unlikely to succeed anywhere. */
  isHopeless (job: JobId, stepKey: string, index: number, isGang: boolean): boolean {
    const failures = this.#steps.get(stepKey)?.get(isGang ? GANG_INDEX : index)
    if (!failures || failures.size < MIN_FAILED_ENDPOINTS) return false
    const healthy = [...failures.values()].filter(({ life }) => isHealthyFor(job, this.#ends.get(life) ?? []))
    return new Set(healthy.map(({ endpoint }) => endpoint)).size >= MIN_FAILED_ENDPOINTS
  }

  /** Returns all hopeless tasks; of a gang its first one. */
  listHopeless (): TaskId[] {
    return [...this.#steps].flatMap(([key, indexes]) => [...indexes.keys()]
      .filter((index) => this.isHopeless(toJob(key), key, index, false))
      .map((index) => asId<TaskId>(`${key}.${index}`)))
  }

  /** Forgets the steps of other jobs. */
  retainJobs (isActive: (job: JobId) => boolean): void {
    for (const key of this.#steps.keys()) if (!isActive(toJob(key))) this.#steps.delete(key)
  }

  removeEndpoint (life: EndpointIncarnation): void {
    this.#ends.delete(life)
  }

  #remember (life: EndpointIncarnation, end: RememberedEnd): void {
    const ends = this.#ends.get(life) ?? []
    if (ends.some(({ task, run }) => task === end.task && run === end.run)) return
    this.#ends.set(life, [...ends, end].slice(-MAX_REMEMBERED_ENDS))
  }

  #addFailure (stepKey: string, index: number, run: number, failure: Failure): void {
    const step = this.#steps.get(stepKey) ?? new Map<number, Map<number, Failure>>()
    const runs = step.get(index) ?? new Map<number, Failure>()
    if (!runs.has(run)) runs.set(run, failure)
    step.set(index, runs)
    this.#steps.set(stepKey, step)
    if (this.#steps.size > MAX_STEPS) this.#steps.delete(this.#steps.keys().next().value!)
  }

  #forget (stepKey: string, index: number): void {
    const step = this.#steps.get(stepKey)
    if (!step) return
    step.delete(index)
    if (step.size === 0) this.#steps.delete(stepKey)
  }
}

/** The key that `toWorkKey` returns for the step. */
const toStepKey = (task: TaskId): string => task.slice(0, task.lastIndexOf('.'))

const toJob = (stepKey: string): JobId => asId<JobId>(stepKey.slice(0, stepKey.indexOf('.')))
