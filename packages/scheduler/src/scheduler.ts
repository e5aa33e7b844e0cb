import type { EndpointId, ErrorKind, JobId, TaskId } from '@ibisstair/common'
import { asId, assertNever, invariant } from '@ibisstair/common'
import type { Assignment, DomainShare, JobMetadata } from '@ibisstair/model'
import { findBestFit } from './best-fit.ts'
import { AGEING_MS, MAX_ENDED_JOBS, MAX_PLACEMENTS_PER_EVENT, MAX_START_ATTEMPTS } from './constants.ts'
import type { Allocation } from './entities.ts'
import { Job } from './entities.ts'
import { findFirstFit } from './first-fit.ts'
import { Fleet } from './fleet.ts'
import type { Policy, Rule } from './policy.ts'
import { PRESENT_POLICY } from './policy.ts'
import type { CustomerAccount, ShapeClass, UrgencyQueue } from './queues.ts'
import { JobQueues } from './queues.ts'
import type { Decision, DomainScheduler, Explanation, FinishResult, SchedulerEvent, SchedulerStats, TaskReport } from './types.ts'

/**
 * Schedules one failure domain. After `finished` with `failed`, `lost` or `preempted` the job is
 * either queued again, and a `place` follows, or a `refuse` in the same batch ends it.
 */
export class Scheduler implements DomainScheduler {
  readonly #fleet = new Fleet()
  readonly #jobs = new Map<JobId, Job>()
  readonly #ended = new Map<JobId, Job>()
  readonly #queues = new JobQueues()
  readonly #policy: Policy
  /** Shapes for which a search at this fleet epoch failed, whoever asked. */
  readonly #failedSearches = new Map<string, number>()
  /** Searches that succeeded since the last placement. */
  readonly #foundSearches = new Map<string, readonly Allocation[]>()
  #share: DomainShare | undefined
  #layoutVersion = -1
  #running = 0
  #decisions: Decision[] = []
  #nowMs = 0

  constructor (policy: Policy = PRESENT_POLICY) {
    this.#policy = policy
  }

  handle (event: SchedulerEvent, nowMs: number): Decision[] {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
    this.#decisions = []
    this.#apply(event)
    this.#dispatch()
    return this.#decisions
  }

  explain (jobId: JobId): Explanation {
    const job = this.#jobs.get(jobId) ?? this.#ended.get(jobId)
    if (!job) return { jobId, state: 'unknown', steps: [] }
    return { jobId, state: job.phase, steps: [...job.steps] }
  }

  getStats (): SchedulerStats {
    let freeAccelerators = 0
    let totalAccelerators = 0
    let freeSlots = 0
    for (const worker of this.#fleet.workers) {
      if (!worker.isUsable) continue
      freeAccelerators += worker.freeAccelerators
      freeSlots += worker.freeSlots
      totalAccelerators += worker.info.accelerators
    }
    return { queued: this.#queues.size, running: this.#running, freeAccelerators, totalAccelerators, freeSlots, quarantined: 0 }
  }

  #apply (event: SchedulerEvent): void {
    switch (event.type) {
      case 'config': return this.#setShare(event.share)
      case 'endpoint-up': { this.#fleet.put(event.endpoint); return }
      case 'endpoint-down': return this.#fleet.setDown(event.endpointId)
      case 'submit': return this.#submit(event.jobId, event.job)
      case 'cancel': return this.#cancel(event.jobId)
      case 'adopt': return this.#adopt(event.jobId, event.job, event.assignments)
      case 'started': return this.#markStarted(event.jobId)
      case 'start-failed': return this.#handleStartFailure(event.jobId, event.refusedBy)
      case 'finished': return this.#finish(event.jobId, event.result, event.tasks)
      case 'usage': return
      case 'tick': return
      default: assertNever(event)
    }
  }

  #setShare (share: DomainShare): void {
    this.#share = share
    this.#fleet.setDrains(share.drains)
    const configured = new Set(share.customers.map((customer) => customer.id))
    for (const customer of share.customers) this.#queues.customerOf(customer.id).configure(customer)
    for (const account of this.#queues.customers) {
      if (configured.has(account.id)) continue
      account.configure(undefined)
      this.#queues.forgetCustomer(account)
    }
  }

  #submit (jobId: JobId, meta: JobMetadata): void {
    if (this.#jobs.has(jobId)) return
    const job = new Job(jobId, meta, this.#nowMs)
    this.#jobs.set(jobId, job)
    const known = !this.#share || this.#queues.find(meta.customer)?.isConfigured
    if (!known) return this.#refuse(job, 'unknown-customer', `customer ${meta.customer} is not configured`)
    job.explain(this.#nowMs, 'admitted', { queued: this.#queues.size, urgency: meta.urgency })
    this.#queues.add(job, false, this.#workOf(job))
  }

  #cancel (jobId: JobId): void {
    const job = this.#jobs.get(jobId)
    if (!job) return
    if (job.phase === 'queued') return this.#refuse(job, 'cancelled', 'cancelled before it ran')
    if (job.stoppingSinceMs !== undefined) return
    job.stoppingSinceMs = this.#nowMs
    job.explain(this.#nowMs, 'cancelled-running', {})
    this.#decisions.push({ type: 'stop', jobId, rule: 'cancelled-running' })
  }

  #adopt (jobId: JobId, meta: JobMetadata, assignments: readonly Assignment[]): void {
    if (this.#jobs.has(jobId)) return
    const job = new Job(jobId, meta, this.#nowMs)
    this.#jobs.set(jobId, job)
    job.attempt = 1
    job.assignments = assignments
    const allocations = this.#allocationsOf(assignments)
    this.#countUse(job, 1)
    const fits = allocations.every(({ worker, tasks }) => worker.freeAccelerators >= tasks * meta.shape.acceleratorsPerTask && worker.freeSlots >= tasks * meta.shape.slotsPerTask)
    if (fits) this.#fleet.allocate(job, allocations)
    job.enter('running')
    job.startedAtMs = this.#nowMs
    this.#running += 1
    job.explain(this.#nowMs, 'adopted', { tasks: assignments.length })
    if (fits) return
    // Two gangs claim the same slots; the endpoints know which one is real, so the later one is stopped.
    job.stoppingSinceMs = this.#nowMs
    this.#decisions.push({ type: 'stop', jobId, rule: 'adoption-conflict' })
  }

  #allocationsOf (assignments: readonly Assignment[]): Allocation[] {
    const tasks = new Map<EndpointId, number>()
    for (const { endpointId } of assignments) tasks.set(endpointId, (tasks.get(endpointId) ?? 0) + 1)
    return [...tasks].flatMap(([endpointId, count]) => {
      const worker = this.#fleet.get(endpointId)
      return worker ? [{ worker, tasks: count }] : []
    })
  }

  #markStarted (jobId: JobId): void {
    const job = this.#jobs.get(jobId)
    if (job?.phase !== 'starting') return
    job.enter('running')
    job.startedAtMs = this.#nowMs
  }

  #handleStartFailure (jobId: JobId, refusedBy: readonly EndpointId[]): void {
    const job = this.#jobs.get(jobId)
    if (job?.phase !== 'starting') return
    this.#leaveSlots(job)
    if (job.stoppingSinceMs !== undefined) return this.#refuse(job, 'cancelled', 'cancelled before it ran')
    if (job.attempt >= MAX_START_ATTEMPTS) return this.#refuse(job, 'gang-not-started', `not started whole after ${job.attempt} attempts`)
    job.explain(this.#nowMs, 'start-failed', { attempt: job.attempt, refusedBy: refusedBy.length })
    this.#requeue(job)
  }

  #finish (jobId: JobId, result: FinishResult, tasks: readonly TaskReport[]): void {
    const job = this.#jobs.get(jobId)
    if (!job?.holdsSlots) return
    this.#leaveSlots(job)
    job.explain(this.#nowMs, `finished-${result}`, { tasks: tasks.length })
    if (result === 'ok' || result === 'cancelled') return this.#end(job)
    if (!job.meta.idempotent) return this.#refuse(job, kindOfEnd(result), `non-idempotent work ended as ${result}`)
    if (job.attempt >= MAX_START_ATTEMPTS) return this.#refuse(job, kindOfEnd(result), `ended as ${result} after ${job.attempt} attempts`)
    this.#requeue(job)
  }

  #leaveSlots (job: Job): void {
    this.#fleet.release(job)
    this.#running -= 1
    this.#countUse(job, -1)
    job.startedAtMs = undefined
  }

  #requeue (job: Job): void {
    job.enter('queued')
    job.stoppingSinceMs = undefined
    this.#queues.add(job, true, this.#workOf(job))
  }

  #refuse (job: Job, kind: ErrorKind, detail: string): void {
    job.explain(this.#nowMs, kind, { detail })
    this.#decisions.push({ type: 'refuse', jobId: job.id, kind, detail })
    this.#end(job)
  }

  #end (job: Job): void {
    this.#queues.remove(job)
    job.enter('finished')
    this.#jobs.delete(job.id)
    this.#ended.set(job.id, job)
    if (this.#ended.size <= MAX_ENDED_JOBS) return
    const [oldest] = this.#ended.keys()
    this.#ended.delete(oldest!)
  }

  #uses (rule: Rule): boolean {
    return this.#policy.rules.has(rule)
  }

  /** Estimated accelerator milliseconds of a job; slot-only work counts by its slots. */
  #workOf (job: Job): number {
    return Math.max(1, job.accelerators, job.slots) * job.meta.expectedRunMs
  }

  #countUse (job: Job, sign: 1 | -1): void {
    const account = this.#queues.customerOf(job.meta.customer)
    account.borrowedAccelerators += sign * job.accelerators
    account.borrowedSlots += sign * job.slots
    this.#queues.countUse(job, sign)
    this.#updateShare(account)
  }

  #updateShare (account: CustomerAccount): void {
    this.#queues.setShareKey(account, this.#uses('customer-fairness') ? this.#dominantShareOf(account) : 0)
  }

  #dispatch (): void {
    if (this.#policy.order === 'arrival') return this.#dispatchInOrder()
    this.#followLayout()
    for (let i = 0; i < MAX_PLACEMENTS_PER_EVENT; i++) {
      if (!this.#placeNext()) return
    }
  }

  /** Shares are relative to the capacity, so that all of them change with it. */
  #followLayout (): void {
    if (this.#layoutVersion === this.#fleet.layoutVersion) return
    this.#layoutVersion = this.#fleet.layoutVersion
    for (const account of this.#queues.customers) this.#updateShare(account)
  }

  #dispatchInOrder (): void {
    for (let i = 0; i < MAX_PLACEMENTS_PER_EVENT; i++) {
      const job = this.#queues.oldest
      if (!job) return
      const allocations = findFirstFit(this.#fleet, job.shape)
      if (!allocations) return
      this.#place(job, allocations, 'first-come-first-served')
    }
  }

  #placeNext (): boolean {
    this.#foundSearches.clear()
    let next: CustomerAccount | undefined
    for (const heap of this.#queues.shapes.values()) {
      const shapeClass = heap.peek()!
      if (!this.#mayFit(shapeClass)) continue
      if (!this.#search(shapeClass.next(this.#uses('caller-fairness'))!)) {
        shapeClass.blockedEpoch = this.#fleet.epoch
        continue
      }
      if (!next || this.#isNext(shapeClass.account, next)) next = shapeClass.account
    }
    return next !== undefined && this.#placeOf(next)
  }

  #isNext (a: CustomerAccount, b: CustomerAccount): boolean {
    if (a === b) return false
    return a.shareKey === b.shareKey ? a.lastServed < b.lastServed : a.shareKey < b.shareKey
  }

  #mayFit (shapeClass: ShapeClass): boolean {
    return shapeClass.blockedEpoch !== this.#fleet.epoch && !this.#hasFailed(shapeClass.key)
  }

  #hasFailed (shapeKey: string): boolean {
    return this.#failedSearches.get(shapeKey) === this.#fleet.epoch
  }

  /** Dominant share of what a customer uses above its guarantees, divided by its priority. */
  #dominantShareOf (account: CustomerAccount): number {
    const byAccelerators = account.borrowedAccelerators / Math.max(1, this.#fleet.totalAccelerators)
    const bySlots = account.borrowedSlots / Math.max(1, this.#fleet.totalSlots)
    return Math.max(byAccelerators, bySlots) / account.priority
  }

  #placeOf (account: CustomerAccount): boolean {
    for (const queue of this.#listByUrgency(account)) {
      if (this.#placeFrom(account, queue)) return true
    }
    return false
  }

  /** The most urgent queue first, unless a less urgent one has had no start for its ageing time. */
  #listByUrgency (account: CustomerAccount): UrgencyQueue[] {
    const waiting = account.urgencies.filter((queue) => queue.size > 0)
    if (waiting.length < 2) return waiting
    if (!this.#uses('urgency')) return waiting.sort((a, b) => a.arrivals.head!.value.submittedAtMs - b.arrivals.head!.value.submittedAtMs)
    if (!this.#uses('ageing')) return waiting
    const aged = waiting.filter((queue) => this.#isAged(queue, account.urgencies.indexOf(queue)))
    return [...aged, ...waiting.filter((queue) => !aged.includes(queue))]
  }

  #isAged (queue: UrgencyQueue, urgencyIndex: number): boolean {
    const waitingSinceMs = Math.max(queue.arrivals.head!.value.submittedAtMs, queue.lastStartMs)
    return this.#nowMs - waitingSinceMs >= AGEING_MS[urgencyIndex]!
  }

  #placeFrom (account: CustomerAccount, queue: UrgencyQueue): boolean {
    for (let i = 0; i < queue.classes.size; i++) {
      const shapeClass = this.#pickClass(queue)
      if (!shapeClass) return false
      const job = shapeClass.next(this.#uses('caller-fairness'))!
      const allocations = this.#search(job)
      if (allocations) {
        this.#place(job, allocations, this.#uses('customer-fairness') ? 'dominant-resource-fairness' : 'arrival-order')
        return true
      }
      shapeClass.blockedEpoch = this.#fleet.epoch
    }
    return false
  }

  /** Among the shapes that may fit, the one whose next caller has the least. */
  #pickClass (queue: UrgencyQueue): ShapeClass | undefined {
    const fair = this.#uses('caller-fairness')
    let best: ShapeClass | undefined
    let bestJob: Job | undefined
    for (const shapeClass of queue.classes.values()) {
      if (!this.#mayFit(shapeClass)) continue
      const job = shapeClass.next(fair)!
      if (bestJob && !this.#isBefore(job, bestJob, fair)) continue
      best = shapeClass
      bestJob = job
    }
    return best
  }

  #isBefore (a: Job, b: Job, fair: boolean): boolean {
    if (!fair) return a.submittedAtMs < b.submittedAtMs
    const account = this.#queues.customerOf(a.meta.customer)
    const useOfA = account.callerOf(a.meta.caller).accelerators
    const useOfB = account.callerOf(b.meta.caller).accelerators
    return useOfA === useOfB ? a.submittedAtMs < b.submittedAtMs : useOfA < useOfB
  }

  #search (job: Job): readonly Allocation[] | undefined {
    if (this.#hasFailed(job.shapeKey)) return undefined
    const known = this.#foundSearches.get(job.shapeKey)
    if (known) return known
    const found = this.#uses('best-fit') ? findBestFit(this.#fleet, job.shape) : findFirstFit(this.#fleet, job.shape)
    if (found) this.#foundSearches.set(job.shapeKey, found)
    else this.#noteFailedSearch(job.shapeKey)
    return found
  }

  #noteFailedSearch (shapeKey: string): void {
    if (this.#failedSearches.size >= MAX_REMEMBERED_SHAPES) this.#failedSearches.clear()
    this.#failedSearches.set(shapeKey, this.#fleet.epoch)
  }

  #place (job: Job, allocations: readonly Allocation[], rule: string): void {
    this.#queues.remove(job)
    this.#fleet.allocate(job, allocations)
    job.enter('starting')
    this.#queues.customerOf(job.meta.customer).urgencies[job.urgencyIndex]!.lastStartMs = this.#nowMs
    job.attempt += 1
    this.#running += 1
    this.#countUse(job, 1)
    job.assignments = assignTasks(job, allocations)
    job.explain(this.#nowMs, rule, { waitMs: this.#nowMs - job.submittedAtMs, attempt: job.attempt })
    this.#decisions.push({ type: 'place', jobId: job.id, attempt: job.attempt, assignments: job.assignments, rule })
  }
}

const MAX_REMEMBERED_SHAPES = 1000

const kindOfEnd = (result: FinishResult): ErrorKind => {
  if (result === 'lost') return 'outcome-unknown'
  return result === 'preempted' ? 'preempted' : 'task-failed'
}

const assignTasks = (job: Job, allocations: readonly Allocation[]): Assignment[] => {
  const assignments: Assignment[] = []
  for (const { worker, tasks } of allocations) {
    for (let i = 0; i < tasks; i++) {
      const index = assignments.length
      assignments.push({ index, taskId: asId<TaskId>(`${job.id}.${job.attempt}.${index}`), endpointId: worker.id, incarnation: worker.info.incarnation })
    }
  }
  invariant(assignments.length === job.shape.tasks, `job ${job.id} is placed whole`)
  return assignments
}
