import type { ActiveRun, EndpointIncarnation, EndpointRecord, JobEntry, SchedulingState, StartGroup } from '@ibisstair/jobs'
import { mustParseTaskId, toTaskId } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import type { EndpointSession } from './endpoint-session.ts'
import type { PendingRecords } from './pending-records.ts'
import type { WorkHistory } from './plan-types.ts'
import { getRequiredSpeed } from './required-speed.ts'
import { findObstacle, type WithheldReason } from './withheld-starts.ts'

export interface StartOrdersOptions {
  readonly state: SchedulingState
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Metrics
  readonly pendingRecords: PendingRecords
  /** Returns null for an endpoint that is not registered. */
  readonly openSession: (life: EndpointIncarnation) => EndpointSession | null
  readonly getSpeed: (endpoint: EndpointRecord) => number
  readonly history: WorkHistory
  /** Called when an endpoint that had to be called first has answered or has failed to. */
  readonly handleAnswer: () => void
}

/** The way of a start from the plan to the order: to endpoints that answer calls, and only while they can still take it. */
export class StartOrders {
  readonly #options: StartOrdersOptions

  constructor (options: StartOrdersOptions) {
    this.#options = options
  }

  /**
   * Returns the starts on endpoints that have answered of late; a gang starts on such endpoints alone. The others are
   * called, so that a later pass starts the work there or elsewhere: what is not committed holds no task.
   */
  selectAnswering (groups: readonly StartGroup[]): StartGroup[] {
    const { state } = this.#options
    return groups.flatMap((group) => {
      const isGang = state.jobs.get(group.job)?.spec.steps[group.step]!.gang ?? false
      const answering = group.members.filter(({ endpoint }) => this.#isAnswering(endpoint))
      if (answering.length === group.members.length) return [group]
      return isGang || answering.length === 0 ? [] : [{ ...group, members: answering }]
    })
  }

  /** Orders the committed starts of a group. */
  send (group: StartGroup): void {
    const { state, metrics, openSession } = this.#options
    const job = state.jobs.get(group.job)
    if (!job) return
    const { gang } = job.spec.steps[group.step]!
    const orders = group.members.flatMap(({ index, endpoint }) => {
      const task = toTaskId({ job: group.job, occurrence: group.occurrence, step: group.step, index })
      const run = state.jobs.listRuns(endpoint).get(task)
      const session = openSession(endpoint)
      return run && session ? [{ run, session, obstacle: this.#findObstacle(endpoint) }] : []
    })
    const gangObstacle = gang ? orders.find(({ obstacle }) => obstacle !== null)?.obstacle ?? null : null
    const accepted = orders.filter(({ run, session, obstacle }) => {
      const reason = gangObstacle ?? obstacle
      if (reason !== null) this.#withhold(session, run, reason)
      return reason === null
    })
    metrics.increment('runs.ordered', accepted.length)
    const contacts = accepted.map(({ session }) => session.makeContact())
    // The members of a gang work only together: none is ordered while one of their endpoints does not answer.
    const gangContact = Promise.all(contacts).then((answers) => answers.every(Boolean))
    accepted.forEach(({ run, session }, i) => {
      // The failure domain may be drained while the endpoint is being called.
      const needed = gang ? accepted : [accepted[i]!]
      const mayOrder = (gang ? gangContact : contacts[i]!).then((hasAnswered) => hasAnswered && !this.#isDrainedMeanwhile(session, run, needed.map((order) => order.session)))
      this.#order(session, run, job, mayOrder)
    })
  }

  /** Calls the endpoint if it has not answered of late. */
  #isAnswering (life: EndpointIncarnation): boolean {
    const { openSession, handleAnswer } = this.#options
    const session = openSession(life)
    if (!session) return false
    if (session.hasAnsweredOfLate) return true
    session.makeContact().catch(() => {}).finally(handleAnswer)
    return false
  }

  #order (session: EndpointSession, run: ActiveRun, job: JobEntry, mayOrder: Promise<boolean>): void {
    const { logger, metrics, timers, history, getSpeed } = this.#options
    const { occurrence, step, index } = mustParseTaskId(run.task)
    const entry = job.getOccurrence(occurrence).steps[step]!
    const speed = getSpeed(session.endpoint)
    if (speed < getRequiredSpeed({ job, step }, timers.wallClock(), history)) metrics.increment('placements.too-slow')
    logger.info('run ordered', { task: run.task, run: run.run, endpoint: session.endpoint.id, waitedMs: Math.round(timers.wallClock() - job.acceptedAtMs), speed: Math.round(100 * speed) / 100 })
    session.start(run, job.spec.payload, job.spec.steps[step]!.gang ? entry.checkpoint : entry.tasks[index]!.checkpoint, mayOrder)
  }

  /** Whether the failure domain of an endpoint that the run needs has been drained since its start was committed. */
  #isDrainedMeanwhile (session: EndpointSession, run: ActiveRun, needed: readonly EndpointSession[]): boolean {
    const { domainDrains } = this.#options.state
    const isDrained = needed.some(({ endpoint }) => domainDrains.isDrained(endpoint.domain))
    if (isDrained) this.#reportWithheld(session, run, 'domain-drained')
    return isDrained
  }

  /** The endpoint may have changed between the plan and the commit of its starts. */
  #findObstacle (life: EndpointIncarnation): WithheldReason | null {
    const { state, pendingRecords } = this.#options
    const records = [state.endpoints.get(life), pendingRecords.get(life)].filter((record) => record !== undefined)
    return findObstacle(records, state.jobs.getUsage(life), state.domainDrains)
  }

  #withhold (session: EndpointSession, run: ActiveRun, reason: WithheldReason): void {
    this.#reportWithheld(session, run, reason)
    session.withhold(run)
  }

  #reportWithheld (session: EndpointSession, run: ActiveRun, reason: WithheldReason): void {
    const { logger, metrics } = this.#options
    metrics.increment(`starts.withheld.${reason}`)
    logger.info('start withheld', { task: run.task, run: run.run, endpoint: session.endpoint.id, reason })
  }
}
