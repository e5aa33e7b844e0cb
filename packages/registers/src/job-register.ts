import { assertNever, checkValue, type CustomerId, IbisError, invariant, type RequestKey } from '@ibisstair/common'
import type { StateMachine } from '@ibisstair/consensus'
import type { JobOutcome } from '@ibisstair/model'
import { isDeepStrictEqual } from 'node:util'
import {
  DEFAULT_RETRY_AFTER_MS, MAX_ANSWER_BYTES, MAX_CLOCK_STEP_MS, MAX_JOB_RECORDS, MAX_START_BYTES, OUTCOME_RETENTION_MS
} from './constants.ts'
import { checkAnswers, checkStart, isNotRun, isOutcomeUnknown, measureAnswerBytes, measureStartBytes } from './job-rules.ts'
import type {
  Acknowledge, JobCommand, JobRecord, JobRegisterStats, JobResult, RecordOutcome, RecordStart
} from './job-types.ts'
import { toPlainJson } from './plain.ts'
import { JobCommandSchema, JobSnapshotSchema } from './schemas.ts'

export interface JobRegisterLimits {
  readonly records: number
  readonly retentionMs: number
  readonly startBytes: number
  readonly answerBytes: number
}

const DEFAULT_LIMITS: JobRegisterLimits = {
  records: MAX_JOB_RECORDS,
  retentionMs: OUTCOME_RETENTION_MS,
  startBytes: MAX_START_BYTES,
  answerBytes: MAX_ANSWER_BYTES
}

/** A customer id contains no slash, so the joined id is unique. */
const toRecordId = (command: { readonly customer: CustomerId, readonly key: RequestKey }): string =>
  `${command.customer}/${command.key}`

/**
 * Replicated state machine with the records of the non-idempotent jobs of one failure domain. All
 * replicas must use the same limits. An error in a command is returned as its result, because an
 * exception would stop every replica at the same log entry.
 */
export class JobRegister implements StateMachine<JobCommand, JobResult> {
  readonly #limits: JobRegisterLimits
  /** Records without an outcome; never dropped. */
  #unfinished = new Map<string, JobRecord>()
  /** Records with an outcome, in the order in which the outcomes were recorded. */
  #finished = new Map<string, JobRecord>()
  #startBytes = 0
  #answerBytes = 0
  #clockMs = 0
  #lastAtMs: number | null = null

  constructor (limits: JobRegisterLimits = DEFAULT_LIMITS) {
    this.#limits = limits
  }

  apply (input: JobCommand): JobResult {
    try {
      const command: JobCommand = checkValue(JobCommandSchema, toPlainJson(input, 'job command'), 'job command')
      this.#advanceClock(command.atMs)
      this.#dropExpired()
      const before = this.#size
      const result = this.#apply(command)
      this.#releaseAnswers()
      this.#checkInvariants(before)
      return result
    } catch (err) {
      if (!(err instanceof IbisError)) throw err
      return { status: 'refused', error: err.toBody() }
    }
  }

  get (customer: CustomerId, key: RequestKey): JobRecord | undefined {
    const id = toRecordId({ customer, key })
    return this.#unfinished.get(id) ?? this.#finished.get(id)
  }

  /** Returns the records that a new leader has to resolve. */
  listWithoutOutcome (): readonly JobRecord[] {
    return [...this.#unfinished.values()]
  }

  getStats (): JobRegisterStats {
    return {
      records: this.#size,
      withoutOutcome: this.#unfinished.size,
      startBytes: this.#startBytes,
      answerBytes: this.#answerBytes,
      clockMs: this.#clockMs
    }
  }

  toSnapshot (): unknown {
    return {
      clockMs: this.#clockMs,
      lastAtMs: this.#lastAtMs,
      records: [...this.#unfinished.values(), ...this.#finished.values()]
    }
  }

  restore (snapshot: unknown): void {
    const state = checkValue(JobSnapshotSchema, snapshot, 'job snapshot')
    this.#clockMs = state.clockMs
    this.#lastAtMs = state.lastAtMs
    this.#unfinished = new Map()
    this.#finished = new Map()
    for (const record of state.records) (record.outcome ? this.#finished : this.#unfinished).set(toRecordId(record), record)
    this.#startBytes = state.records.reduce((sum, record) => sum + record.startBytes, 0)
    this.#answerBytes = state.records.reduce((sum, record) => sum + record.answerBytes, 0)
  }

  get #size (): number {
    return this.#unfinished.size + this.#finished.size
  }

  #apply (command: JobCommand): JobResult {
    switch (command.type) {
      case 'record-start': return this.#recordStart(command)
      case 'record-outcome': return this.#recordOutcome(command)
      case 'acknowledge': return this.#acknowledge(command)
      default: return assertNever(command)
    }
  }

  #recordStart (command: RecordStart): JobResult {
    checkStart(command)
    const known = this.get(command.customer, command.key)
    if (!known) {
      this.#checkCapacity(command)
      return this.#addStart(command)
    }
    if (known.fingerprint !== command.fingerprint) {
      throw new IbisError('key-conflict', `key ${command.key} of customer ${command.customer} belongs to a different request, recorded as job ${known.jobId}`)
    }
    if (!isNotRun(known.outcome)) return { status: 'exists', record: known }
    const isDelayedResend = known.jobId === command.jobId && command.attempt <= known.attempt
    if (isDelayedResend) return { status: 'exists', record: known }
    return this.#addStart(command)
  }

  #addStart (command: RecordStart): JobResult {
    const id = toRecordId(command)
    const previous = this.#finished.get(id)
    invariant(!this.#unfinished.has(id), 'a key has at most one start without outcome', { command })
    invariant(!previous || isNotRun(previous.outcome), 'a second start needs the outcome "not run"', { command, previous })
    const { type, atMs, ...start } = command
    const startBytes = measureStartBytes(command)
    const record: JobRecord = { ...start, startedAtMs: this.#clockMs, acknowledged: false, startBytes, answerBytes: 0 }
    this.#finished.delete(id)
    this.#startBytes += startBytes - (previous?.startBytes ?? 0)
    this.#unfinished.set(id, record)
    return { status: 'recorded', record }
  }

  #recordOutcome (command: RecordOutcome): JobResult {
    const known = this.#find(command)
    if (known.jobId !== command.jobId || known.attempt !== command.attempt) return { status: 'exists', record: known }
    if (isDeepStrictEqual(known.outcome, command.outcome)) return { status: 'recorded', record: known }
    const resolvesUnknown = isOutcomeUnknown(known.outcome) && !isOutcomeUnknown(command.outcome) && !isNotRun(command.outcome)
    if (known.outcome && !resolvesUnknown) return { status: 'exists', record: known }
    checkAnswers(known, command.outcome)
    return this.#finish(known, command.outcome)
  }

  #finish (known: JobRecord, outcome: JobOutcome): JobResult {
    const id = toRecordId(known)
    invariant(!known.outcome || isOutcomeUnknown(known.outcome), 'a recorded outcome changes only from "unknown"', { known, outcome })
    const answerBytes = measureAnswerBytes(outcome)
    const record: JobRecord = { ...known, outcome, finishedAtMs: this.#clockMs, acknowledged: false, answerBytes }
    this.#unfinished.delete(id)
    this.#finished.delete(id)
    this.#finished.set(id, record)
    this.#answerBytes += answerBytes - known.answerBytes
    return { status: 'recorded', record }
  }

  #acknowledge (command: Acknowledge): JobResult {
    const known = this.#find(command)
    if (known.jobId !== command.jobId) return { status: 'exists', record: known }
    if (!known.outcome) throw new IbisError('invalid-request', `job ${known.jobId} has no outcome to acknowledge`)
    const record: JobRecord = { ...known, acknowledged: true }
    this.#finished.set(toRecordId(known), record)
    return { status: 'recorded', record }
  }

  #find (command: RecordOutcome | Acknowledge): JobRecord {
    const known = this.get(command.customer, command.key)
    if (known) return known
    throw new IbisError('not-found', `key ${command.key} of customer ${command.customer} has no start record`)
  }

  /**
   * A customer may hold at most as much as is still free. This leaves capacity for
   * the others during a flood without a fixed quota: one flooding customer gets half, two get a third each.
   */
  #checkCapacity (command: RecordStart): void {
    const held = this.#measureCustomer(command.customer)
    const check = (unit: string, heldByCustomer: number, added: number, used: number, limit: number): void => {
      const free = Math.max(0, limit - used)
      if (added > 0 ? heldByCustomer + added <= free : heldByCustomer < free) return
      throw new IbisError('overloaded', `customer ${command.customer} holds ${heldByCustomer} ${unit}, and ${free} of ${limit} are free; a customer may hold at most as much as is free; capacity returns when outcomes expire`, {
        retryAfterMs: this.#getNextExpiryDelayMs(),
        info: { held: heldByCustomer, free, limit }
      })
    }
    check('records', held.records, 1, this.#size, this.#limits.records)
    check('bytes of start records', held.startBytes, measureStartBytes(command), this.#startBytes, this.#limits.startBytes)
    check('bytes of answers', held.answerBytes, 0, this.#answerBytes, this.#limits.answerBytes)
  }

  #measureCustomer (customer: CustomerId): Pick<JobRegisterStats, 'records' | 'startBytes' | 'answerBytes'> {
    const held = { records: 0, startBytes: 0, answerBytes: 0 }
    for (const records of [this.#unfinished, this.#finished]) {
      for (const record of records.values()) {
        if (record.customer !== customer) continue
        held.records += 1
        held.startBytes += record.startBytes
        held.answerBytes += record.answerBytes
      }
    }
    return held
  }

  #getNextExpiryDelayMs (): number {
    const oldest = this.#finished.values().next().value
    if (oldest?.finishedAtMs === undefined) return DEFAULT_RETRY_AFTER_MS
    return Math.max(DEFAULT_RETRY_AFTER_MS, oldest.finishedAtMs + this.#limits.retentionMs - this.#clockMs)
  }

  /** Adds the time since the previous command, limited so that leaders with different clocks cause no large jump. */
  #advanceClock (atMs: number): void {
    const elapsedMs = this.#lastAtMs === null ? 0 : atMs - this.#lastAtMs
    this.#clockMs += Math.min(Math.max(elapsedMs, 0), MAX_CLOCK_STEP_MS)
    this.#lastAtMs = atMs
  }

  #dropExpired (): void {
    for (const [id, record] of this.#finished) {
      invariant(record.outcome && record.finishedAtMs !== undefined, 'only records with an outcome expire', record)
      if (this.#clockMs - record.finishedAtMs < this.#limits.retentionMs) return
      this.#finished.delete(id)
      this.#startBytes -= record.startBytes
      this.#answerBytes -= record.answerBytes
    }
  }

  /** Releases acknowledged answers, oldest first, while all answers take half of their limit or more. The records stay. */
  #releaseAnswers (): void {
    const kept = this.#limits.answerBytes / 2
    if (this.#answerBytes < kept) return
    for (const [id, record] of this.#finished) {
      if (!record.acknowledged || record.outcome?.state !== 'done') continue
      this.#finished.set(id, { ...record, outcome: { state: 'released' }, answerBytes: 0 })
      this.#answerBytes -= record.answerBytes
      if (this.#answerBytes < kept) return
    }
  }

  #checkInvariants (before: number): void {
    invariant(
      this.#size <= Math.max(before, this.#limits.records),
      'the register keeps its limit of records',
      this.getStats()
    )
    invariant(this.#startBytes >= 0 && this.#answerBytes >= 0, 'the byte counts are never negative', this.getStats())
  }
}
