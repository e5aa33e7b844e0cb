import type { ActiveRun, EndpointRecord, JobEntry } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import { countByUse, type OutOfUseReason } from './endpoint-use.ts'
import { toWorkKey } from './ready-work.ts'
import { WAIT_REASON_TYPES, type CustomerFigures, type WaitingEntry, type WaitingSurvey } from './waiting-types.ts'

/** What the leader knows of endpoints and of runs on them. */
export interface RunsView {
  listEndpoints (): Iterable<EndpointRecord>
  getOutOfUse (endpoint: EndpointRecord): OutOfUseReason | null
  /** Whether the endpoint has confirmed the run during this term. */
  isConfirmed (run: ActiveRun): boolean
  /** Whether the endpoint of the run has not answered the last call. */
  isOnSilentEndpoint (run: ActiveRun): boolean
}

/** Name in the metrics of jobs without a customer. */
const NO_CUSTOMER = 'none'

/** Writes what work waits for to the log and to the metrics. */
export class WaitingReport {
  readonly #logger: Logger
  readonly #metrics: Metrics
  readonly #view: RunsView
  #measuredCustomers: ReadonlySet<string> = new Set()

  constructor (logger: Logger, metrics: Metrics, view: RunsView) {
    this.#logger = logger
    this.#metrics = metrics
    this.#view = view
  }

  write (survey: WaitingSurvey): void {
    this.#measure(survey)
    for (const entry of survey.entries) this.#logger.info('work waits', this.#toFields(entry))
    if (survey.leftOut > 0) this.#logger.info('more work waits; its lines are left out', { leftOut: survey.leftOut, waiting: survey.waiting, longestMs: Math.round(survey.longestMs) })
  }

  /** Sets the metrics of a leader whose term is over to 0. */
  close (): void {
    this.#measure({ entries: [], leftOut: 0, waiting: 0, byReason: new Map(), longestMs: 0, customers: [] })
  }

  #measure ({ waiting, byReason, longestMs, customers }: WaitingSurvey): void {
    this.#metrics.gauge('work.waiting', waiting)
    this.#metrics.gauge('work.longest-wait-ms', Math.round(longestMs))
    for (const type of WAIT_REASON_TYPES) this.#metrics.gauge(`work.waiting.${type}`, byReason.get(type) ?? 0)
    this.#measureCustomers(customers)
  }

  /** Sets the gauges of customers that are no longer among those with most use or backlog to 0. */
  #measureCustomers (customers: readonly CustomerFigures[]): void {
    const measured = new Set<string>(customers.map(({ customer }) => customer ?? NO_CUSTOMER))
    for (const name of this.#measuredCustomers) if (!measured.has(name)) this.#gaugeCustomer(name, 0, 0)
    for (const { customer, share, backlogCoreS } of customers) this.#gaugeCustomer(customer ?? NO_CUSTOMER, share, backlogCoreS)
    this.#measuredCustomers = measured
  }

  #gaugeCustomer (name: string, share: number, backlogCoreS: number): void {
    this.#metrics.gauge(`customers.share-percent.${name}`, Math.round(100 * share))
    this.#metrics.gauge(`customers.backlog-core-s.${name}`, Math.round(backlogCoreS))
  }

  #toFields ({ work, reason: { type, ...details }, waitedMs, customerShare, isStalled, mayPreempt, fittingTasks, usable, unclaimed, registered }: WaitingEntry): Readonly<Record<string, unknown>> {
    const { job, occurrence, step, spec, indexes, isSuspect } = work
    const runs = listActiveRuns(job)
    const endpoints = [...this.#view.listEndpoints()].filter(({ service }) => service === job.policy.service)
    const byUse = countByUse(endpoints, (endpoint) => this.#view.getOutOfUse(endpoint))
    return {
      job: job.spec.id,
      work: toWorkKey(work),
      reason: type,
      ...details,
      waitedMs: Math.round(waitedMs),
      priority: job.policy.priority,
      ...(customerShare !== null && { customer: job.spec.customer, customerShare: Math.round(1_000 * customerShare) / 1_000 }),
      service: job.policy.service,
      gang: spec.gang,
      tightlyCoupled: spec.tightlyCoupled,
      longRunning: spec.longRunning,
      perTask: spec.resources,
      tasksWaiting: indexes.length,
      tasks: spec.count,
      fittingTasks,
      runsOfStep: job.getOccurrence(occurrence).steps[step]!.activeTasks,
      runsOfOccurrence: job.getOccurrence(occurrence).steps.reduce((sum, { activeTasks }) => sum + activeTasks, 0),
      runsOfJob: job.activeRuns,
      runsUnconfirmed: runs.filter((run) => !this.#view.isConfirmed(run)).length,
      runsOnSilentEndpoints: runs.filter((run) => this.#view.isOnSilentEndpoint(run)).length,
      isStalled,
      isSuspect,
      mayPreempt,
      usable,
      unclaimed,
      registered,
      outOfUse: Object.fromEntries([...byUse].filter(([use]) => use !== null))
    }
  }
}

const listActiveRuns = (job: JobEntry): ActiveRun[] =>
  job.listBegunOccurrences().flatMap(({ steps }) => steps.flatMap(({ tasks }) => tasks.flatMap(({ active }) => active ?? [])))
