import type { JobId } from '@ibisstair/common'
import { EARLY_CANCEL_RETENTION_MS, MAX_EARLY_CANCELS } from './constants.ts'

/**
 * Cancellations of jobs that were not known, oldest first: a submission that was held up on its way may arrive after
 * the caller has cancelled it through another process.
 */
export class EarlyCancels {
  readonly #atMs = new Map<JobId, number>()

  add (job: JobId, nowMs: number): void {
    this.#removeExpired(nowMs)
    this.#atMs.delete(job)
    this.#atMs.set(job, nowMs)
    const [oldest] = this.#atMs.keys()
    if (this.#atMs.size > MAX_EARLY_CANCELS) this.#atMs.delete(oldest!)
  }

  /** Whether the job was cancelled before it arrived. The cancellation is forgotten: from now on the job is known. */
  take (job: JobId, nowMs: number): boolean {
    this.#removeExpired(nowMs)
    return this.#atMs.delete(job)
  }

  toSnapshot (): ReadonlyArray<readonly [JobId, number]> {
    return [...this.#atMs]
  }

  restore (snapshot: ReadonlyArray<readonly [JobId, number]>): void {
    this.#atMs.clear()
    for (const [job, atMs] of snapshot) this.#atMs.set(job, atMs)
  }

  #removeExpired (nowMs: number): void {
    for (const [job, atMs] of this.#atMs) {
      if (nowMs - atMs <= EARLY_CANCEL_RETENTION_MS) return
      this.#atMs.delete(job)
    }
  }
}
