import type { CustomerId } from '@ibisstair/common'
import { MAX_DRAIN_DELAY_MS, MIN_RETRY_DELAY_MS, OBJECTIVES_TO_WAIT } from './constants.ts'

/** A job that is neither known nor recorded yet. */
export interface AdmissionRequest {
  /** Null for a public queue. */
  readonly customer: CustomerId | null
  /** 0 is the most urgent. */
  readonly priority: number
  /** Accelerators of its most demanding step. */
  readonly accelerators: number
  /** Time from its acceptance in which it should complete. */
  readonly objectiveMs: number
  /** Accelerators that are guaranteed to the customer's urgent work. */
  readonly guaranteedAccelerators: number
  /** Whether the customer's urgent work stays within the guarantee with this job. */
  readonly isWithinGuarantee: boolean
}

/** Accepted work of one customer and one priority. Work is in accelerator milliseconds. */
export interface CustomerBacklog {
  readonly customer: CustomerId | null
  readonly priority: number
  /** Work that has not run and can still be of use. */
  readonly waitingAcceleratorMs: number
  /** Work that has not run and is too late: other work of its priority goes first. */
  readonly tooLateAcceleratorMs: number
  /** Accelerators of running tasks. */
  readonly usedAccelerators: number
}

export interface ServiceBacklog {
  /** All accelerators of the service, in use or not. */
  readonly accelerators: number
  readonly customers: readonly CustomerBacklog[]
  /** Whether the shares of the customers decide which work of a priority goes first; otherwise its age does. */
  readonly hasFairShares: boolean
}

export type RejectionReason = 'deadline-unreachable' | 'queue-full'

/** What decided about a job. Work is in accelerator milliseconds. */
export interface AdmissionFigures {
  readonly accelerators: number
  /** Three times the objective of the job. */
  readonly limitMs: number
  /** Work that goes before the job: what is more urgent, and what is as urgent and can still be of use. */
  readonly aheadAcceleratorMs: number
  /** Time until the job begins if the whole service works on what goes before it. */
  readonly startMs: number
  /** The customer's own part of such work. */
  readonly ownAcceleratorMs: number
  /** What the customer's fair share completes within the limit. */
  readonly shareAcceleratorMs: number
}

export type AdmissionDecision =
  | { readonly type: 'admit' }
  | { readonly type: 'reject', readonly reason: RejectionReason, readonly retryAfterMs: number, readonly figures: AdmissionFigures }

const ADMIT: AdmissionDecision = { type: 'admit' }

/** Part of the capacity that a customer above its equal share leaves to customers below theirs. */
const HEADROOM = 0.1

/**
 * Decides whether the leader accepts a job. It answers floods of one customer and a backlog that outlasts an outage:
 * work that would only be too late is rejected before it is recorded. It assumes the most favourable course, the whole
 * service working on what goes before the job, so that a job that could begin in time is never rejected.
 */
export const decideAdmission = (request: AdmissionRequest, backlog: ServiceBacklog): AdmissionDecision => {
  const isMeasurable = backlog.accelerators > 0 && request.objectiveMs > 0
  if (!isMeasurable || request.isWithinGuarantee || canMakeRoom(request, backlog)) return ADMIT
  const figures = getFigures(request, backlog)
  const { limitMs, startMs, ownAcceleratorMs, shareAcceleratorMs } = figures
  if (ownAcceleratorMs > shareAcceleratorMs) return reject('queue-full', ownAcceleratorMs * limitMs / shareAcceleratorMs, figures)
  if (startMs <= limitMs) return ADMIT
  return reject('deadline-unreachable', startMs, figures)
}

/** Lengthens the delay by up to a half, so that rejected callers do not return together; `fraction` is uniform in [0, 1). */
export const addJitter = (delayMs: number, fraction: number): number => Math.round(delayMs * (1 + fraction / 2))

/** `drainMs` is the expected time in which the backlog is done. An earlier return would mostly be in vain: others return, too. */
const reject = (reason: RejectionReason, drainMs: number, figures: AdmissionFigures): AdmissionDecision =>
  ({ type: 'reject', reason, retryAfterMs: Math.round(Math.min(MAX_DRAIN_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, drainMs))), figures })

/** Whether an urgent job fits into the free accelerators and those that less urgent runs of other customers occupy, which can be stopped. */
const canMakeRoom = ({ customer, priority, accelerators }: AdmissionRequest, backlog: ServiceBacklog): boolean => {
  if (priority !== 0) return false
  const used = sumUsed(backlog.customers)
  const stoppable = sumUsed(backlog.customers.filter((other) => other.customer !== customer && other.priority > 0))
  const free = Math.max(0, backlog.accelerators - used)
  return stoppable > 0 && free + stoppable >= accelerators
}

const sumUsed = (customers: readonly CustomerBacklog[]): number => customers.reduce((sum, { usedAccelerators }) => sum + usedAccelerators, 0)

const getFigures = (request: AdmissionRequest, backlog: ServiceBacklog): AdmissionFigures => {
  const { accelerators } = backlog
  const limitMs = OBJECTIVES_TO_WAIT * request.objectiveMs
  const demands = sumDemands(request, backlog)
  const own = demands.get(request.customer) ?? NO_DEMAND
  const ownAcceleratorMs = own.moreUrgentAcceleratorMs + own.equallyUrgentAcceleratorMs
  const aheadAcceleratorMs = [...demands.values()].reduce((sum, demand) => sum + getAhead(demand, own, backlog), 0)
  demands.delete(request.customer)
  const others = [...demands.values()].map(({ moreUrgentAcceleratorMs, equallyUrgentAcceleratorMs }) => moreUrgentAcceleratorMs + equallyUrgentAcceleratorMs)
  const guaranteedAcceleratorMs = request.priority === 0 ? request.guaranteedAccelerators * limitMs : 0
  const shareAcceleratorMs = Math.max(guaranteedAcceleratorMs, getFairShare(accelerators * limitMs, others))
  return { accelerators, limitMs, aheadAcceleratorMs, startMs: aheadAcceleratorMs / accelerators, ownAcceleratorMs, shareAcceleratorMs }
}

/** Accepted work of a customer that is more urgent than the job, or as urgent and not too late. */
interface Demand {
  moreUrgentAcceleratorMs: number
  equallyUrgentAcceleratorMs: number
}

const NO_DEMAND: Demand = { moreUrgentAcceleratorMs: 0, equallyUrgentAcceleratorMs: 0 }

/** A customer whose work only runs has a demand of 0: it may submit more. */
const sumDemands = ({ priority }: AdmissionRequest, { customers }: ServiceBacklog): Map<CustomerId | null, Demand> => {
  const demands = new Map<CustomerId | null, Demand>()
  for (const { customer, priority: other, waitingAcceleratorMs, tooLateAcceleratorMs } of customers) {
    const demand = demands.get(customer) ?? { ...NO_DEMAND }
    if (other < priority) demand.moreUrgentAcceleratorMs += waitingAcceleratorMs + tooLateAcceleratorMs
    if (other === priority) demand.equallyUrgentAcceleratorMs += waitingAcceleratorMs
    demands.set(customer, demand)
  }
  return demands
}

/** Returns the work of one customer that goes before the job. With fair shares others get no further ahead than its own customer. */
const getAhead = ({ moreUrgentAcceleratorMs, equallyUrgentAcceleratorMs }: Demand, own: Demand, { hasFairShares }: ServiceBacklog): number =>
  moreUrgentAcceleratorMs + (hasFairShares ? Math.min(equallyUrgentAcceleratorMs, own.equallyUrgentAcceleratorMs) : equallyUrgentAcceleratorMs)

/**
 * Returns what a customer with unlimited demand may use of a total: at least an equal share, and what the others leave of
 * theirs but for some headroom, so that a flood leaves room for the next job of a customer below its share.
 */
const getFairShare = (total: number, otherDemands: readonly number[]): number => {
  if (otherDemands.length === 0) return total
  let remaining = (1 - HEADROOM) * total
  let sharers = otherDemands.length + 1
  for (const demand of [...otherDemands].sort((a, b) => a - b)) {
    if (demand >= remaining / sharers) break
    remaining -= demand
    sharers -= 1
  }
  return Math.max(total / (otherDemands.length + 1), remaining / sharers)
}
