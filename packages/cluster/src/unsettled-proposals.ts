import { IbisError, type JobId } from '@ibisstair/common'
import { MAX_UNSETTLED_JOBS } from './constants.ts'

/**
 * Jobs that the leader has proposed and of which it does not know that the proposal was dropped. It answers a submission
 * that is sent again while an earlier one is being committed: the job is not in the state yet, but may be accepted.
 */
export class UnsettledProposals {
  /** Number of such proposals by job. */
  readonly #counts = new Map<JobId, number>()

  has (job: JobId): boolean {
    return this.#counts.has(job)
  }

  /** Proposes a job. A proposal with unknown outcome stays unsettled, as it may be committed later. */
  async run<T> (job: JobId, propose: () => Promise<T>): Promise<T> {
    this.#begin(job)
    try {
      const result = await propose()
      this.#settle(job)
      return result
    } catch (err) {
      if (IbisError.from(err).execution === 'not-run') this.#settle(job)
      throw err
    }
  }

  #begin (job: JobId): void {
    this.#counts.set(job, (this.#counts.get(job) ?? 0) + 1)
    if (this.#counts.size <= MAX_UNSETTLED_JOBS) return
    const [oldest] = this.#counts.keys()
    this.#counts.delete(oldest!)
  }

  #settle (job: JobId): void {
    const remaining = (this.#counts.get(job) ?? 1) - 1
    if (remaining > 0) this.#counts.set(job, remaining)
    else this.#counts.delete(job)
  }
}
