import type { CustomerId } from '@ibisstair/common'
import { DecayingUsage, getDominantShare, getFairShare, rankShare, USAGE_DECAY_MS, type ShareRank } from '@ibisstair/fairness'
import { addResources, NO_RESOURCES, type JobEntry, type Resources } from '@ibisstair/jobs'
import type { PassView, WorkHistory } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'
import type { CustomerFigures } from './waiting-types.ts'
import { toCoreEquivalents } from './work-cost.ts'

/** A customer's past counts for no more than a thousandth after this time. */
const MAX_UNUSED_MS = 7 * USAGE_DECAY_MS

const toKey = (service: string, customer: CustomerId | null): string => `${service}/${customer ?? ''}`

const scale = ({ cpuMilli, memMb, accelerators }: Resources, factor: number): Resources =>
  ({ cpuMilli: cpuMilli * factor, memMb: memMb * factor, accelerators: accelerators * factor })

/** Returns the resources of the job's runs. */
const sumRunning = (job: JobEntry): Resources => {
  let sum = NO_RESOURCES
  for (const { steps } of job.listBegunOccurrences()) {
    steps.forEach(({ activeTasks }, step) => {
      if (activeTasks > 0) sum = addResources(sum, scale(job.spec.steps[step]!.resources, activeTasks))
    })
  }
  return sum
}

/** Customers whose figures are reported. */
export const MAX_REPORTED_CUSTOMERS = 64

/** A customer's part of one service in one planning pass. */
interface ServiceShare {
  readonly service: string
  readonly customer: CustomerId | null
  /** Resources of its runs. */
  used: Resources
  /** Resources that earlier work in the order will use if all of it starts. */
  ahead: Resources
  /** The larger of the present share and of its decaying average. */
  share: number
}

/**
 * Shares of the customers in the capacity of each service. The load: one customer sends half of all work, and its jobs, which
 * are older than those that the others send later, would take all capacity that becomes free. Usage comes from the runs in the
 * replicated state, so that a new leader knows it; only the decaying average of the past starts anew.
 */
export class CustomerShares {
  readonly #usage = new DecayingUsage<string>()
  #shares = new Map<string, ServiceShare>()
  #totals = new Map<string, Resources>()
  #customersByService = new Map<string, number>()

  /** Takes in the runs and the capacity of the pass; to be called once, before any share is asked for. */
  observe ({ state, candidates, nowMs }: PassView): void {
    this.#shares = new Map()
    this.#totals = new Map()
    this.#customersByService = new Map()
    for (const { endpoint: { service, capacity } } of candidates) this.#totals.set(service, addResources(this.#totals.get(service) ?? NO_RESOURCES, capacity))
    for (const job of state.jobs.listActive()) this.#addRuns(job)
    for (const [key, share] of this.#shares) {
      const present = getDominantShare(share.used, this.#getTotal(share.service))
      share.share = Math.max(present, this.#usage.record(key, present, nowMs))
    }
    this.#usage.removeOlderThan(nowMs - MAX_UNUSED_MS)
  }

  /** Returns the customer's dominant share of the service that runs the job; 0 for a customer without jobs. */
  getShare ({ spec: { customer }, policy: { service } }: JobEntry): number {
    return this.#shares.get(toKey(service, customer))?.share ?? 0
  }

  /**
   * Ranks the next work of its customer, which counts from then on as if it ran. A flood that arrives in one pass so
   * alternates with the work of others, although no share has changed yet.
   */
  rankNext ({ job, spec, indexes }: ReadyWork): ShareRank {
    const { customer } = job.spec
    const { service } = job.policy
    const known = this.#shares.get(toKey(service, customer))
    if (!known) return 0
    const total = this.#getTotal(service)
    const rank = rankShare(known.share + getDominantShare(known.ahead, total), getFairShare(this.#customersByService.get(service) ?? 1))
    known.ahead = addResources(known.ahead, scale(spec.resources, indexes.length))
    return rank
  }

  /** Returns the customers with the largest share or backlog; `waiting` is the work that has not been placed. */
  summarise (waiting: readonly ReadyWork[], history: WorkHistory): CustomerFigures[] {
    const byCustomer = new Map<CustomerId | null, CustomerFigures>()
    const add = (customer: CustomerId | null, share: number, backlogCoreS: number): void => {
      const known = byCustomer.get(customer)
      byCustomer.set(customer, { customer, share: Math.max(share, known?.share ?? 0), backlogCoreS: backlogCoreS + (known?.backlogCoreS ?? 0) })
    }
    for (const { customer, share } of this.#shares.values()) add(customer, share, 0)
    for (const { job, spec, indexes } of waiting) add(job.spec.customer, 0, indexes.length * toCoreEquivalents(spec.resources) * history.estimateRunMs(job, spec) / 1_000)
    const figures = [...byCustomer.values()].sort((a, b) => b.share - a.share || b.backlogCoreS - a.backlogCoreS)
    return figures.slice(0, MAX_REPORTED_CUSTOMERS)
  }

  #getTotal (service: string): Resources {
    return this.#totals.get(service) ?? NO_RESOURCES
  }

  #addRuns (job: JobEntry): void {
    const { policy: { service }, spec: { customer } } = job
    const key = toKey(service, customer)
    let known = this.#shares.get(key)
    if (!known) {
      this.#shares.set(key, known = { service, customer, used: NO_RESOURCES, ahead: NO_RESOURCES, share: 0 })
      this.#customersByService.set(service, (this.#customersByService.get(service) ?? 0) + 1)
    }
    if (job.activeRuns > 0) known.used = addResources(known.used, sumRunning(job))
  }
}
