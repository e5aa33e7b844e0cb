import { ERROR_TABLE, IbisError, invariant, type CustomerId, type ErrorBody, type JobId, type RequestKey } from '@ibisstair/common'
import type { JobOutcome, JobRequest, JobState, JobStatus } from '@ibisstair/model'
import type { TimerService } from '@ibisstair/timers'
import { MAX_ACTIVE_JOBS, MAX_FINISHED_BYTES, MAX_FINISHED_JOBS, MAX_WAITERS_PER_JOB } from './constants.ts'

/** One request in the failure domain, from its arrival until its outcome is evicted from memory. */
export class JobEntry {
  state: JobState = 'queued'
  outcome: JobOutcome | null = null
  startedAfterMs: number | null = null
  /** True once a task of any attempt may have run; from then on no error may claim "not run". */
  everStarted = false
  /** Error of the last failed attempt. It tells the caller more than the scheduler's refusal. */
  lastError: ErrorBody | null = null
  outcomeBytes = 0
  isAcknowledged = false
  isDiscarded = false
  /** The register already holds another job that was started under the same key. */
  isStartedElsewhere = false
  readonly waiters = new Set<() => void>()

  constructor (
    readonly jobId: JobId,
    readonly request: JobRequest,
    /** Null for adopted jobs, whose payload this process does not have. */
    readonly fingerprint: string | null,
    readonly arrivedMs: number
  ) {}

  /** Started by a previous leader. This process does not have the payload and cannot start the job again. */
  get isAdopted (): boolean {
    return this.fingerprint === null
  }

  get isFinished (): boolean {
    return this.outcome !== null
  }

  getStatus (): JobStatus {
    return {
      jobId: this.jobId,
      key: this.request.key,
      customer: this.request.customer,
      state: this.state,
      ...(this.startedAfterMs !== null && { startedAfterMs: this.startedAfterMs }),
      ...(this.outcome && { outcome: this.outcome })
    }
  }
}

export const toKeyText = (customer: CustomerId, key: RequestKey): string => `${customer}/${key}`

/** The jobs of one session, by id and by key. Active jobs, finished jobs and waiters are bounded. */
export class JobTable {
  readonly #timers: TimerService
  readonly #byId = new Map<JobId, JobEntry>()
  readonly #byKey = new Map<string, JobEntry>()
  /** Finished jobs, oldest first. */
  readonly #finished = new Set<JobEntry>()
  #finishedBytes = 0
  #activeCount = 0

  constructor (timers: TimerService) {
    this.#timers = timers
  }

  get activeCount (): number {
    return this.#activeCount
  }

  get finishedCount (): number {
    return this.#finished.size
  }

  get (jobId: JobId): JobEntry | undefined {
    return this.#byId.get(jobId)
  }

  find (customer: CustomerId, key: RequestKey): JobEntry | undefined {
    return this.#byKey.get(toKeyText(customer, key))
  }

  /** Throws `overloaded` when the bound on active jobs is reached. */
  add (entry: JobEntry): void {
    if (this.#activeCount >= MAX_ACTIVE_JOBS) {
      throw new IbisError('overloaded', `${this.#activeCount} jobs are queued or running in this failure domain, the limit is ${MAX_ACTIVE_JOBS}`, { retryAfterMs: 1_000 })
    }
    const id = toKeyText(entry.request.customer, entry.request.key)
    const previous = this.#byKey.get(id)
    invariant(!previous || previous.isFinished, 'a key has at most one active job', { jobId: entry.jobId, previous: previous?.jobId })
    if (previous) this.#evict(previous)
    this.#byId.set(entry.jobId, entry)
    this.#byKey.set(id, entry)
    this.#activeCount += 1
  }

  finish (entry: JobEntry, outcome: JobOutcome): void {
    invariant(!entry.isFinished, 'a job gets only one outcome', { jobId: entry.jobId })
    entry.outcome = outcome
    entry.state = outcome.state
    entry.outcomeBytes = Buffer.byteLength(JSON.stringify(outcome))
    this.#activeCount -= 1
    this.#finished.add(entry)
    this.#finishedBytes += entry.outcomeBytes
    for (const wake of [...entry.waiters]) wake()
    this.#evictFinished()
  }

  /** Removes an active job without an outcome and wakes its waiters. */
  discard (entry: JobEntry): void {
    invariant(!entry.isFinished, 'only an active job is discarded', { jobId: entry.jobId })
    entry.isDiscarded = true
    this.#activeCount -= 1
    this.#byId.delete(entry.jobId)
    this.#byKey.delete(toKeyText(entry.request.customer, entry.request.key))
    for (const wake of [...entry.waiters]) wake()
  }

  /** Resolves once the job has an outcome, after `waitMs`, or when its waiters are woken. Throws `overloaded` at the limit of waiters. */
  wait (entry: JobEntry, waitMs: number): Promise<void> {
    if (entry.isFinished || waitMs <= 0) return Promise.resolve()
    if (entry.waiters.size >= MAX_WAITERS_PER_JOB) {
      throw new IbisError('overloaded', `${entry.waiters.size} calls are already waiting for job ${entry.jobId}`, { execution: 'unknown' })
    }
    return new Promise((resolve) => {
      const done = (): void => {
        stop()
        entry.waiters.delete(done)
        resolve()
      }
      const stop = this.#timers.subscribe(waitMs, done)
      entry.waiters.add(done)
    })
  }

  /** Wakes every waiter, so that it notices the change of leader. */
  wakeAll (): void {
    for (const entry of this.#byId.values()) {
      for (const wake of [...entry.waiters]) wake()
    }
  }

  #evictFinished (): void {
    for (const entry of this.#finished) {
      if (this.#finished.size <= MAX_FINISHED_JOBS && this.#finishedBytes <= MAX_FINISHED_BYTES) return
      this.#evict(entry)
    }
  }

  #evict (entry: JobEntry): void {
    this.#finished.delete(entry)
    this.#finishedBytes -= entry.outcomeBytes
    this.#byId.delete(entry.jobId)
    const id = toKeyText(entry.request.customer, entry.request.key)
    if (this.#byKey.get(id) === entry) this.#byKey.delete(id)
  }
}

/** Converts an error to an outcome. With `everStarted`, "not run" becomes "ran". */
export const toFailure = (err: IbisError, everStarted: boolean): JobOutcome => {
  const body = err.toBody()
  const execution = everStarted && body.execution === 'not-run' ? 'ran' : body.execution
  return { state: 'failed', error: { ...body, execution } }
}

export const isNotRun = (outcome: JobOutcome): boolean =>
  outcome.state === 'failed' && outcome.error.execution === 'not-run'

export const toErrorBody = (kind: keyof typeof ERROR_TABLE, detail: string): ErrorBody => new IbisError(kind, detail).toBody()
