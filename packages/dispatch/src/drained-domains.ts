import type { DomainId } from '@ibisstair/common'
import type { DrainChange, EndpointIncarnation, EndpointRecord, SchedulingState, StateCommand, StateResult } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import { selectDrainMoves } from './drain-moves.ts'
import type { EndpointSession } from './endpoint-session.ts'
import { findGuaranteeShortage } from './guarantees.ts'

export interface DrainedDomainsOptions {
  readonly state: SchedulingState
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Metrics
  /** Whether the endpoint may be given new work. */
  readonly isUsable: (endpoint: EndpointRecord) => boolean
  readonly getSession: (life: EndpointIncarnation) => EndpointSession | undefined
}

interface DrainFigures {
  readonly drained: number
  /** Time since the oldest drain. */
  readonly ageMs: number
  /** Runs that are still in drained failure domains. */
  readonly runs: number
  /** Guaranteed accelerators that the rest of the fleet does not have. */
  readonly guaranteeShortage: number
}

const NO_DRAINS: DrainFigures = { drained: 0, ageMs: 0, runs: 0, guaranteeShortage: 0 }

/** Moves runs out of drained failure domains and tells operators how far each drain is, during one term of leadership. */
export class DrainedDomains {
  readonly #options: DrainedDomainsOptions
  #hasShortage = false

  constructor (options: DrainedDomainsOptions) {
    this.#options = options
  }

  /** Reports what a command of the log has changed about drained failure domains. */
  handleApplied (command: StateCommand, result: StateResult): void {
    const { state: { domainDrains, endpoints }, metrics } = this.#options
    if (result.type === 'domain-drain') this.#reportOrder(command, result)
    if (domainDrains.drainedCount === 0 || command.type !== 'end') return
    const hasEndedThere = domainDrains.isDrained(endpoints.get(command.endpoint)?.domain)
    if (hasEndedThere) metrics.increment('domains.finished', command.ends.filter(({ outcome }) => outcome !== 'not-started').length)
  }

  /** Stops long-running tasks that go on elsewhere from their checkpoints. */
  moveRuns (): void {
    const { state, logger, metrics, isUsable, getSession } = this.#options
    if (state.domainDrains.drainedCount === 0) return
    const runs = selectDrainMoves({ state, isUsable, isSteady: ({ endpoint, task }) => getSession(endpoint)?.getPhase(task) === 'present' })
    for (const { task, run, endpoint } of runs) {
      logger.info('run moves out of a drained failure domain', { task, run, endpoint })
      metrics.increment('domains.moved')
      getSession(endpoint)?.stop(task)
    }
  }

  /** Measures the drains, and logs when the guarantees begin or cease to exceed what is left of the fleet. */
  observe (): void {
    const figures = this.#getFigures()
    this.#measure(figures)
    const hasShortage = figures.guaranteeShortage > 0
    if (hasShortage === this.#hasShortage) return
    this.#hasShortage = hasShortage
    if (hasShortage) this.#options.logger.warn('guarantees of all customers exceed the fleet without its drained failure domains', { shortage: figures.guaranteeShortage, domains: this.#listDrained().join(' ') })
    else this.#options.logger.info('guarantees of all customers fit the fleet again', { drained: figures.drained })
  }

  /** Sets the metrics of a leader whose term is over to 0. */
  close (): void {
    this.#measure(NO_DRAINS)
  }

  #reportOrder (command: StateCommand, { domain, isDrained, revision, isChanged, isOutdated }: DrainChange): void {
    const { logger } = this.#options
    if (isOutdated) logger.warn('failure domain drain order outdated', { domain, type: command.type, isDrained, revision })
    if (!isChanged) return
    const endpoints = this.#listEndpoints().filter((endpoint) => endpoint.domain === domain)
    logger.info(isDrained ? 'failure domain drained' : 'failure domain restored', { domain, revision, endpoints: endpoints.length, runs: this.#countRuns(endpoints) })
  }

  #getFigures (): DrainFigures {
    const { state, timers } = this.#options
    const { domainDrains } = state
    if (domainDrains.drainedCount === 0) return NO_DRAINS
    const sinceMs = Math.min(...domainDrains.list().filter(({ isDrained }) => isDrained).map((drain) => drain.sinceMs))
    return {
      drained: domainDrains.drainedCount,
      ageMs: Math.max(0, timers.wallClock() - sinceMs),
      runs: this.#countRuns(this.#listEndpoints().filter(({ domain }) => domainDrains.isDrained(domain))),
      guaranteeShortage: findGuaranteeShortage(state)
    }
  }

  #measure ({ drained, ageMs, runs, guaranteeShortage }: DrainFigures): void {
    const { metrics } = this.#options
    metrics.gauge('domains.drained', drained)
    metrics.gauge('domains.drain-age-ms', ageMs)
    metrics.gauge('domains.drained-runs', runs)
    metrics.gauge('domains.guarantee-shortage', guaranteeShortage)
  }

  #listDrained (): DomainId[] {
    return this.#options.state.domainDrains.list().filter(({ isDrained }) => isDrained).map(({ domain }) => domain)
  }

  #listEndpoints (): EndpointRecord[] {
    return [...this.#options.state.endpoints.list()]
  }

  #countRuns (endpoints: readonly EndpointRecord[]): number {
    return endpoints.reduce((sum, { life }) => sum + this.#options.state.jobs.listRuns(life).size, 0)
  }
}
