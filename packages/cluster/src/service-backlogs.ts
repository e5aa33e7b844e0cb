import type { CustomerBacklog, ServiceBacklog } from '@ibisstair/admission'
import type { CustomerId, JobId } from '@ibisstair/common'
import { countPeakAccelerators, getLateness, LATENESS_TOO_LATE, NO_WORK_HISTORY, type WorkHistory } from '@ibisstair/dispatch'
import type { EndpointRecord, JobEntry, SchedulingState, StepSpec } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'
import { BACKLOG_PERIOD_MS } from './constants.ts'

export interface ServiceBacklogsOptions {
  readonly state: SchedulingState
  readonly timers: TimerService
  readonly hasFairShares: boolean
  /** Run times that are learned; submitted estimates count by default. */
  readonly history?: WorkHistory
}

interface MutableBacklog extends ServiceBacklog {
  accelerators: number
  readonly customers: MutableCustomerBacklog[]
  readonly byKey: Map<string, MutableCustomerBacklog>
}

type MutableCustomerBacklog = { -readonly [Key in keyof CustomerBacklog]: CustomerBacklog[Key] }

/**
 * The accepted work that has not run, by service, customer and priority. It is computed from the replicated state at most
 * every 250 ms, and jobs that are accepted meanwhile are added, so that a flood costs no pass over all jobs for each job.
 */
export class ServiceBacklogs {
  readonly #options: ServiceBacklogsOptions
  readonly #history: WorkHistory
  readonly #backlogs = new Map<string, MutableBacklog>()
  /** Urgent jobs of each customer that were active at the last computation or were added since. */
  readonly #urgentJobs = new Map<CustomerId | null, Set<JobId>>()
  #computedAtMs = -Infinity

  constructor (options: ServiceBacklogsOptions) {
    this.#options = options
    this.#history = options.history ?? NO_WORK_HISTORY
  }

  get (service: string): ServiceBacklog {
    this.#refresh()
    return this.#getBacklog(service)
  }

  /** Returns the work of each service in accelerator milliseconds. */
  sumByService (): ReadonlyMap<string, number> {
    this.#refresh()
    return new Map([...this.#backlogs].map(([service, { customers }]) => [service, customers.reduce((sum, { waitingAcceleratorMs, tooLateAcceleratorMs }) => sum + waitingAcceleratorMs + tooLateAcceleratorMs, 0)]))
  }

  /** Returns the accelerators that the customer's urgent jobs need at this moment, which decides about its guarantee. */
  countUrgentNeed (customer: CustomerId | null): number {
    this.#refresh()
    let need = 0
    for (const id of this.#urgentJobs.get(customer) ?? []) {
      const job = this.#options.state.jobs.get(id)
      if (job?.isActive && job.policy.priority === 0) need += countPeakAccelerators(job)
    }
    return need
  }

  /** Adds a job that is about to be accepted. */
  add (job: JobEntry): void {
    const occurrences = job.listDueOccurrences(this.#options.timers.wallClock()).length
    const backlog = this.#getCustomer(job)
    for (const step of job.spec.steps) if (!step.longRunning) backlog.waitingAcceleratorMs += occurrences * step.count * this.#getTaskMs(job, step)
    this.#addUrgent(job)
  }

  #refresh (): void {
    const { state, timers } = this.#options
    if (timers.now() - this.#computedAtMs < BACKLOG_PERIOD_MS) return
    this.#computedAtMs = timers.now()
    this.#backlogs.clear()
    this.#urgentJobs.clear()
    for (const endpoint of state.endpoints.list()) {
      if (isInService(endpoint, state)) this.#getBacklog(endpoint.service).accelerators += countAccelerators(endpoint)
    }
    const wallMs = timers.wallClock()
    for (const job of state.jobs.listActive()) this.#addActive(job, wallMs)
  }

  #addActive (job: JobEntry, wallMs: number): void {
    const backlog = this.#getCustomer(job)
    const isTooLate = getLateness(job, wallMs, this.#history) === LATENESS_TOO_LATE
    for (const occurrence of job.listDueOccurrences(wallMs)) {
      job.getOccurrence(occurrence).steps.forEach(({ doneTasks, activeTasks }, index) => {
        const step = job.spec.steps[index]!
        backlog.usedAccelerators += activeTasks * step.resources.accelerators
        if (step.longRunning) return
        const acceleratorMs = Math.max(0, step.count - doneTasks - activeTasks) * this.#getTaskMs(job, step)
        if (isTooLate) backlog.tooLateAcceleratorMs += acceleratorMs
        else backlog.waitingAcceleratorMs += acceleratorMs
      })
    }
    this.#addUrgent(job)
  }

  #addUrgent ({ spec: { id, customer }, policy }: JobEntry): void {
    if (policy.priority !== 0) return
    const urgent = this.#urgentJobs.get(customer) ?? new Set()
    this.#urgentJobs.set(customer, urgent.add(id))
  }

  #getTaskMs (job: JobEntry, step: StepSpec): number {
    return Math.max(1, step.resources.accelerators) * this.#history.estimateRunMs(job, step)
  }

  #getBacklog (service: string): MutableBacklog {
    const known = this.#backlogs.get(service)
    if (known) return known
    const backlog: MutableBacklog = { accelerators: 0, customers: [], byKey: new Map(), hasFairShares: this.#options.hasFairShares }
    this.#backlogs.set(service, backlog)
    return backlog
  }

  #getCustomer ({ spec: { customer }, policy: { service, priority } }: JobEntry): MutableCustomerBacklog {
    const { customers, byKey } = this.#getBacklog(service)
    const key = `${priority} ${customer ?? ''}`
    const known = byKey.get(key)
    if (known) return known
    const backlog: MutableCustomerBacklog = { customer, priority, waitingAcceleratorMs: 0, tooLateAcceleratorMs: 0, usedAccelerators: 0 }
    customers.push(backlog)
    byKey.set(key, backlog)
    return backlog
  }
}

/** Whether the endpoint belongs to the capacity of its service. */
const isInService = ({ draining, domain }: EndpointRecord, { domainDrains }: SchedulingState): boolean => !draining && !domainDrains.isDrained(domain)

/** An endpoint without accelerators counts as one for each core: work without accelerators counts as one, too. */
const countAccelerators = ({ capacity: { accelerators, cpuMilli } }: EndpointRecord): number =>
  accelerators > 0 ? accelerators : Math.max(1, Math.floor(cpuMilli / 1_000))
