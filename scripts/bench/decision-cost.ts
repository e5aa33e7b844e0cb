import { asId } from '@ibisstair/common'
import type { CallerId, CustomerId, EndpointId, JobId, KindOfWork, RackId, RequestKey } from '@ibisstair/common'
import type { JobMetadata, Shape } from '@ibisstair/model'
import { URGENCIES } from '@ibisstair/model'
import type { Decision, DomainScheduler, SchedulerEvent } from '@ibisstair/scheduler'
import { RandomSource, SystemTimerService } from '@ibisstair/timers'
import { toDomainId } from './fake-domain.ts'
import { createScheduler } from './policies.ts'

export interface DecisionCost {
  readonly policy: string
  readonly workers: number
  readonly queued: number
  readonly microseconds: number
  readonly perSecond: number
  /** Time to cancel a queued job at a random position. */
  readonly cancelMicroseconds: number
}

const RUNNING_TASKS = 16_000
const CUSTOMERS = 82
const CALLERS_PER_CUSTOMER = 20
const MEASURED_ROUNDS = 1500
const WARM_UP_ROUNDS = 300
const WORKERS_PER_RACK = 6
const timers = new SystemTimerService()

/** Keeps a scheduler under constant load: a new submission replaces each job that ends, so the queue keeps its length. */
class SteadyState {
  readonly scheduler: DomainScheduler
  readonly #random = new RandomSource(1)
  readonly #running: Extract<Decision, { type: 'place' }>[] = []
  #nextJobNumber = 0
  #nowMs = 0
  events = 0
  elapsedMs = 0
  #cancels = 0
  #cancelMs = 0

  constructor (policy: string, readonly workers: number, readonly queued: number) {
    this.scheduler = createScheduler(policy)
    // Slots for all running tasks plus 1 %, spread evenly over the workers.
    const slots = Math.ceil(RUNNING_TASKS * 1.01 / workers)
    const guarantees = [{ shape: { tasks: 1, acceleratorsPerTask: 8, slotsPerTask: 1, adjacency: 'worker' as const }, count: 2 }]
    this.#send({
      type: 'config',
      share: {
        version: 1,
        domain: toDomainId(0),
        customers: Array.from({ length: CUSTOMERS }, (_, i) => ({ id: asId<CustomerId>(`c${i}`), priority: 1, maxQueued: 100_000, guarantees })),
        kinds: [],
        drains: []
      }
    })
    for (let i = 0; i < workers; i++) {
      this.#send({
        type: 'endpoint-up',
        endpoint: {
          id: asId<EndpointId>(`w${i}`),
          incarnation: 1,
          sequence: 1,
          address: '127.0.0.1',
          port: 1,
          domain: toDomainId(0),
          rack: asId<RackId>(`r${Math.floor(i / WORKERS_PER_RACK)}`),
          slots,
          connections: 64,
          accelerators: slots,
          leaving: false
        }
      })
    }
    while (this.scheduler.getStats().queued < queued) this.#submit()
  }

  measure (): DecisionCost {
    for (let i = 0; i < WARM_UP_ROUNDS; i++) this.#runRound()
    this.events = 0
    this.elapsedMs = 0
    for (let i = 0; i < MEASURED_ROUNDS; i++) this.#runRound()
    const microseconds = 1000 * this.elapsedMs / this.events
    const cancelMicroseconds = 1000 * this.#cancelMs / Math.max(1, this.#cancels)
    return { policy: '', workers: this.workers, queued: this.queued, microseconds, perSecond: 1e6 / microseconds, cancelMicroseconds }
  }

  #runRound (): void {
    this.#nowMs += 1
    const index = this.#random.int(0, this.#running.length - 1)
    const ended = this.#running[index]!
    this.#running[index] = this.#running.at(-1)!
    this.#running.pop()
    const tasks = ended.assignments.map(({ index, endpointId }) => ({ index, endpointId, ok: true, runMs: 1000 }))
    this.#send({ type: 'finished', jobId: ended.jobId, result: 'ok', tasks })
    for (let i = 0; i < 8 && this.scheduler.getStats().queued < this.queued; i++) this.#submit()
    this.#cancelOne()
  }

  #submit (): JobId {
    const jobId = asId<JobId>(`j${this.#nextJobNumber++}`)
    this.#send({ type: 'submit', jobId, job: this.#createJob(jobId) })
    return jobId
  }

  #cancelOne (): void {
    const jobId = asId<JobId>(`j${this.#random.int(Math.max(0, this.#nextJobNumber - this.queued), this.#nextJobNumber - 1)}`)
    if (this.scheduler.explain(jobId).state !== 'queued') return
    const beforeMs = this.elapsedMs
    this.#send({ type: 'cancel', jobId })
    this.#cancels += 1
    this.#cancelMs += this.elapsedMs - beforeMs
    this.#submit()
  }

  #createJob (jobId: JobId): JobMetadata {
    const random = this.#random
    const draw = random.float()
    const shape: Shape = draw < 0.9
      ? { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }
      : draw < 0.98
        ? { tasks: 1, acceleratorsPerTask: 4, slotsPerTask: 4, adjacency: 'worker' }
        : { tasks: 4, acceleratorsPerTask: 2, slotsPerTask: 2, adjacency: 'rack' }
    const customer = random.int(0, CUSTOMERS - 1)
    return {
      key: asId<RequestKey>(jobId),
      customer: asId<CustomerId>(`c${customer}`),
      caller: asId<CallerId>(`c${customer}-${random.int(0, CALLERS_PER_CUSTOMER - 1)}`),
      kind: asId<KindOfWork>(`k${random.int(0, 2)}`),
      urgency: URGENCIES[random.int(0, 2)]!,
      shape,
      deadlineMs: 1e9,
      expectedRunMs: 1000,
      idempotent: true
    }
  }

  #send (event: SchedulerEvent): void {
    const startMs = timers.now()
    const decisions = this.scheduler.handle(event, this.#nowMs)
    this.elapsedMs += timers.now() - startMs
    this.events += 1
    for (const decision of decisions) {
      if (decision.type !== 'place') continue
      this.#running.push(decision)
      this.#send({ type: 'started', jobId: decision.jobId })
    }
  }
}

/** Measures the time to handle one event, including its decisions, in a fully loaded domain. */
export const measureDecisions = (policies: readonly string[]): DecisionCost[] => {
  const costs: DecisionCost[] = []
  for (const policy of policies) {
    for (const workers of [30, 300, 1700]) {
      for (const queued of [100, 1000, 10_000]) costs.push({ ...new SteadyState(policy, workers, queued).measure(), policy })
    }
  }
  return costs
}
