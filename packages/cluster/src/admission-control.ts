import { addJitter, decideAdmission, type AdmissionFigures, type RejectionReason } from '@ibisstair/admission'
import { IbisError } from '@ibisstair/common'
import { countPeakAccelerators, estimateChainMs, NO_WORK_HISTORY } from '@ibisstair/dispatch'
import { JobEntry, type JobSpec, type SchedulingState } from '@ibisstair/jobs'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import { BACKLOG_REPORT_PERIOD_MS, MAX_REJECTION_LINES_PER_S } from './constants.ts'
import { ServiceBacklogs, type ServiceBacklogsOptions } from './service-backlogs.ts'
import { UnsettledProposals } from './unsettled-proposals.ts'

export interface AdmissionControlOptions extends ServiceBacklogsOptions {
  readonly state: SchedulingState
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Rejects jobs that can't begin in time, before the leader proposes them, during one term of leadership. */
export class AdmissionControl {
  readonly #options: AdmissionControlOptions
  readonly #backlogs: ServiceBacklogs
  readonly #proposals = new UnsettledProposals()
  readonly #stopReports: Unsubscribe
  readonly #reportedServices = new Set<string>()
  #lines = 0
  #linesLeftOut = 0

  constructor (options: AdmissionControlOptions) {
    this.#options = options
    this.#backlogs = new ServiceBacklogs(options)
    this.#stopReports = options.timers.every(BACKLOG_REPORT_PERIOD_MS, () => this.#report())
  }

  /** Sets the gauges of a leader whose term is over to 0. */
  close (): void {
    this.#stopReports()
    for (const service of this.#reportedServices) this.#options.metrics.gauge(toGaugeName(service), 0)
  }

  /** Proposes a job that is not in the state. Rejects with `deadline-unreachable` or `queue-full`, before anything is proposed. */
  async run<T> (spec: JobSpec, propose: () => Promise<T>): Promise<T> {
    if (!this.#proposals.has(spec.id)) this.#check(new JobEntry(spec, this.#options.timers.wallClock()))
    return await this.#proposals.run(spec.id, propose)
  }

  #check (job: JobEntry): void {
    const { state, timers, random, history = NO_WORK_HISTORY } = this.#options
    if (!hasWorkToBegin(job, timers.wallClock())) return this.#backlogs.add(job)
    const { customer, service, priority, stretch, targetLatencyMs } = job.spec
    const backlog = this.#backlogs.get(service)
    const accelerators = countPeakAccelerators(job)
    const guaranteedAccelerators = state.config.getGuarantee(customer)
    const isWithinGuarantee = priority === 0 && this.#backlogs.countUrgentNeed(customer) + accelerators <= guaranteedAccelerators
    const objectiveMs = targetLatencyMs + stretch * estimateChainMs(job, history)
    const decision = decideAdmission({ customer, priority, accelerators, objectiveMs, guaranteedAccelerators, isWithinGuarantee }, backlog)
    if (decision.type === 'admit') return this.#backlogs.add(job)
    const { reason, figures } = decision
    const retryAfterMs = addJitter(decision.retryAfterMs, random.float())
    this.#recordRejection(job.spec, reason, { ...toInfo(figures), retryAfterMs })
    throw new IbisError(reason, describe(reason, figures), { retryAfterMs, info: toInfo(figures) })
  }

  #recordRejection ({ id, queue, customer, service, priority }: JobSpec, reason: RejectionReason, info: Readonly<Record<string, number>>): void {
    const { logger, metrics } = this.#options
    metrics.increment(`submissions.rejected.${reason}`)
    this.#lines += 1
    if (this.#lines <= MAX_REJECTION_LINES_PER_S) logger.info('submission rejected', { job: id, queue, customer, service, priority, reason, ...info })
    else this.#linesLeftOut += 1
  }

  #report (): void {
    const { logger, metrics } = this.#options
    for (const [service, acceleratorMs] of this.#backlogs.sumByService()) {
      this.#reportedServices.add(service)
      metrics.gauge(toGaugeName(service), Math.round(acceleratorMs / 1_000))
    }
    if (this.#linesLeftOut > 0) logger.info('more submissions were rejected; their lines are left out', { leftOut: this.#linesLeftOut })
    this.#lines = 0
    this.#linesLeftOut = 0
  }
}

/** Long-running work has no run time, and for work that is due later the present backlog says little: it is accepted. */
const hasWorkToBegin = (job: JobEntry, wallMs: number): boolean =>
  job.listDueOccurrences(wallMs).length > 0 && !job.spec.steps.some(({ longRunning }) => longRunning)

const toGaugeName = (service: string): string => `backlog.core-s.${service}`

const toSeconds = (ms: number): number => Math.round(ms / 100) / 10

/** Amounts of work are in accelerator seconds: aheadS, ownS and shareS. */
const toInfo = ({ accelerators, limitMs, aheadAcceleratorMs, startMs, ownAcceleratorMs, shareAcceleratorMs }: AdmissionFigures): Readonly<Record<string, number>> =>
  ({ accelerators, limitMs: Math.round(limitMs), aheadS: toSeconds(aheadAcceleratorMs), startMs: Math.round(startMs), ownS: toSeconds(ownAcceleratorMs), shareS: toSeconds(shareAcceleratorMs) })

const describe = (reason: RejectionReason, { limitMs, startMs, ownAcceleratorMs, shareAcceleratorMs }: AdmissionFigures): string => reason === 'queue-full'
  ? `the customer's backlog of ${toSeconds(ownAcceleratorMs)} accelerator seconds exceeds the ${toSeconds(shareAcceleratorMs)} that its share completes in ${Math.round(limitMs)} ms`
  : `the job could begin in ${Math.round(startMs)} ms at the earliest; ${Math.round(limitMs)} ms are accepted`
