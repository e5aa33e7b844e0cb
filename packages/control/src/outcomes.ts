import { IbisError, type ErrorBody } from '@ibisstair/common'
import type { Gang, GangResult } from '@ibisstair/gang'
import type { JobOutcome, JobStatus } from '@ibisstair/model'
import type { JobRecord } from '@ibisstair/registers'
import type { FinishResult, TaskReport } from '@ibisstair/scheduler'
import { match } from 'ts-pattern'
import { toErrorBody } from './jobs.ts'

/** A request as the domain's record knows it. */
export const toRecordStatus = ({ jobId, key, customer, outcome }: JobRecord): JobStatus => {
  const common = { jobId, key, customer }
  if (!outcome) return { ...common, state: 'running' }
  if (outcome.state !== 'released') return { ...common, state: outcome.state, outcome }
  const err = new IbisError('not-found', 'the work ran to its end; its answer was released after it had been delivered', { execution: 'ran' })
  return { ...common, state: 'failed', outcome: { state: 'failed', error: err.toBody() } }
}

/** Whether the scheduler may queue the job again after this end. */
export const mayRunAgain = (result: GangResult, isIdempotent: boolean): boolean =>
  isIdempotent && (result.state === 'failed' || result.state === 'lost' || result.state === 'preempted')

const fail = (error: ErrorBody): JobOutcome => ({ state: 'failed', error })

/** What the caller is told, or null when the job runs again or another leader answers. */
export const toOutcome = (result: GangResult, isIdempotent: boolean): JobOutcome | null =>
  match<GangResult, JobOutcome | null>(result)
    .with({ state: 'done' }, ({ answers }) => ({ state: 'done', answers }))
    .with({ state: 'failed' }, { state: 'unknown' }, ({ error }) => fail(error))
    .with({ state: 'cancelled', everStarted: true }, () => fail(toErrorBody('cancelled-running', 'cancelled while it ran')))
    .with({ state: 'cancelled', everStarted: false }, () => fail(toErrorBody('cancelled', 'cancelled before it ran')))
    .with({ state: 'preempted' }, () => fail(toErrorBody('preempted', 'stopped to give a guaranteed shape back to its customer')))
    .with({ state: 'lost' }, () => isIdempotent ? null : fail(toErrorBody('outcome-unknown', 'a member was lost')))
    .with({ state: 'deposed' }, () => null)
    .exhaustive()

/** How the scheduler counts this end. */
export const toFinishResult = (result: GangResult): FinishResult =>
  match<GangResult['state'], FinishResult>(result.state)
    .with('done', () => 'ok')
    .with('lost', 'unknown', 'deposed', () => 'lost')
    .with('failed', 'cancelled', 'preempted', (state) => state)
    .exhaustive()

/** Which workers did well; an end that says nothing about them has no reports. */
export const toReports = (gang: Gang, result: GangResult): TaskReport[] => {
  if (result.state !== 'done' && result.state !== 'failed') return []
  const failedBy = new Set(result.state === 'failed' ? result.failedBy : [])
  const runMs = result.state === 'done' ? result.runMs : 0
  return gang.spec.assignments.map(({ index, endpointId }) => ({ index, endpointId, ok: !failedBy.has(endpointId), runMs }))
}
