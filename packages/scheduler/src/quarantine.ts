import type { EndpointId } from '@ibisstair/common'
import type { Job } from './entities.ts'

/** Failures of different jobs, without a success between them, that make a worker suspect. */
const SUSPECT_FAILURES = 3
/** A job that fails on this many workers is at fault itself. */
export const JOB_SUSPECT_WORKERS = 3
/** So many suspects within one window point to a fault of the observer rather than of the workers; then none stays quarantined. */
const MASS_SUSPICION_WINDOW_MS = 10_000
const MASS_SUSPICION_FRACTION = 1 / 3
const MIN_MASS_SUSPICION_WORKERS = 3
const FIRST_PROBE_MS = 5000
const MAX_PROBE_MS = 60_000
const PROBES_TO_RELEASE = 2
const MAX_KINDS = 1000
/** Weight of an older outcome in the failure rate of a kind of work. */
const KIND_STATS_DECAY = 0.9

interface WorkerRecord {
  failures: Set<Job>
  quarantinedAtMs: number | undefined
  probeAtMs: number
  probeDelayMs: number
  probing: Job | undefined
  probesPassed: number
}

export interface QuarantineChange {
  readonly quarantined: readonly EndpointId[]
  readonly released: readonly EndpointId[]
  readonly massSuspicion: boolean
}

const NO_CHANGE: QuarantineChange = { quarantined: [], released: [], massSuspicion: false }

/**
 * Quarantines workers that fail work which other workers finish: a worker that fails at once is always free
 * and so attracts the most work. Jobs that fail on several workers are not counted against the workers.
 */
export class QuarantineTracker {
  readonly #records = new Map<EndpointId, WorkerRecord>()
  readonly #kindStats = new Map<string, { ok: number, failed: number, lastOkOn: EndpointId | undefined }>()

  get quarantined (): number {
    let count = 0
    for (const record of this.#records.values()) if (record.quarantinedAtMs !== undefined) count += 1
    return count
  }

  isQuarantined (id: EndpointId): boolean {
    return this.#records.get(id)?.quarantinedAtMs !== undefined
  }

  /** Quarantined workers that may run one task now. */
  listProbeable (nowMs: number): EndpointId[] {
    return [...this.#records].filter(([, record]) => record.quarantinedAtMs !== undefined && !record.probing && nowMs >= record.probeAtMs).map(([id]) => id)
  }

  startProbe (id: EndpointId, job: Job): void {
    const record = this.#records.get(id)
    if (record) record.probing = job
  }

  /** A probe that ended without an outcome, for example by cancellation, is tried again later. */
  endProbe (job: Job, nowMs: number): void {
    for (const record of this.#records.values()) {
      if (record.probing !== job) continue
      record.probing = undefined
      record.probeAtMs = nowMs + record.probeDelayMs
    }
  }

  recordSuccess (id: EndpointId, job: Job): QuarantineChange {
    this.#kindStatsOf(job).ok = this.#kindStatsOf(job).ok * KIND_STATS_DECAY + 1
    this.#kindStatsOf(job).lastOkOn = id
    const record = this.#records.get(id)
    if (!record) return NO_CHANGE
    record.failures.clear()
    if (record.quarantinedAtMs === undefined) {
      this.#records.delete(id)
      return NO_CHANGE
    }
    if (record.probing === job) record.probesPassed += 1
    if (record.probesPassed < PROBES_TO_RELEASE) return NO_CHANGE
    this.#records.delete(id)
    return { ...NO_CHANGE, released: [id] }
  }

  recordFailure (id: EndpointId, job: Job, workers: number, nowMs: number): QuarantineChange {
    const kind = this.#kindStatsOf(job)
    kind.failed = kind.failed * KIND_STATS_DECAY + 1
    const record = this.#records.get(id) ?? { failures: new Set(), quarantinedAtMs: undefined, probeAtMs: 0, probeDelayMs: FIRST_PROBE_MS, probing: undefined, probesPassed: 0 }
    this.#records.set(id, record)
    if (record.quarantinedAtMs !== undefined) {
      // Outcomes of work placed before the quarantine are ignored.
      if (record.probing !== job) return NO_CHANGE
      record.probesPassed = 0
      record.probeDelayMs = Math.min(MAX_PROBE_MS, record.probeDelayMs * 2)
      record.probeAtMs = nowMs + record.probeDelayMs
      return NO_CHANGE
    }
    // A failure counts only if another worker finishes this kind of work.
    if (kind.lastOkOn === undefined || (kind.lastOkOn === id && kind.ok <= 1)) return NO_CHANGE
    record.failures.add(job)
    if (record.failures.size < SUSPECT_FAILURES) return NO_CHANGE
    return this.#quarantine(id, record, workers, nowMs)
  }

  /** Removes the failures of a job that is itself suspect and releases workers quarantined because of them. */
  discardFailuresOf (job: Job): QuarantineChange {
    const released: EndpointId[] = []
    for (const [id, record] of this.#records) {
      if (!record.failures.delete(job) || record.failures.size >= SUSPECT_FAILURES) continue
      if (record.quarantinedAtMs !== undefined && !record.probing && record.probesPassed === 0) released.push(id)
      if (record.failures.size === 0 || record.quarantinedAtMs !== undefined) this.#records.delete(id)
    }
    return { ...NO_CHANGE, released }
  }

  remove (id: EndpointId): void {
    this.#records.delete(id)
  }

  #quarantine (id: EndpointId, record: WorkerRecord, workers: number, nowMs: number): QuarantineChange {
    const recent = [...this.#records].filter(([, other]) => other.quarantinedAtMs !== undefined && nowMs - other.quarantinedAtMs <= MASS_SUSPICION_WINDOW_MS).map(([other]) => other)
    if (recent.length + 1 >= Math.max(MIN_MASS_SUSPICION_WORKERS, workers * MASS_SUSPICION_FRACTION)) {
      for (const other of recent) this.#records.delete(other)
      record.failures.clear()
      return { quarantined: [], released: recent, massSuspicion: true }
    }
    record.quarantinedAtMs = nowMs
    record.probeAtMs = nowMs + record.probeDelayMs
    return { ...NO_CHANGE, quarantined: [id] }
  }

  #kindStatsOf (job: Job): { ok: number, failed: number, lastOkOn: EndpointId | undefined } {
    const key = `${job.metadata.customer}\u0000${job.metadata.kind}`
    const known = this.#kindStats.get(key)
    if (known) return known
    if (this.#kindStats.size >= MAX_KINDS) this.#kindStats.delete(this.#kindStats.keys().next().value!)
    const kind = { ok: 0, failed: 0, lastOkOn: undefined }
    this.#kindStats.set(key, kind)
    return kind
  }
}
