import type { Job } from './entities.ts'

const BUCKET_MS = 100

/** Queued jobs by the time of their deadline; adding and removing cost the same at any queue length. */
export class Deadlines {
  readonly #buckets = new Map<number, Set<Job>>()
  readonly #bucketOf = new Map<Job, number>()
  #cursor = 0

  add (job: Job, atMs: number): void {
    const bucket = Math.max(this.#cursor + 1, Math.ceil(atMs / BUCKET_MS))
    const members = this.#buckets.get(bucket)
    if (members) members.add(job)
    else this.#buckets.set(bucket, new Set([job]))
    this.#bucketOf.set(job, bucket)
  }

  remove (job: Job): void {
    const bucket = this.#bucketOf.get(job)
    if (bucket === undefined) return
    this.#bucketOf.delete(job)
    const members = this.#buckets.get(bucket)
    members?.delete(job)
    if (members?.size === 0) this.#buckets.delete(bucket)
  }

  takeExpired (nowMs: number): Job[] {
    const lastBucket = Math.floor(nowMs / BUCKET_MS)
    const expired: Job[] = []
    if (lastBucket - this.#cursor > this.#buckets.size) {
      for (const [bucket, members] of this.#buckets) if (bucket <= lastBucket) expired.push(...members)
    } else {
      for (let bucket = this.#cursor + 1; bucket <= lastBucket; bucket++) expired.push(...this.#buckets.get(bucket) ?? [])
    }
    this.#cursor = Math.max(this.#cursor, lastBucket)
    for (const job of expired) this.remove(job)
    return expired
  }
}
