import { IbisError, type ErrorBody } from '@ibisstair/common'
import type { Gang, GangResult } from '@ibisstair/gang'
import type { JobOutcome, JobStatus } from '@ibisstair/model'
import type { JobRecord } from '@ibisstair/registers'
import type { FinishResult, TaskReport } from '@ibisstair/scheduler'
import { match } from 'ts-pattern'
import { toErrorBody } from './jobs.ts'

/** Returns the status of a job from its record in the domain's register. */
export const toRecordStatus = ({ jobId, key, customer, outcome }: JobRecord): JobStatus => {
  const common = { jobId, key, customer }
  if (!outcome) return { ...common, state: 'running' }
  if (outcome.state !== 'released') return { ...common, state: outcome.state, outcome }
  const err = new IbisError('not-found', 'the job ran to completion; its answers were released after they had been delivered', { execution: 'ran' })
  return { ...common, state: 'failed', outcome: { state: 'failed', error: err.toBody() } }
}

/** Whether the scheduler may queue the job again after this result. */
export const mayRunAgain = (result: GangResult, isIdempotent: boolean): boolean =>
  isIdempotent && (result.state === 'failed' || result.state === 'lost' || result.state === 'preempted')

const fail = (error: ErrorBody): JobOutcome => ({ state: 'failed', error })

/** Returns the outcome for the caller, or null when the job runs again or another leader answers. */
export const toOutcome = (result: GangResult, isIdempotent: boolean): JobOutcome | null =>
  match<GangResult, JobOutcome | null>(result)
    .with({ state: 'done' }, ({ answers }) => ({ state: 'done', answers }))
    .with({ state: 'failed' }, { state: 'unknown' }, ({ error }) => fail(error))
    .with({ state: 'cancelled', everStarted: true }, () => fail(toErrorBody('cancelled-running', 'cancelled while it was running')))
    .with({ state: 'cancelled', everStarted: false }, () => fail(toErrorBody('cancelled', 'cancelled before it ran')))
    .with({ state: 'preempted' }, () => fail(toErrorBody('preempted', 'preempted to free a guaranteed shape for its customer')))
    .with({ state: 'lost' }, () => isIdempotent ? null : fail(toErrorBody('outcome-unknown', 'a member of the gang was lost while the job was running')))
    .with({ state: 'deposed' }, () => null)
    .exhaustive()

/** Converts the result of a gang to the result that the scheduler counts. */
export const toFinishResult = (result: GangResult): FinishResult =>
  match<GangResult['state'], FinishResult>(result.state)
    .with('done', () => 'ok')
    .with('lost', 'unknown', 'deposed', () => 'lost')
    .with('failed', 'cancelled', 'preempted', (state) => state)
    .exhaustive()

/** Reports success or failure of each member's endpoint. Empty when the result says nothing about the endpoints. */
export const toTaskReports = (gang: Gang, result: GangResult): TaskReport[] => {
  if (result.state !== 'done' && result.state !== 'failed') return []
  const failedBy = new Set(result.state === 'failed' ? result.failedBy : [])
  const runMs = result.state === 'done' ? result.runMs : 0
  return gang.spec.assignments.map(({ index, endpointId }) => ({ index, endpointId, ok: !failedBy.has(endpointId), runMs }))
}
