import type { EndpointId, ErrorKind, JobId, TaskId } from '@ibisstair/common'
import { asId, assertNever, invariant } from '@ibisstair/common'
import type { Assignment, DomainShare, JobMetadata } from '@ibisstair/model'
import { MAX_ENDED_JOBS, MAX_PLACEMENTS_PER_EVENT, MAX_START_ATTEMPTS } from './constants.ts'
import { findFirstFit } from './first-fit.ts'
import { Fleet } from './fleet.ts'
import type { Allocation } from './entities.ts'
import { Job } from './entities.ts'
import { LinkedQueue } from './linked-queue.ts'
import type { Decision, DomainScheduler, Explanation, FinishResult, SchedulerEvent, SchedulerStats, TaskReport } from './types.ts'

/**
 * Schedules one failure domain. After `finished` with `failed`, `lost` or `preempted` the job is
 * either queued again, and a `place` follows, or a `refuse` in the same batch ends it.
 */
export class Scheduler implements DomainScheduler {
  readonly #fleet = new Fleet()
  readonly #jobs = new Map<JobId, Job>()
  readonly #ended = new Map<JobId, Job>()
  readonly #fifo = new LinkedQueue<Job>()
  #share: DomainShare | undefined
  #running = 0
  #decisions: Decision[] = []
  #nowMs = 0

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
    return { queued: this.#fifo.size, running: this.#running, freeAccelerators, totalAccelerators, freeSlots, quarantined: 0 }
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
  }

  #submit (jobId: JobId, meta: JobMetadata): void {
    if (this.#jobs.has(jobId)) return
    const job = new Job(jobId, meta, this.#nowMs)
    this.#jobs.set(jobId, job)
    const known = !this.#share || this.#share.customers.some((customer) => customer.id === meta.customer)
    if (!known) return this.#refuse(job, 'unknown-customer', `customer ${meta.customer} is not configured`)
    job.explain(this.#nowMs, 'admitted', { queued: this.#fifo.size })
    job.fifoNode = this.#fifo.push(job)
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
    job.startedAtMs = undefined
  }

  #requeue (job: Job): void {
    job.enter('queued')
    job.stoppingSinceMs = undefined
    job.fifoNode = this.#fifo.pushFront(job)
  }

  #refuse (job: Job, kind: ErrorKind, detail: string): void {
    job.explain(this.#nowMs, kind, { detail })
    this.#decisions.push({ type: 'refuse', jobId: job.id, kind, detail })
    this.#end(job)
  }

  #end (job: Job): void {
    if (job.fifoNode) this.#fifo.remove(job.fifoNode)
    job.enter('finished')
    this.#jobs.delete(job.id)
    this.#ended.set(job.id, job)
    if (this.#ended.size <= MAX_ENDED_JOBS) return
    const [oldest] = this.#ended.keys()
    this.#ended.delete(oldest!)
  }

  #dispatch (): void {
    for (let i = 0; i < MAX_PLACEMENTS_PER_EVENT; i++) {
      const job = this.#fifo.head?.value
      if (!job) return
      const allocations = findFirstFit(this.#fleet, job.shape)
      if (!allocations) return
      this.#place(job, allocations, 'first-come-first-served')
    }
  }

  #place (job: Job, allocations: readonly Allocation[], rule: string): void {
    if (job.fifoNode) this.#fifo.remove(job.fifoNode)
    this.#fleet.allocate(job, allocations)
    job.enter('starting')
    job.attempt += 1
    this.#running += 1
    job.assignments = assignTasks(job, allocations)
    job.explain(this.#nowMs, rule, { waitMs: this.#nowMs - job.submittedAtMs, attempt: job.attempt })
    this.#decisions.push({ type: 'place', jobId: job.id, attempt: job.attempt, assignments: job.assignments, rule })
  }
}

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
