import type { TaskId } from '@ibisstair/common'
import type { RunEnd } from '@ibisstair/jobs'
import { RunProgress } from './run-progress.ts'
import { RunRate } from './run-rate.ts'

/**
 * State of a run on the endpoint as far as this leader knows it:
 * `inherited` was ordered by an earlier leader, `starting` awaits the answer to its order, `unconfirmed` got no answer,
 * `present` was confirmed by the endpoint, `stopping` is being stopped, `not-started` was not ordered or was refused, so
 * that only the commit of its end is awaited.
 */
export type RunPhase = 'inherited' | 'starting' | 'unconfirmed' | 'present' | 'stopping' | 'not-started'

/** A run on an endpoint, during the term of one leader. */
export interface TrackedRun {
  readonly task: TaskId
  readonly run: number
  phase: RunPhase
  /** Start of the phase. A report that was requested earlier says nothing about this phase. */
  sinceMs: number
  /** When the endpoint confirmed the start; null if it did so late, or if its answers may be late since, and once it was taken. */
  confirmedAtMs: number | null
  isStopAcked: boolean
  /** Whether the endpoint has answered the order or has listed the run. */
  isConfirmed: boolean
  /** Whether a report has listed the run; an answer to an order does not tell which incarnation gave it. */
  isReported: boolean
  /** Whether the commit of its end is in progress, which no report lists. */
  isEnding: boolean
  readonly progress: RunProgress
  readonly rate: RunRate
}

/** A run that an endpoint neither runs nor lists as ended, and how it counts. */
export interface AbsentRun {
  readonly tracked: TrackedRun
  readonly outcome: 'lost' | 'not-started'
}

export const createTrackedRun = (task: TaskId, run: number, phase: RunPhase, sinceMs: number): TrackedRun =>
  ({ task, run, phase, sinceMs, confirmedAtMs: null, isStopAcked: false, isConfirmed: false, isReported: false, isEnding: false, progress: new RunProgress(), rate: new RunRate() })

/** Whether the run may be active on the endpoint for all that the leader can find out without a call. */
export const mayBeActive = ({ phase }: TrackedRun): boolean => phase !== 'starting' && phase !== 'not-started'

export const toEnd = ({ task, run }: TrackedRun, outcome: AbsentRun['outcome']): RunEnd => ({ task, run, outcome, checkpoint: '' })
