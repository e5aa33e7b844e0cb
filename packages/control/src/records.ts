import { IbisError, type ErrorBody, type JobId } from '@ibisstair/common'
import type { GangSpec } from '@ibisstair/gang'
import { toMetadata, type JobOutcome, type JobRequest } from '@ibisstair/model'
import type { JobCommand, JobRegister, JobResult } from '@ibisstair/registers'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import { RECORD_RETRY_DELAY_MS } from './constants.ts'
import { toErrorBody, type JobEntry } from './jobs.ts'

export interface JobRecorderOptions {
  readonly register: JobRegister
  /** Null in degraded mode: without a quorum no non-idempotent work is started. */
  readonly propose: ((command: JobCommand) => Promise<JobResult>) | null
  readonly timers: TimerService
  readonly metrics: Metrics
  readonly logger: Logger
}

export type StartRecording =
  | { readonly state: 'recorded' }
  /** The register already holds another job that was started under the same key. */
  | { readonly state: 'started-elsewhere' }
  | { readonly state: 'refused', readonly error: ErrorBody }

/** Writes the starts and outcomes of non-idempotent jobs to the domain's replicated job register. */
export class JobRecorder {
  readonly #options: JobRecorderOptions
  #isClosed = false

  constructor (options: JobRecorderOptions) {
    this.#options = options
  }

  /** Stops retries. The next leader resolves the records that have no outcome. */
  close (): void {
    this.#isClosed = true
  }

  get canRecord (): boolean {
    return this.#options.propose !== null
  }

  /** Never rejects. After a refusal the gang must not start, because the caller is told "not run". */
  async recordStart ({ jobId, attempt, assignments, request }: GangSpec, fingerprint: string | null): Promise<StartRecording> {
    const { propose, timers } = this.#options
    if (!propose || fingerprint === null) return { state: 'refused', error: toErrorBody('no-quorum', 'the start cannot be recorded without a quorum') }
    try {
      const { customer, key } = request
      const result = await propose({
        type: 'record-start', customer, key, jobId, attempt, fingerprint, metadata: toMetadata(request), assignments, atMs: timers.wallClock()
      })
      if (result.status === 'refused') return { state: 'refused', error: result.error }
      return { state: result.status === 'exists' ? 'started-elsewhere' : 'recorded' }
    } catch (err) {
      const { kind, message } = IbisError.from(err)
      const reported = kind === 'disk-full' || kind === 'body-too-large' ? kind : 'no-quorum'
      return { state: 'refused', error: toErrorBody(reported, `the start was not recorded: ${message}`) }
    }
  }

  /** Whether the register holds the start of this attempt without an outcome. */
  hasOpenRecord (jobId: JobId, { idempotent, customer, key }: JobRequest, attempt: number): boolean {
    if (idempotent) return false
    const record = this.#options.register.get(customer, key)
    return record !== undefined && record.jobId === jobId && record.attempt === attempt && !record.outcome
  }

  /** Retries until the outcome is committed or refused, or until `close` is called. */
  async recordOutcome (entry: JobEntry, attempt: number, outcome: JobOutcome): Promise<void> {
    const { propose, timers, metrics, logger } = this.#options
    const { customer, key } = entry.request
    if (!propose) return
    while (!this.#isClosed) {
      try {
        const result = await propose({ type: 'record-outcome', customer, key, jobId: entry.jobId, attempt, outcome, atMs: timers.wallClock() })
        if (result.status === 'refused') logger.error('the job register refused the outcome of a job', { jobId: entry.jobId, kind: result.error.kind, detail: result.error.detail })
        return
      } catch {
        metrics.increment('records.outcome-retries')
        await timers.delay(RECORD_RETRY_DELAY_MS)
      }
    }
  }

  /** Records that the caller received the outcome, so that the register may release its answers to free space. */
  acknowledge (entry: JobEntry): void {
    const { propose, timers } = this.#options
    if (!propose || entry.isAcknowledged) return
    entry.isAcknowledged = true
    const { customer, key } = entry.request
    propose({ type: 'acknowledge', customer, key, jobId: entry.jobId, atMs: timers.wallClock() }).catch(() => {})
  }
}
