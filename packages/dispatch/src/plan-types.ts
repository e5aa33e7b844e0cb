import type { CustomerId, TaskId } from '@ibisstair/common'
import type { ActiveRun, EndpointIncarnation, EndpointRecord, JobEntry, Resources, SchedulingState, StartGroup, StepSpec } from '@ibisstair/jobs'
import type { Candidate, CountOnEndpoint } from './placement.ts'
import type { PassSpeeds } from './pass-speeds.ts'
import type { ReadyWork } from './ready-work.ts'
import type { WaitingSurvey } from './waiting-types.ts'

/** State of the endpoints that is not in the replicated state. */
export interface FleetView {
  /** Whether the endpoint may be given new work. */
  isUsable (endpoint: EndpointRecord): boolean
  /** Whether the endpoint gets no new work only because runs failed there or it refused a start. */
  isSuspect (endpoint: EndpointRecord): boolean
  /** Whether the endpoint has answered a call of this leader. */
  hasAnswered (endpoint: EndpointRecord): boolean
  /** Whether the endpoint has answered so short ago that a start there is committed; otherwise it is called first. */
  hasAnsweredOfLate (life: EndpointIncarnation): boolean
  /** Endpoints with a higher penalty are used later. */
  getPenalty (endpoint: EndpointRecord): number
  /** Whether the endpoint has confirmed to this leader that it runs the task. */
  isConfirmed (run: ActiveRun): boolean
  /** Returns the estimated time until a run ends by itself; null when its progress is not known. */
  estimateRemainingMs (run: ActiveRun): number | null
  /** Returns the speed relative to the median of the service; 1 while it is not known well enough. */
  getSpeed (endpoint: EndpointRecord): number
  /** Whether the speed is known well enough; `getSpeed` is 1 for an endpoint of usual speed, too. */
  isSpeedKnown (endpoint: EndpointRecord): boolean
  /** Whether the endpoint still runs slowly because it started a short time ago. */
  isCold (endpoint: EndpointRecord): boolean
}

/** What is known of work from its runs so far. Everything that needs the run time of work asks for it here. */
export interface WorkHistory {
  /** Returns the time in which half of such tasks end on an endpoint of speed 1. */
  estimateRunMs (job: JobEntry, step: StepSpec): number
  /** Returns the time in which nine of ten such tasks end on an endpoint of speed 1. */
  estimateLongRunMs (job: JobEntry, step: StepSpec): number
  /** Returns those tasks of the work that are unlikely to succeed on any endpoint; all of them for such a gang. */
  listHopeless (work: ReadyWork): readonly number[]
}

/** Nothing is known: submitted estimates count, and every task may succeed. */
export const NO_WORK_HISTORY: WorkHistory = {
  estimateRunMs: (_job, { estimateMs }) => estimateMs,
  estimateLongRunMs: (_job, { estimateMs }) => estimateMs,
  listHopeless: () => []
}

/** Scheduling rules that the settings of a deployment turn on. */
export interface SchedulingPolicy {
  /** Order waiting work of one priority by the shares of the customers. */
  readonly fairShares: boolean
  /** Limit how often runs are stopped for work beyond a guarantee, and what is lost by it. */
  readonly limitPreemption: boolean
  /** Reject at once what can't begin in time. */
  readonly admission: boolean
}

export const NO_SCHEDULING_POLICY: SchedulingPolicy = { fairShares: false, limitPreemption: false, admission: false }

export interface PlanInput {
  readonly state: SchedulingState
  readonly fleet: FleetView
  readonly nowMs: number
  readonly wallMs: number
  /** False while it is not known which of the active runs have ended, so that no run is stopped in vain. */
  readonly mayPreempt: boolean
  /** Every rule is off by default. */
  readonly policy?: SchedulingPolicy
  /** By default nothing is known of work but what was submitted. */
  readonly history?: WorkHistory
}

export interface Plan {
  readonly starts: readonly StartGroup[]
  /** Runs to stop so that more urgent work fits. */
  readonly preempted: readonly TaskId[]
  /** How much waiting work found no victims only because stops are limited. */
  readonly limited: number
  /** Work that is lost with the preempted runs, in core milliseconds. */
  readonly lostCoreMs: number
  /** Tells what work waits for; null between two examinations. To be called before the starts are applied. */
  readonly examineWaiting: () => WaitingSurvey | null
}

/**
 * How much of a service's capacity is free:
 * `idle`: less than half of the accelerators of usable endpoints are in use, or of their cores if there are no accelerators;
 * `partly`: the same holds for another measure, or if the endpoints count that get no new work at present;
 * `busy`: neither.
 */
export type Idleness = 'idle' | 'partly' | 'busy'

/** What the decisions of a planning pass read of it. Free capacity of candidates shrinks while the pass places work. */
export interface PassView {
  readonly state: SchedulingState
  readonly fleet: FleetView
  readonly nowMs: number
  readonly wallMs: number
  readonly mayPreempt: boolean
  readonly policy: SchedulingPolicy
  readonly history: WorkHistory
  /** Endpoints that may get new work. */
  readonly candidates: readonly Candidate[]
  readonly speeds: PassSpeeds
  /** Accelerators that the urgent jobs of each customer need. */
  readonly needs: ReadonlyMap<CustomerId | null, number>
  /** The endpoints of the service that runs the job. */
  listServiceCandidates (work: ReadyWork): readonly Candidate[]
  /** Those of them that may run the work: not the ones that are kept for a suspect of another job. */
  listCandidates (work: ReadyWork): readonly Candidate[]
  /** The endpoints of the service that get no new work only because they are suspect. */
  listSuspects (work: ReadyWork): readonly Candidate[]
  isIdleWithSuspects (work: ReadyWork): boolean
  getIdleness (work: ReadyWork): Idleness
  /** Returns the free capacity of the service's endpoints when this is first asked in a pass. */
  getFree (work: ReadyWork): Resources
  createCounter (work: ReadyWork): CountOnEndpoint
}
