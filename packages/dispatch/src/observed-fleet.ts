import type { ActiveRun, EndpointIncarnation, EndpointRecord, SchedulingState } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'
import type { Announcements } from './announcements.ts'
import type { EndpointHealth } from './endpoint-health.ts'
import type { EndpointSession } from './endpoint-session.ts'
import type { OutOfUseReason } from './endpoint-use.ts'
import type { FleetView } from './plan-types.ts'
import type { ReplacedEndpoints } from './replaced-endpoints.ts'
import type { RunSpeeds } from './run-speeds.ts'

export interface ObservedFleetOptions {
  readonly state: SchedulingState
  readonly timers: TimerService
  readonly health: EndpointHealth
  readonly announcements: Announcements
  readonly replaced: ReplacedEndpoints
  readonly speeds: RunSpeeds
  readonly getSession: (life: EndpointIncarnation) => EndpointSession | undefined
  /** Whether the endpoint has said that it leaves. */
  readonly isLeaving: (life: EndpointIncarnation) => boolean
}

/**
 * The fleet as one leader observes it. Answers planning passes over endpoints that crash, leave, fall silent or are in a
 * drained failure domain: it combines what announcements, sessions, failures and learned speeds tell about each endpoint.
 */
export class ObservedFleet implements FleetView {
  readonly #options: ObservedFleetOptions

  constructor (options: ObservedFleetOptions) {
    this.#options = options
  }

  /** Returns why the endpoint gets no new work; null when it may get some. */
  getOutOfUse (endpoint: EndpointRecord): OutOfUseReason | null {
    const reason = this.#getOutOfUseBesideSuspicion(endpoint)
    if (!this.#options.health.isSuspect(endpoint.life)) return reason
    return reason === null || reason === 'unanswered' || reason === 'unannounced' ? 'suspect' : reason
  }

  isUsable (endpoint: EndpointRecord): boolean {
    return this.getOutOfUse(endpoint) === null
  }

  isSuspect (endpoint: EndpointRecord): boolean {
    return this.#options.health.isSuspect(endpoint.life) && this.#getOutOfUseBesideSuspicion(endpoint) === null
  }

  hasAnswered ({ life }: EndpointRecord): boolean {
    return this.#options.getSession(life)?.hasHadContact ?? false
  }

  hasAnsweredOfLate (life: EndpointIncarnation): boolean {
    return this.#options.getSession(life)?.hasAnsweredOfLate ?? false
  }

  getPenalty ({ life }: EndpointRecord): number {
    return this.#options.health.getPenalty(life)
  }

  isConfirmed ({ endpoint, task }: ActiveRun): boolean {
    return this.#options.getSession(endpoint)?.isConfirmed(task) ?? false
  }

  estimateRemainingMs ({ endpoint, task }: ActiveRun): number | null {
    return this.#options.getSession(endpoint)?.estimateRemainingMs(task) ?? null
  }

  getSpeed (endpoint: EndpointRecord): number {
    return this.#options.speeds.getSpeed(endpoint)
  }

  isSpeedKnown (endpoint: EndpointRecord): boolean {
    return this.#options.speeds.isKnown(endpoint)
  }

  isCold ({ life }: EndpointRecord): boolean {
    const { announcements, timers } = this.#options
    return announcements.isCold(life, timers.now())
  }

  #getOutOfUseBesideSuspicion ({ life, draining, domain }: EndpointRecord): Exclude<OutOfUseReason, 'suspect'> | null {
    const { state, timers, announcements, replaced, getSession, isLeaving } = this.#options
    if (draining) return 'draining'
    if (isLeaving(life)) return 'leaving'
    if (replaced.has(life)) return 'replaced'
    if (state.domainDrains.isDrained(domain)) return 'domain-drained'
    if ((getSession(life)?.failures ?? 0) > 0) return 'unanswered'
    return announcements.isCurrent(life, timers.now()) ? null : 'unannounced'
  }
}
