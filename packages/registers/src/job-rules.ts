import { IbisError } from '@ibisstair/common'
import type { JobOutcome } from '@ibisstair/model'
import { MAX_OUTCOME_BYTES } from './constants.ts'
import type { JobRecord, RecordedOutcome, RecordStart } from './job-types.ts'

/** Whether the outcome allows the job to be started again. */
export const isNotRun = (outcome: RecordedOutcome | undefined): boolean =>
  outcome?.state === 'failed' && outcome.error.execution === 'not-run'

export const isOutcomeUnknown = (outcome: RecordedOutcome | undefined): boolean =>
  outcome?.state === 'failed' && outcome.error.execution === 'unknown'

const coversAll = (indexes: readonly number[], tasks: number): boolean =>
  indexes.length === tasks && new Set(indexes).size === tasks && indexes.every((index) => index < tasks)

export const checkStart = ({ customer, key, metadata, assignments }: RecordStart): void => {
  if (metadata.customer !== customer || metadata.key !== key) {
    throw new IbisError('invalid-request', `job command: metadata belongs to ${metadata.customer}/${metadata.key}, accepted is ${customer}/${key}`)
  }
  if (coversAll(assignments.map(({ index }) => index), metadata.shape.tasks)) return
  throw new IbisError('invalid-request', `job command: field assignments: got ${assignments.length}, accepted is one for each of the ${metadata.shape.tasks} tasks`)
}

/** Throws `invalid-request` for a `done` outcome without one answer from each task: a partial result is never a response. */
export const checkAnswers = (record: JobRecord, outcome: JobOutcome): void => {
  if (outcome.state !== 'done') return
  const { tasks } = record.metadata.shape
  if (coversAll(outcome.answers.map(({ index }) => index), tasks)) return
  throw new IbisError('invalid-request', `job command: field outcome.answers: got ${outcome.answers.length}, accepted is one for each of the ${tasks} tasks`)
}

const encodedBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value))

export const measureStartBytes = ({ metadata, assignments }: RecordStart): number =>
  encodedBytes(metadata) + encodedBytes(assignments)

/** Returns the encoded size of the answers. Throws `answer-too-large` when they fit in no message. */
export const measureAnswerBytes = (outcome: JobOutcome): number => {
  if (outcome.state !== 'done') return 0
  const bytes = outcome.answers.reduce((sum, { body }) => sum + encodedBytes(body), 0)
  if (bytes <= MAX_OUTCOME_BYTES) return bytes
  throw new IbisError('answer-too-large', `job command: the answers take ${bytes} bytes, accepted is at most ${MAX_OUTCOME_BYTES}`)
}
