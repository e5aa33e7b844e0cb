import type { EndpointId } from '@ibisstair/common'
import type { Job } from './entities.ts'

/** Failures of different jobs, without a success between them, that make a worker suspect. */
const SUSPECT_FAILURES = 3
/** A job that fails on this many workers is at fault itself. */
export const JOB_SUSPECT_WORKERS = 3
/** Suspects of one window that say more about the observer than about the workers. */
const MASS_WINDOW_MS = 10_000
const MASS_FRACTION = 1 / 3
const MIN_MASS = 3
const FIRST_PROBE_MS = 5000
const MAX_PROBE_MS = 60_000
const PROBES_TO_RELEASE = 2
const MAX_KINDS = 1000
/** Weight of an older outcome in the failure rate of a kind of work. */
const KIND_DECAY = 0.9

interface Record {
  failures: Set<Job>
  quarantinedAtMs: number | undefined
  probeAtMs: number
  probeDelayMs: number
  probing: Job | undefined
  probesPassed: number
}

export interface SuspectChange {
  readonly quarantined: readonly EndpointId[]
  readonly released: readonly EndpointId[]
  readonly massSuspicion: boolean
}

const NO_CHANGE: SuspectChange = { quarantined: [], released: [], massSuspicion: false }

/** Finds workers that fail what others finish, and tells them from jobs that fail everywhere. */
export class Suspects {
  readonly #records = new Map<EndpointId, Record>()
  readonly #kinds = new Map<string, { ok: number, failed: number, lastOkOn: EndpointId | undefined }>()

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

  noteSuccess (id: EndpointId, job: Job): SuspectChange {
    this.#kindOf(job).ok = this.#kindOf(job).ok * KIND_DECAY + 1
    this.#kindOf(job).lastOkOn = id
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

  noteFailure (id: EndpointId, job: Job, workers: number, nowMs: number): SuspectChange {
    const kind = this.#kindOf(job)
    kind.failed = kind.failed * KIND_DECAY + 1
    const record = this.#records.get(id) ?? { failures: new Set(), quarantinedAtMs: undefined, probeAtMs: 0, probeDelayMs: FIRST_PROBE_MS, probing: undefined, probesPassed: 0 }
    this.#records.set(id, record)
    if (record.quarantinedAtMs !== undefined) {
      // Work that was there before the quarantine says nothing new.
      if (record.probing !== job) return NO_CHANGE
      record.probesPassed = 0
      record.probeDelayMs = Math.min(MAX_PROBE_MS, record.probeDelayMs * 2)
      record.probeAtMs = nowMs + record.probeDelayMs
      return NO_CHANGE
    }
    // Blame needs another worker that finishes this kind of work.
    if (kind.lastOkOn === undefined || (kind.lastOkOn === id && kind.ok <= 1)) return NO_CHANGE
    record.failures.add(job)
    if (record.failures.size < SUSPECT_FAILURES) return NO_CHANGE
    return this.#quarantine(id, record, workers, nowMs)
  }

  /** Takes back what a job that fails everywhere was counted for. */
  forgive (job: Job): SuspectChange {
    const released: EndpointId[] = []
    for (const [id, record] of this.#records) {
      if (!record.failures.delete(job) || record.failures.size >= SUSPECT_FAILURES) continue
      if (record.quarantinedAtMs !== undefined && !record.probing && record.probesPassed === 0) released.push(id)
      if (record.failures.size === 0 || record.quarantinedAtMs !== undefined) this.#records.delete(id)
    }
    return { ...NO_CHANGE, released }
  }

  forget (id: EndpointId): void {
    this.#records.delete(id)
  }

  #quarantine (id: EndpointId, record: Record, workers: number, nowMs: number): SuspectChange {
    const recent = [...this.#records].filter(([, other]) => other.quarantinedAtMs !== undefined && nowMs - other.quarantinedAtMs <= MASS_WINDOW_MS).map(([other]) => other)
    if (recent.length + 1 >= Math.max(MIN_MASS, workers * MASS_FRACTION)) {
      for (const other of recent) this.#records.delete(other)
      record.failures.clear()
      return { quarantined: [], released: recent, massSuspicion: true }
    }
    record.quarantinedAtMs = nowMs
    record.probeAtMs = nowMs + record.probeDelayMs
    return { ...NO_CHANGE, quarantined: [id] }
  }

  #kindOf (job: Job): { ok: number, failed: number, lastOkOn: EndpointId | undefined } {
    const key = `${job.meta.customer}\u0000${job.meta.kind}`
    const known = this.#kinds.get(key)
    if (known) return known
    if (this.#kinds.size >= MAX_KINDS) this.#kinds.delete(this.#kinds.keys().next().value!)
    const kind = { ok: 0, failed: 0, lastOkOn: undefined }
    this.#kinds.set(key, kind)
    return kind
  }
}
