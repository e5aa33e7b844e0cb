import type { EndpointId, ErrorKind, JobId, TaskId } from '@ibisstair/common'
import { asId, assertNever, invariant } from '@ibisstair/common'
import { RunTimeEstimator, type RunTimeEstimate, type WorkGroup } from '@ibisstair/estimation'
import type { Assignment, DomainShare, EndpointInfo, JobMetadata } from '@ibisstair/model'
import { getDominantShare } from '@ibisstair/fairness'
import { URGENCIES } from '@ibisstair/model'
import { costWithGuarantees, costOfRemainder, findBestFit } from './best-fit.ts'
import { CapacityHistory } from './capacity-history.ts'
import { AGEING_MS, FLEET_DISCOVERY_MS, MIN_LARGE_ACCELERATORS, MAX_PENDING_PLACEMENTS, MAX_VICTIM_CANDIDATES, MIN_THROTTLE_FRACTION, MIN_VICTIM_REMAINING_MS, OVERUSE_RATIO, URGENT_PREEMPT_AFTER_MS, MAX_ENDED_JOBS, MAX_PLACEMENTS_PER_EVENT, MAX_PLANS, MAX_RETRY_AFTER_MS, MAX_START_ATTEMPTS, MIN_RETRY_AFTER_MS, PLAN_AFTER_MS, PLAN_AT_LATEST_MS, PLAN_EXPIRY_MS, PREEMPT_RETRY_MS, RECLAIM_DELAY_MS, REFUSAL_PAUSE_MS } from './constants.ts'
import { CrashTracker } from './crash-tracker.ts'
import { Deadlines } from './deadlines.ts'
import type { Allocation, Worker } from './entities.ts'
import { Job, countTasks, tasksOn } from './entities.ts'
import { findFirstFit } from './first-fit.ts'
import { Fleet } from './fleet.ts'
import type { Candidate } from './guarantee-placement.ts'
import { GuaranteePlacement, chooseAdjacent, findFreeAllocations } from './guarantee-placement.ts'
import { OutlierDetector } from './outliers.ts'
import type { PlannedStart } from './planner.ts'
import { planStart } from './planner.ts'
import type { Policy, Rule } from './policy.ts'
import { DEFAULT_POLICY } from './policy.ts'
import type { Reclaim } from './preemption.ts'
import { planReclaim } from './preemption.ts'
import type { CustomerAccount, ShapeClass, UrgencyQueue } from './queues.ts'
import { JobQueues } from './queues.ts'
import { RetryBudget } from './retry-budget.ts'
import type { QuarantineChange } from './quarantine.ts'
import { JOB_SUSPECT_WORKERS, QuarantineTracker } from './quarantine.ts'
import type { Decision, DomainScheduler, Explanation, FinishResult, SchedulerEvent, SchedulerStats, TaskReport } from './types.ts'

/** A job taken out of the queue that is placed on these allocations once they are free. */
interface PendingPlacement {
  readonly kind: 'reclaim' | 'plan' | 'urgent'
  readonly job: Job
  readonly allocations: readonly Allocation[]
  readonly sinceMs: number
  /** Time at which the job returns to the queue if its allocations are still not free. */
  readonly untilMs: number
  /** Time of a planned start; a reclaim and an urgent preemption set it to the time of the decision. */
  readonly startAtMs: number
  readonly rule: string
}

/**
 * Schedules one failure domain. Needs a `tick` at least every 100 ms. After `finished` with `failed`, `lost` or `preempted` the job is
 * either queued again, and a `place` follows, or a `refuse` in the same batch ends it.
 */
export class Scheduler implements DomainScheduler {
  readonly #fleet = new Fleet()
  readonly #jobs = new Map<JobId, Job>()
  readonly #ended = new Map<JobId, Job>()
  readonly #queues = new JobQueues()
  readonly #guaranteePlacement = new GuaranteePlacement()
  readonly #capacityHistory = new CapacityHistory()
  readonly #deadlines = new Deadlines()
  readonly #runTimes = new RunTimeEstimator()
  readonly #quarantine = new QuarantineTracker()
  readonly #crashTracker = new CrashTracker()
  readonly #outlierDetector = new OutlierDetector()
  readonly #retryBudget = new RetryBudget()
  readonly #pendingPlacements = new Map<Job, PendingPlacement>()
  readonly #excludedUntilMs = new Map<Worker, number>()
  readonly #guaranteedCustomers = new Set<CustomerAccount>()
  readonly #policy: Policy
  /** Fleet epoch of the last failed search by shape, for all customers. */
  readonly #failedSearches = new Map<string, number>()
  /** Searches that succeeded since the last placement. */
  readonly #successfulSearches = new Map<string, readonly Allocation[]>()
  #share: DomainShare | undefined
  #layoutVersion = -1
  #running = 0
  #decisions: Decision[] = []
  #nowMs = 0
  #massSuspicions = 0
  #firstEventMs: number | undefined

  constructor (policy: Policy = DEFAULT_POLICY) {
    this.#policy = policy
  }

  handle (event: SchedulerEvent, nowMs: number): Decision[] {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
    this.#decisions = []
    this.#firstEventMs ??= this.#nowMs
    this.#apply(event)
    this.#refuseExpired()
    this.#readmitWorkers()
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
    return { queued: this.#queues.size + this.#pendingPlacements.size, running: this.#running, freeAccelerators, totalAccelerators, freeSlots, quarantined: this.#quarantine.quarantined, massSuspicions: this.#massSuspicions }
  }

  #apply (event: SchedulerEvent): void {
    switch (event.type) {
      case 'config': return this.#setShare(event.share)
      case 'endpoint-up': return this.#putEndpoint(event.endpoint)
      case 'endpoint-down': return this.#fleet.setDown(event.endpointId)
      case 'endpoint-restarted': return this.#recordCrash(event.endpointId)
      case 'submit': return this.#submit(event.jobId, event.job)
      case 'cancel': return this.#cancel(event.jobId)
      case 'adopt': return this.#adopt(event.jobId, event.job, event.assignments)
      case 'started': return this.#markStarted(event.jobId)
      case 'start-failed': return this.#handleStartFailure(event.jobId, event.refusedBy)
      case 'finished': return this.#finish(event.jobId, event.result, event.tasks)
      case 'usage': return this.#handleUsage(event.endpointId, event.acceleratorsBusy)
      case 'tick': return this.#handleTick()
      default: assertNever(event)
    }
  }

  #setShare (share: DomainShare): void {
    this.#share = share
    this.#fleet.setDrains(share.drains)
    const configured = new Set(share.customers.map((customer) => customer.id))
    this.#guaranteedCustomers.clear()
    for (const customer of share.customers) {
      const account = this.#queues.customerOf(customer.id)
      account.configure(customer)
      if (account.hasGuarantees) this.#guaranteedCustomers.add(account)
    }
    if (this.#isEnabled('guarantees')) this.#guaranteePlacement.configure(share)
    this.#layoutVersion = -1
    for (const account of this.#queues.customers) {
      if (configured.has(account.id)) continue
      account.configure(undefined)
      this.#queues.removeUnusedCustomer(account)
    }
  }

  #submit (jobId: JobId, meta: JobMetadata): void {
    if (this.#jobs.has(jobId)) return
    const job = new Job(jobId, meta, this.#nowMs)
    this.#jobs.set(jobId, job)
    const known = !this.#share || this.#queues.find(meta.customer)?.isConfigured
    if (!known) return this.#refuse(job, 'unknown-customer', `customer ${meta.customer} is not configured`)
    if (this.#refuseIfNeverFits(job)) return
    this.#retryBudget.recordFirstAttempt()
    const waitMs = this.#estimateWait(job)
    if (this.#refuseIfQueueFull(job) || this.#refuseIfTooLate(job, waitMs)) return
    job.explain(this.#nowMs, 'admitted', { queued: this.#queues.size, urgency: meta.urgency, expectedWaitMs: Math.round(waitMs), deadlineMs: meta.deadlineMs })
    this.#queues.add(job, false, this.#workOf(job))
    if (this.#isEnabled('deadlines')) this.#deadlines.add(job, job.submittedAtMs + meta.deadlineMs)
  }

  #refuseIfNeverFits (job: Job): boolean {
    const isDiscovering = this.#nowMs - this.#firstEventMs! < FLEET_DISCOVERY_MS
    if (!this.#isEnabled('never-fits') || isDiscovering || this.#capacityHistory.canEverFit(job.shape)) return false
    this.#refuse(job, 'never-fits', `no ${job.shape.adjacency === 'any' ? 'set of workers' : job.shape.adjacency} of this domain can hold ${job.shapeKey}`)
    return true
  }

  /**
   * A caller may have as many queued jobs as there are free places in the queue. The heaviest caller thus
   * fills at most half of its customer's queue, and a new caller always finds a free place.
   */
  #refuseIfQueueFull (job: Job): boolean {
    if (!this.#isEnabled('bounded-queues')) return false
    const account = this.#queues.customerOf(job.metadata.customer)
    const queue = account.urgencies[job.urgencyIndex]!
    const byCaller = account.callers.get(job.metadata.caller)?.queuedByUrgency[job.urgencyIndex] ?? 0
    const room = account.maxQueued - queue.size
    if (byCaller < room) return false
    const retryAfterMs = clampRetry(queue.work / this.#expectedAcceleratorsOf(account) / 10)
    job.explain(this.#nowMs, 'queue-limit', { queued: queue.size, maxQueued: account.maxQueued, byCaller })
    this.#refuse(job, 'queue-full', `${queue.size} of ${account.maxQueued} ${job.metadata.urgency} requests are queued, ${byCaller} of this caller`, retryAfterMs)
    return true
  }

  #refuseIfTooLate (job: Job, waitMs: number): boolean {
    if (!this.#isEnabled('deadlines') || waitMs <= job.metadata.deadlineMs) return false
    job.explain(this.#nowMs, 'backlog', { expectedWaitMs: Math.round(waitMs), deadlineMs: job.metadata.deadlineMs })
    this.#refuse(job, 'deadline-unreachable', `the backlog takes ${Math.round(waitMs)} ms, the deadline is ${job.metadata.deadlineMs} ms`, clampRetry(waitMs - job.metadata.deadlineMs))
    return true
  }

  /** Estimates the time until the work ahead of a new job has started, on the accelerators that its customer can expect. */
  #estimateWait (job: Job): number {
    const account = this.#queues.customerOf(job.metadata.customer)
    if (account.queued === 0) return 0
    let ahead = 0
    let aheadOfCaller = 0
    const caller = account.callers.get(job.metadata.caller)
    for (let urgency = 0; urgency <= job.urgencyIndex; urgency++) {
      ahead += account.urgencies[urgency]!.work
      aheadOfCaller += caller?.workByUrgency[urgency] ?? 0
    }
    // Callers take turns, so that a caller waits for its own work times the number of callers.
    if (this.#isEnabled('caller-fairness')) ahead = Math.min(ahead, (aheadOfCaller + this.#workOf(job)) * account.callers.size)
    return ahead / this.#expectedAcceleratorsOf(account)
  }

  /** Returns the accelerators that a customer can expect: its guarantee, or its weighted part of the domain among active customers if that is more. */
  #expectedAcceleratorsOf (account: CustomerAccount): number {
    let priorities = account.priority
    for (const other of this.#queues.customers) {
      if (other !== account && (other.queued > 0 || other.running.size > 0)) priorities += other.priority
    }
    return Math.max(1, account.guaranteedAccelerators, this.#fleet.totalAccelerators * account.priority / priorities)
  }

  #refuseExpired (): void {
    for (const job of this.#deadlines.takeExpired(this.#nowMs)) {
      if (job.phase !== 'queued' || job.hasStarted) continue
      this.#refuse(job, 'deadline-passed', `not started within ${job.metadata.deadlineMs} ms`)
    }
  }

  #putEndpoint (info: EndpointInfo): void {
    if (!this.#capacityHistory.record(info)) return
    const known = this.#fleet.get(info.id)
    const worker = this.#fleet.put(info)
    if (!known || known === worker) return
    // A restarted endpoint has no failure or run-time history.
    this.#quarantine.remove(info.id)
    this.#outlierDetector.remove(info.id)
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
    const fits = allocations.every(({ worker, tasks }) => worker.freeAccelerators >= tasks * meta.shape.acceleratorsPerTask && worker.freeSlots >= tasks * meta.shape.slotsPerTask)
    if (fits) this.#fleet.allocate(job, allocations)
    this.#recordUsage(job, 1)
    job.enter('running')
    job.startedAtMs = this.#nowMs
    this.#running += 1
    job.explain(this.#nowMs, 'adopted', { tasks: assignments.length })
    if (fits) return
    // Two gangs claim the same slots. The endpoints know which one actually runs, so the gang adopted later is stopped.
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
    job.hasStarted = true
    this.#deadlines.remove(job)
  }

  #handleStartFailure (jobId: JobId, refusedBy: readonly EndpointId[]): void {
    const job = this.#jobs.get(jobId)
    if (job?.phase !== 'starting') return
    this.#releaseSlots(job)
    for (const id of refusedBy) this.#excludeWorker(id)
    if (job.stoppingSinceMs !== undefined) return this.#refuse(job, 'cancelled', 'cancelled before it ran')
    if (job.attempt >= MAX_START_ATTEMPTS) return this.#refuse(job, 'gang-not-started', `not started whole after ${job.attempt} attempts`)
    job.explain(this.#nowMs, 'start-failed', { attempt: job.attempt, refusedBy: refusedBy.length })
    this.#requeue(job)
  }

  /** Excludes a worker that refused a start from placement until its reservations have expired. */
  #excludeWorker (id: EndpointId): void {
    const worker = this.#fleet.get(id)
    if (!worker) return
    this.#excludedUntilMs.set(worker, this.#nowMs + REFUSAL_PAUSE_MS)
    this.#fleet.setRefusing(worker, true)
  }

  #readmitWorkers (): void {
    for (const [worker, untilMs] of this.#excludedUntilMs) {
      if (this.#nowMs < untilMs) continue
      this.#excludedUntilMs.delete(worker)
      this.#fleet.setRefusing(worker, false)
    }
  }

  #finish (jobId: JobId, result: FinishResult, tasks: readonly TaskReport[]): void {
    const job = this.#jobs.get(jobId)
    if (!job?.holdsSlots) return
    this.#releaseSlots(job)
    if (result === 'ok') this.#recordRunTimes(job, tasks)
    this.#recordOutcome(job, result, tasks)
    job.explain(this.#nowMs, `finished-${result}`, { tasks: tasks.length })
    if (result === 'failed' && this.#isEnabled('quarantine') && job.failedOn.size >= JOB_SUSPECT_WORKERS) {
      this.#applyQuarantineChange(this.#quarantine.discardFailuresOf(job))
      return this.#refuse(job, 'job-suspect', `failed on ${job.failedOn.size} workers`)
    }
    if (result === 'ok' || result === 'cancelled') return this.#end(job)
    if (result === 'lost' && this.#crashTracker.judge(job, this.#fleet.size) === 'guilty') return this.#refuse(job, 'job-suspect', 'endpoint after endpoint crashed while it ran there')
    if (!job.metadata.idempotent) return this.#refuse(job, errorKindOf(result), `non-idempotent work ended as ${result}`)
    if (job.attempt >= MAX_START_ATTEMPTS) return this.#refuse(job, errorKindOf(result), `ended as ${result} after ${job.attempt} attempts`)
    if (result !== 'preempted' && this.#isEnabled('retry-budget') && !this.#retryBudget.tryTake(this.#nowMs)) {
      return this.#refuse(job, errorKindOf(result), `ended as ${result}; the retry budget is spent`)
    }
    this.#requeue(job)
  }

  #recordCrash (endpointId: EndpointId): void {
    const worker = this.#fleet.get(endpointId)
    if (!worker) return
    const jobs = [...this.#jobs.values()].filter((job) => job.holdsSlots && tasksOn(job, worker) > 0)
    this.#crashTracker.record(endpointId, jobs, this.#nowMs)
  }

  /** Records the outcome of each task for quarantine. Tasks of a failed gang that did not fail themselves were stopped early and are ignored. */
  #recordOutcome (job: Job, result: FinishResult, tasks: readonly TaskReport[]): void {
    for (const task of tasks) {
      if (result === 'failed' && !task.ok) {
        job.failedOn.add(task.endpointId)
        if (this.#isEnabled('quarantine')) this.#applyQuarantineChange(this.#quarantine.recordFailure(task.endpointId, job, this.#fleet.size, this.#nowMs))
      }
      if (result !== 'ok') continue
      if (this.#isEnabled('quarantine')) this.#applyQuarantineChange(this.#quarantine.recordSuccess(task.endpointId, job))
    }
    this.#quarantine.endProbe(job, this.#nowMs)
  }

  #applyQuarantineChange ({ quarantined, released, massSuspicion }: QuarantineChange): void {
    for (const id of quarantined) this.#fleet.setQuarantined(id, true)
    for (const id of released) this.#fleet.setQuarantined(id, false)
    if (massSuspicion) this.#massSuspicions += 1
  }

  /** Places one task on each quarantined worker that is due for a probe, preferably of the least urgent idempotent work. */
  #probe (): void {
    if (this.#quarantine.quarantined === 0) return
    for (const id of this.#quarantine.listProbeable(this.#nowMs)) {
      const worker = this.#fleet.get(id)
      if (!worker?.up || worker.drained || worker.info.leaving || worker.jobs.size > 0) continue
      const job = this.#findProbeJob(worker)
      if (!job) continue
      this.#quarantine.startProbe(id, job)
      this.#place(job, [{ worker, tasks: 1 }], 'probe')
    }
  }

  #findProbeJob (worker: Worker): Job | undefined {
    let found: Job | undefined
    for (const heap of this.#queues.shapes.values()) {
      const job = heap.peek()!.next(this.#isEnabled('caller-fairness'))!
      if (job.shape.tasks !== 1 || !job.metadata.idempotent || job.failedOn.size > 0) continue
      if (job.accelerators > worker.freeAccelerators || job.slots > worker.freeSlots) continue
      if (!found || job.urgencyIndex > found.urgencyIndex) found = job
    }
    return found
  }

  /** Records run times, except of work that was restarted, which reports only its last part, and of throttled work, which takes longer. */
  #recordRunTimes (job: Job, tasks: readonly TaskReport[]): void {
    if (job.attempt > 1 || job.throttleFraction < 1 || tasks.length === 0) return
    const runMs = tasks.reduce((longest, task) => Math.max(longest, task.runMs), 0)
    if (this.#isEnabled('outliers')) this.#detectOutliers(job, tasks)
    this.#runTimes.record(toWorkGroup(job), { runMs })
  }

  #detectOutliers (job: Job, tasks: readonly TaskReport[]): void {
    const { p50Ms, samples } = this.#estimateRun(job)
    // A gang runs as slowly as its slowest task, so that its run times do not show which worker is slow.
    if (samples === 0 || tasks.length > 1) return
    for (const { endpointId, runMs } of tasks) {
      this.#outlierDetector.record(endpointId, runMs / p50Ms)
      const worker = this.#fleet.get(endpointId)
      if (worker) worker.isOutlier = this.#outlierDetector.isOutlier(endpointId)
    }
  }

  #releaseSlots (job: Job): void {
    const { allocations } = job
    this.#recordUsage(job, -1)
    this.#fleet.release(job)
    this.#running -= 1
    for (const { worker } of allocations) this.#moveIntoGuarantee(job, worker)
    job.startedAtMs = undefined
  }

  /** Counts the customer's other work on this worker against the guaranteed capacity that became free. */
  #moveIntoGuarantee (job: Job, worker: Worker): void {
    if (!this.#guaranteePlacement.capacitiesOf(job.metadata.customer)?.has(worker)) return
    for (const other of worker.jobs) if (other.metadata.customer === job.metadata.customer) this.#tryUseGuarantee(other)
    this.#updateWeightedShare(this.#queues.customerOf(job.metadata.customer))
  }

  #requeue (job: Job): void {
    job.enter('queued')
    job.stoppingSinceMs = undefined
    job.guaranteeWaitSinceMs = undefined
    job.isBackfill = false
    job.throttleFraction = 1
    this.#queues.add(job, true, this.#workOf(job))
  }

  #refuse (job: Job, kind: ErrorKind, detail: string, retryAfterMs?: number): void {
    job.explain(this.#nowMs, kind, { detail, ...(retryAfterMs !== undefined && { retryAfterMs }) })
    this.#decisions.push({ type: 'refuse', jobId: job.id, kind, detail, ...(retryAfterMs !== undefined && { retryAfterMs }) })
    this.#end(job)
  }

  #end (job: Job): void {
    this.#dropPendingPlacement(job)
    this.#queues.remove(job)
    this.#deadlines.remove(job)
    job.enter('finished')
    this.#jobs.delete(job.id)
    this.#ended.set(job.id, job)
    if (this.#ended.size <= MAX_ENDED_JOBS) return
    const [oldest] = this.#ended.keys()
    this.#ended.delete(oldest!)
  }

  #isEnabled (rule: Rule): boolean {
    return this.#policy.rules.has(rule)
  }

  /** Estimated accelerator milliseconds of a job; slot-only work counts by its slots. */
  #workOf (job: Job): number {
    return Math.max(1, job.accelerators, job.slots) * this.#estimateRun(job).lowMs
  }

  #estimateRun (job: Job): RunTimeEstimate {
    const { expectedRunMs } = job.metadata
    if (this.#isEnabled('learning')) return this.#runTimes.estimate(toWorkGroup(job), expectedRunMs)
    return { lowMs: expectedRunMs, p50Ms: expectedRunMs, p90Ms: expectedRunMs, samples: 0 }
  }

  #recordUsage (job: Job, sign: 1 | -1): void {
    const account = this.#queues.customerOf(job.metadata.customer)
    if (sign === -1 && job.usesGuarantee) this.#releaseGuarantee(job)
    account.borrowedAccelerators += sign * job.accelerators
    account.borrowedSlots += sign * job.slots
    this.#queues.recordUsage(job, sign)
    if (sign === 1) this.#tryUseGuarantee(job)
    this.#updateWeightedShare(account)
  }

  /** Counts a running job against its customer's guarantee if all of it is placed on guaranteed capacity. */
  #tryUseGuarantee (job: Job): void {
    if (job.usesGuarantee) return
    const account = this.#queues.customerOf(job.metadata.customer)
    job.isGuaranteedShape = account.guaranteedShapes.has(job.shapeKey)
    const moved = job.isGuaranteedShape ? this.#displaceFromGuarantee(account, job.allocations) : []
    job.usesGuarantee = this.#guaranteePlacement.tryUse(account.id, job.shape, job.allocations)
    for (const other of moved) this.#tryUseGuarantee(other)
    if (!job.usesGuarantee) return
    account.borrowedAccelerators -= job.accelerators
    account.borrowedSlots -= job.slots
  }

  /** Counts the customer's other work on these workers as borrowed, so that a guaranteed shape can use the guaranteed capacity. */
  #displaceFromGuarantee (account: CustomerAccount, allocations: readonly Allocation[]): Job[] {
    const moved: Job[] = []
    for (const { worker } of allocations) {
      for (const other of worker.jobs) {
        if (!other.usesGuarantee || other.isGuaranteedShape || other.metadata.customer !== account.id) continue
        this.#releaseGuarantee(other)
        moved.push(other)
      }
    }
    return moved
  }

  #releaseGuarantee (job: Job): void {
    const account = this.#queues.customerOf(job.metadata.customer)
    this.#guaranteePlacement.release(job.metadata.customer, job.shape, job.allocations)
    job.usesGuarantee = false
    account.borrowedAccelerators += job.accelerators
    account.borrowedSlots += job.slots
  }

  #updateWeightedShare (account: CustomerAccount): void {
    this.#queues.setWeightedShare(account, this.#isEnabled('customer-fairness') ? this.#dominantShareOf(account) : 0)
  }

  #dispatch (): void {
    if (this.#policy.order === 'arrival') return this.#dispatchInOrder()
    this.#applyLayoutChange()
    this.#servePendingPlacements()
    this.#probe()
    for (let i = 0; i < MAX_PLACEMENTS_PER_EVENT; i++) {
      if (!this.#placeGuaranteed() && !this.#placeNext()) return
    }
  }

  /** Places the jobs whose capacity has become free and queues those again that waited too long for it. */
  #servePendingPlacements (): void {
    for (const pending of [...this.#pendingPlacements.values()]) {
      const { job, allocations, untilMs, rule } = pending
      if (this.#isFree(pending)) {
        this.#dropPendingPlacement(job)
        this.#place(job, allocations, rule)
      } else if (this.#nowMs >= untilMs || this.#canUseGuarantee(pending) || allocations.some(({ worker }) => !worker.isUsable)) {
        this.#dropPendingPlacement(job)
        this.#queues.add(job, true, this.#workOf(job))
      } else if (pending.kind === 'plan' && this.#nowMs >= pending.startAtMs) {
        this.#preemptBackfill(pending)
      }
    }
  }

  /** Returns whether a job with a planned start now fits into its guarantee, which starts it sooner. */
  #canUseGuarantee ({ kind, job }: PendingPlacement): boolean {
    const account = this.#queues.customerOf(job.metadata.customer)
    if (kind !== 'plan' || !account.guaranteedShapes.has(job.shapeKey)) return false
    const candidates = this.#guaranteePlacement.listCandidates(account.id, job.shape, true)
    return chooseAdjacent(job.shape, candidates.map((candidate) => ({ ...candidate, cost: 0 }))) !== undefined
  }

  #isFree ({ kind, job, allocations }: PendingPlacement): boolean {
    const { shape } = job
    return allocations.every(({ worker, tasks }) => {
      const accelerators = kind === 'plan' ? worker.unnominatedAccelerators : worker.freeAccelerators
      const slots = kind === 'plan' ? worker.unnominatedSlots : worker.freeSlots
      return worker.isUsable && accelerators >= tasks * shape.acceleratorsPerTask && slots >= tasks * shape.slotsPerTask
    })
  }

  /** Preempts backfilled work that runs longer than expected, so that it does not delay the planned start. */
  #preemptBackfill ({ job, allocations, rule }: PendingPlacement): void {
    for (const { worker } of allocations) {
      for (const other of worker.jobs) {
        if (other.isBackfill && other.phase === 'running' && other.stoppingSinceMs === undefined) this.#preempt(other, job, rule)
      }
    }
  }

  #handleTick (): void {
    this.#planLargeJobs()
    if (this.#isEnabled('urgent-preemption')) this.#preemptForUrgent()
  }

  /** Preempts the newest bulk work for urgent work that waits behind it. */
  #preemptForUrgent (): void {
    for (const account of this.#queues.customers) {
      const job = account.urgencies[0]!.arrivals.head?.value
      if (!job || this.#nowMs - job.submittedAtMs < URGENT_PREEMPT_AFTER_MS || this.#hasUrgentPlacement(account)) continue
      const candidates = this.#listWorkersWithVictims(account, job)
      const reclaim = planReclaim(job.shape, candidates, this.#nowMs, (victim) => this.#mayPreemptForUrgent(victim, account, job))
      if (reclaim && reclaim.victims.length > 0) this.#reclaimForUrgent(job, reclaim)
    }
  }

  #hasUrgentPlacement (account: CustomerAccount): boolean {
    for (const { kind, job } of this.#pendingPlacements.values()) if (kind === 'urgent' && job.metadata.customer === account.id) return true
    return false
  }

  /** Lists the workers that run the newest bulk work of the customer itself and of the customer with the largest share. */
  #listWorkersWithVictims (account: CustomerAccount, job: Job): Candidate[] {
    let largest = account
    for (const other of this.#queues.customers) if (other.weightedShare > largest.weightedShare) largest = other
    const workers = new Set<Worker>()
    for (const owner of new Set([account, largest])) {
      let node = owner.runningByUrgency.at(-1)!.tail
      for (let i = 0; node && i < MAX_VICTIM_CANDIDATES; i++, node = node.prev) {
        if (this.#mayPreemptForUrgent(node.value, account, job)) for (const { worker } of node.value.allocations) workers.add(worker)
      }
    }
    return [...workers].flatMap((worker) => {
      const tasks = worker.isUsable ? countTasks(worker.info.accelerators, worker.info.slots, job.shape) : 0
      return tasks > 0 ? [{ worker, tasks }] : []
    })
  }

  /** Returns whether the victim is long-running bulk work of the same customer, or of one whose share would still be larger. */
  #mayPreemptForUrgent (victim: Job, account: CustomerAccount, job: Job): boolean {
    if (victim.urgencyIndex !== URGENCIES.length - 1 || !victim.metadata.idempotent || victim.stoppingSinceMs !== undefined) return false
    if (this.#expectedEndMs(victim) - this.#nowMs < MIN_VICTIM_REMAINING_MS) return false
    if (victim.metadata.customer === account.id) return true
    const owner = this.#queues.customerOf(victim.metadata.customer)
    return !victim.usesGuarantee && owner.weightedShare > account.weightedShare + job.accelerators / Math.max(1, this.#fleet.totalAccelerators)
  }

  #reclaimForUrgent (job: Job, reclaim: Reclaim): void {
    const rule = 'urgent-preemption'
    this.#queues.remove(job)
    this.#fleet.addNominated(job, reclaim.allocations, 1)
    this.#pendingPlacements.set(job, { kind: 'urgent', job, allocations: reclaim.allocations, sinceMs: this.#nowMs, startAtMs: this.#nowMs, untilMs: this.#nowMs + PREEMPT_RETRY_MS, rule })
    job.explain(this.#nowMs, rule, { victims: reclaim.victims.length, lostAcceleratorMs: reclaim.loss, waitedMs: this.#nowMs - job.submittedAtMs })
    for (const victim of reclaim.victims) this.#preempt(victim, job, rule)
  }

  /**
   * Throttles bulk work that shares an overused worker with more urgent or guaranteed work, in proportion
   * to the excess; this is enough, so nothing has to be stopped. A job is throttled only once, because
   * the next reports still show the use before the throttle.
   */
  #handleUsage (endpointId: EndpointId, busy: number): void {
    const worker = this.#fleet.get(endpointId)
    if (!worker || !this.#isEnabled('throttle')) return
    const jobs = [...worker.jobs].filter((job) => job.phase === 'running' && job.stoppingSinceMs === undefined)
    const isBulk = (job: Job): boolean => job.urgencyIndex === URGENCIES.length - 1 && !job.usesGuarantee
    const isShared = jobs.some((job) => !isBulk(job))
    const ratio = busy / Math.max(1, worker.info.accelerators)
    for (const job of jobs.filter(isBulk)) {
      if (isShared && ratio > OVERUSE_RATIO && job.throttleFraction === 1) this.#throttle(job, Math.max(MIN_THROTTLE_FRACTION, 1 / ratio), busy)
      else if (!isShared && job.throttleFraction < 1) this.#throttle(job, 1, busy)
    }
  }

  #throttle (job: Job, fraction: number, busy: number): void {
    if (job.throttleFraction === fraction) return
    job.throttleFraction = fraction
    const rule = fraction < 1 ? 'throttle-overuse' : 'lift-throttle'
    job.explain(this.#nowMs, rule, { fraction, acceleratorsBusy: busy })
    this.#decisions.push({ type: 'throttle', jobId: job.id, fraction, rule })
  }

  /** Plans the start of large jobs that have waited long enough; considers only the next job of each shape. */
  #planLargeJobs (): void {
    if (!this.#isEnabled('planned-starts')) return
    for (const heap of [...this.#queues.shapes.values()]) {
      const plans = [...this.#pendingPlacements.values()].filter(({ kind }) => kind === 'plan')
      if (plans.length >= MAX_PLANS) return
      const shapeClass = heap.peek()!
      const job = shapeClass.next(this.#isEnabled('caller-fairness'))!
      if (!isLarge(job) || plans.some((plan) => plan.job.metadata.customer === job.metadata.customer)) continue
      const waitedMs = this.#nowMs - job.submittedAtMs
      if (waitedMs < PLAN_AFTER_MS) continue
      // A guaranteed shape is placed on its guarantee as soon as another job of that shape ends.
      const isNext = this.#hasLeastShare(shapeClass.account) && !shapeClass.account.guaranteedShapes.has(job.shapeKey)
      if (waitedMs < PLAN_AT_LATEST_MS && !isNext) continue
      const plan = planStart(this.#fleet, job.shape, this.#nowMs, (other) => this.#expectedEndMs(other))
      if (plan) this.#addPlannedStart(job, plan)
    }
  }

  #hasLeastShare (account: CustomerAccount): boolean {
    for (const heap of this.#queues.shapes.values()) if (heap.peek()!.account.weightedShare < account.weightedShare) return false
    return true
  }

  #expectedEndMs (job: Job): number {
    const { p50Ms } = this.#estimateRun(job)
    const ranMs = this.#nowMs - (job.startedAtMs ?? this.#nowMs)
    // A job is assumed to need at least another half of the median run time.
    return this.#nowMs + Math.max(p50Ms - ranMs, p50Ms / 2)
  }

  #addPlannedStart (job: Job, { allocations, startAtMs }: PlannedStart): void {
    this.#queues.remove(job)
    this.#fleet.addPlanned(job, allocations, 1)
    this.#pendingPlacements.set(job, { kind: 'plan', job, allocations, sinceMs: this.#nowMs, startAtMs, untilMs: startAtMs + PLAN_EXPIRY_MS, rule: 'planned-start' })
    job.explain(this.#nowMs, 'planned-start', { startInMs: Math.round(startAtMs - this.#nowMs), workers: allocations.length })
  }

  /** Finds capacity set aside for a planned start, for idempotent work that is expected to end before that start. */
  #findBackfill (job: Job): readonly Allocation[] | undefined {
    if (!this.#isEnabled('backfill') || job.shape.tasks !== 1 || !job.metadata.idempotent) return undefined
    const endMs = this.#nowMs + this.#estimateRun(job).p90Ms
    for (const { kind, startAtMs, allocations } of this.#pendingPlacements.values()) {
      if (kind !== 'plan' || endMs > startAtMs) continue
      const found = allocations.find(({ worker }) => worker.isUsable && worker.unnominatedAccelerators >= job.accelerators && worker.unnominatedSlots >= job.slots)
      if (found) return [{ worker: found.worker, tasks: 1 }]
    }
    return undefined
  }

  #reclaimForGuarantee (job: Job, reclaim: Reclaim, rule: string): void {
    this.#queues.remove(job)
    this.#fleet.addNominated(job, reclaim.allocations, 1)
    const account = this.#queues.customerOf(job.metadata.customer)
    job.isGuaranteedShape = account.guaranteedShapes.has(job.shapeKey)
    const moved = job.isGuaranteedShape ? this.#displaceFromGuarantee(account, reclaim.allocations) : []
    const isSeated = this.#guaranteePlacement.tryUse(job.metadata.customer, job.shape, reclaim.allocations)
    invariant(isSeated, `reclaimed capacity of job ${job.id} lies within the guarantee of its customer`)
    for (const other of moved) if (!reclaim.victims.includes(other)) this.#tryUseGuarantee(other)
    this.#pendingPlacements.set(job, { kind: 'reclaim', job, allocations: reclaim.allocations, sinceMs: this.#nowMs, startAtMs: this.#nowMs, untilMs: this.#nowMs + PREEMPT_RETRY_MS, rule })
    job.explain(this.#nowMs, rule, { victims: reclaim.victims.length, lostAcceleratorMs: reclaim.loss })
    for (const victim of reclaim.victims) this.#preempt(victim, job, rule)
  }

  #dropPendingPlacement (job: Job): void {
    const pending = this.#pendingPlacements.get(job)
    if (!pending) return
    this.#pendingPlacements.delete(job)
    if (pending.kind === 'plan') return this.#fleet.addPlanned(job, pending.allocations, -1)
    if (pending.kind === 'reclaim') this.#guaranteePlacement.release(job.metadata.customer, job.shape, pending.allocations)
    this.#fleet.addNominated(job, pending.allocations, -1)
  }

  #preempt (victim: Job, beneficiary: Job, rule: string): void {
    victim.stoppingSinceMs = this.#nowMs
    victim.explain(this.#nowMs, 'preempted', { beneficiary: beneficiary.id, customer: beneficiary.metadata.customer })
    this.#decisions.push({ type: 'preempt', jobId: victim.id, beneficiary: beneficiary.id, rule })
  }

  /** Places one job within its customer's unused guarantee, or preempts borrowed work for it. */
  #placeGuaranteed (): boolean {
    if (!this.#isEnabled('guarantees')) return false
    for (const account of this.#guaranteedCustomers) {
      if (account.queued === 0 || !this.#mayUseGuarantee(account)) continue
      for (const queue of this.#listByUrgency(account)) {
        for (const shapeClass of queue.classes.values()) {
          if (shapeClass.guaranteeBlockedEpoch === this.#fleet.epoch && this.#nowMs < shapeClass.guaranteeRetryAtMs) continue
          if (this.#serveGuarantee(account, shapeClass)) return true
        }
      }
    }
    return false
  }

  /** Cheap check that avoids searching the guaranteed capacity of most customers. */
  #mayUseGuarantee (account: CustomerAccount): boolean {
    if (account.usedAccelerators < account.guaranteedAccelerators || account.usedSlots < account.guaranteedSlots) return true
    return account.queuedGuaranteed > 0
  }

  #serveGuarantee (account: CustomerAccount, shapeClass: ShapeClass): boolean {
    const job = shapeClass.next(this.#isEnabled('caller-fairness'))!
    const isGuaranteedShape = account.guaranteedShapes.has(job.shapeKey)
    if (!isGuaranteedShape && !isWithinGuarantee(account, job)) return this.#deferGuarantee(shapeClass, Infinity)
    const candidates = this.#guaranteePlacement.listCandidates(account.id, job.shape, isGuaranteedShape)
    const vacant = findFreeAllocations(job.shape, candidates)
    // Other shapes use the guaranteed capacity only when no other capacity is free.
    if (vacant && isGuaranteedShape) return this.#place(job, vacant, 'guarantee')
    const fitsGuarantee = chooseAdjacent(job.shape, candidates.map((candidate) => ({ ...candidate, cost: 0 }))) !== undefined
    if (!fitsGuarantee) return this.#deferGuarantee(shapeClass, Infinity)
    const elsewhere = this.#search(job)
    if (elsewhere) return this.#place(job, elsewhere, 'guarantee-elsewhere')
    if (vacant) return this.#place(job, vacant, 'guarantee')
    job.guaranteeWaitSinceMs ??= this.#nowMs
    const reclaimAtMs = job.guaranteeWaitSinceMs + RECLAIM_DELAY_MS
    if (this.#nowMs < reclaimAtMs || this.#pendingPlacements.size >= MAX_PENDING_PLACEMENTS) return this.#deferGuarantee(shapeClass, reclaimAtMs)
    job.isGuaranteedShape = isGuaranteedShape
    const reclaim = planReclaim(job.shape, candidates, this.#nowMs, (victim) => !victim.usesGuarantee || this.#mayPreemptInGuarantee(victim, job))
    if (!reclaim) return this.#deferGuarantee(shapeClass, this.#nowMs + RECLAIM_DELAY_MS)
    this.#reclaimForGuarantee(job, reclaim, 'reclaim-guarantee')
    return true
  }

  /** Returns whether a job of a guaranteed shape may preempt this work of its own customer, which must not be more urgent. */
  #mayPreemptInGuarantee (victim: Job, job: Job): boolean {
    return job.isGuaranteedShape && !victim.isGuaranteedShape && victim.metadata.customer === job.metadata.customer && victim.urgencyIndex >= job.urgencyIndex
  }

  #deferGuarantee (shapeClass: ShapeClass, untilMs: number): false {
    shapeClass.guaranteeBlockedEpoch = this.#fleet.epoch
    shapeClass.guaranteeRetryAtMs = untilMs
    return false
  }

  /** Replans guarantees and recomputes all shares, which are relative to the capacity of the domain. */
  #applyLayoutChange (): void {
    if (this.#layoutVersion === this.#fleet.layoutVersion) return
    this.#layoutVersion = this.#fleet.layoutVersion
    if (this.#isEnabled('guarantees')) this.#replanGuarantees()
    for (const account of this.#queues.customers) this.#updateWeightedShare(account)
  }

  /** Moves guarantees off lost workers and recounts which jobs use them. */
  #replanGuarantees (): void {
    for (const { job } of [...this.#pendingPlacements.values()]) {
      this.#dropPendingPlacement(job)
      this.#queues.add(job, true, this.#workOf(job))
    }
    const guaranteedJobs: Job[] = []
    // Includes customers that have lost their guarantees: their work is borrowed from now on.
    for (const account of this.#queues.customers) {
      for (const job of account.running) {
        if (!job.usesGuarantee) continue
        guaranteedJobs.push(job)
        this.#releaseGuarantee(job)
      }
    }
    this.#guaranteePlacement.replan(this.#fleet)
    for (const job of guaranteedJobs) this.#tryUseGuarantee(job)
    for (const account of this.#guaranteedCustomers) for (const job of account.running) this.#tryUseGuarantee(job)
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
    this.#successfulSearches.clear()
    let next: CustomerAccount | undefined
    for (const heap of this.#queues.shapes.values()) {
      const shapeClass = heap.peek()!
      if (!this.#mayFit(shapeClass)) continue
      const job = shapeClass.next(this.#isEnabled('caller-fairness'))!
      if (!this.#search(job)) {
        shapeClass.blockedEpoch = this.#fleet.epoch
        const backfill = this.#findBackfill(job)
        if (!backfill) continue
        job.isBackfill = true
        return this.#place(job, backfill, 'backfill')
      }
      if (!next || this.#isNext(shapeClass.account, next)) next = shapeClass.account
    }
    return next !== undefined && this.#placeNextOf(next)
  }

  #isNext (a: CustomerAccount, b: CustomerAccount): boolean {
    if (a === b) return false
    return a.weightedShare === b.weightedShare ? a.lastServed < b.lastServed : a.weightedShare < b.weightedShare
  }

  #mayFit (shapeClass: ShapeClass): boolean {
    return shapeClass.blockedEpoch !== this.#fleet.epoch && !this.#hasFailedSearch(shapeClass.key)
  }

  #hasFailedSearch (shapeKey: string): boolean {
    return this.#failedSearches.get(shapeKey) === this.#fleet.epoch
  }

  /** Returns the dominant share of a customer's use above its guarantees, divided by its priority. */
  #dominantShareOf (account: CustomerAccount): number {
    const borrowed = { accelerators: account.borrowedAccelerators, slots: account.borrowedSlots }
    const total = { accelerators: this.#fleet.totalAccelerators, slots: this.#fleet.totalSlots }
    return getDominantShare(borrowed, total, account.priority)
  }

  #placeNextOf (account: CustomerAccount): boolean {
    for (const queue of this.#listByUrgency(account)) {
      if (this.#placeFrom(account, queue)) return true
    }
    return false
  }

  /** The most urgent queue first, unless a less urgent one has had no start for its ageing time. */
  #listByUrgency (account: CustomerAccount): UrgencyQueue[] {
    const waiting = account.urgencies.filter((queue) => queue.size > 0)
    if (waiting.length < 2) return waiting
    if (!this.#isEnabled('urgency')) return waiting.sort((a, b) => a.arrivals.head!.value.submittedAtMs - b.arrivals.head!.value.submittedAtMs)
    if (!this.#isEnabled('ageing')) return waiting
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
      const job = shapeClass.next(this.#isEnabled('caller-fairness'))!
      const allocations = this.#search(job)
      if (allocations) {
        this.#place(job, allocations, this.#isEnabled('customer-fairness') ? 'dominant-resource-fairness' : 'arrival-order')
        return true
      }
      shapeClass.blockedEpoch = this.#fleet.epoch
    }
    return false
  }

  /** Picks, among the shapes that may fit, the one whose next caller uses the fewest accelerators. */
  #pickClass (queue: UrgencyQueue): ShapeClass | undefined {
    const fair = this.#isEnabled('caller-fairness')
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
    const account = this.#queues.customerOf(a.metadata.customer)
    const useOfA = account.callerOf(a.metadata.caller).accelerators
    const useOfB = account.callerOf(b.metadata.caller).accelerators
    return useOfA === useOfB ? a.submittedAtMs < b.submittedAtMs : useOfA < useOfB
  }

  #search (job: Job): readonly Allocation[] | undefined {
    if (this.#hasFailedSearch(job.shapeKey)) return undefined
    const known = this.#successfulSearches.get(job.shapeKey)
    if (known) return known
    const found = this.#isEnabled('best-fit') ? findBestFit(this.#fleet, job.shape, this.#isEnabled('home-scoring') ? costWithGuarantees : costOfRemainder) : findFirstFit(this.#fleet, job.shape)
    if (found) this.#successfulSearches.set(job.shapeKey, found)
    else this.#recordFailedSearch(job.shapeKey)
    return found
  }

  #recordFailedSearch (shapeKey: string): void {
    if (this.#failedSearches.size >= MAX_REMEMBERED_SHAPES) this.#failedSearches.clear()
    this.#failedSearches.set(shapeKey, this.#fleet.epoch)
  }

  #place (job: Job, allocations: readonly Allocation[], rule: string): true {
    this.#queues.remove(job)
    this.#fleet.allocate(job, allocations)
    job.enter('starting')
    this.#queues.customerOf(job.metadata.customer).urgencies[job.urgencyIndex]!.lastStartMs = this.#nowMs
    job.attempt += 1
    this.#running += 1
    this.#recordUsage(job, 1)
    this.#successfulSearches.clear()
    job.assignments = assignTasks(job, allocations)
    job.explain(this.#nowMs, rule, { waitMs: this.#nowMs - job.submittedAtMs, attempt: job.attempt })
    this.#decisions.push({ type: 'place', jobId: job.id, attempt: job.attempt, assignments: job.assignments, rule })
    return true
  }
}

const isWithinGuarantee = (account: CustomerAccount, job: Job): boolean =>
  account.usedAccelerators + job.accelerators <= account.guaranteedAccelerators && account.usedSlots + job.slots <= account.guaranteedSlots

const isLarge = (job: Job): boolean => job.shape.tasks > 1 || job.accelerators >= MIN_LARGE_ACCELERATORS

const toWorkGroup = ({ metadata: { customer, kind }, accelerators }: Job): WorkGroup => ({ customer, queue: kind, accelerators })

const clampRetry = (ms: number): number => Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms)))

const MAX_REMEMBERED_SHAPES = 1000

const errorKindOf = (result: FinishResult): ErrorKind => {
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
  invariant(assignments.length === job.shape.tasks, `job ${job.id} is placed as a whole`)
  return assignments
}
