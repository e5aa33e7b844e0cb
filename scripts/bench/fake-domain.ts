import { asId } from '@ibisstair/common'
import type { CallerId, CustomerId, DomainId, EndpointId, JobId, KindOfWork, RackId, RequestKey } from '@ibisstair/common'
import type { DomainShare, JobMetadata } from '@ibisstair/model'
import type { Decision, DomainScheduler, FinishResult } from '@ibisstair/scheduler'
import type { ManualTimerService } from '@ibisstair/timers'
import type { Arrival } from './types.ts'

const START_DELAY_MS = 5
const STOP_DELAY_MS = 10
const CHECKPOINT_GRACE_MS = 2000
const FAILURE_DELAY_MS = 50
const TICK_MS = 100
const USAGE_PERIOD_MS = 1000
const USAGE_LAG_MS = 500

export interface FakeWorker {
  readonly id: string
  readonly rack: string
  readonly accelerators: number
  readonly failsEverything: boolean
  /** Run times are multiplied by this. */
  readonly slowdownFactor: number
  busy: number
  freeAccelerators: number
  readonly running: Set<RunningJob>
}

interface RunningJob {
  readonly arrival: Arrival
  readonly workers: readonly FakeWorker[]
  readonly endpoints: readonly string[]
  readonly startedAtMs: number
  remainingMs: number
  speed: number
  fraction: number
  updatedAtMs: number
  cancelTimer: () => void
}

/** Progress and outcome of one arrival. */
export interface Trace {
  readonly arrival: Arrival
  submittedAtMs: number
  firstStartAtMs: number | undefined
  finishedAtMs: number | undefined
  outcome: string | undefined
  checkpointedMs: number
  isWithinGuarantee: boolean
}

export interface DomainListener {
  onRefused (trace: Trace, kind: string, domain: FakeDomain): void
  onEnded (trace: Trace, domain: FakeDomain): void
}

/** Simulates the endpoints of one failure domain and the part of the control process that carries out the scheduler's decisions. */
export class FakeDomain {
  readonly workers = new Map<string, FakeWorker>()
  readonly #running = new Map<string, RunningJob>()
  readonly #traces = new Map<string, Trace>()
  preemptions = 0

  constructor (
    readonly scheduler: DomainScheduler,
    readonly timers: ManualTimerService,
    readonly share: DomainShare,
    workers: readonly FakeWorker[],
    readonly listener: DomainListener
  ) {
    this.#send({ type: 'config', share })
    for (const worker of workers) {
      this.workers.set(worker.id, worker)
      this.#registerEndpoint(worker)
    }
    timers.every(TICK_MS, () => this.#send({ type: 'tick' }))
    timers.every(USAGE_PERIOD_MS, () => this.#reportUsage())
  }

  submit (trace: Trace): void {
    this.#traces.set(trace.arrival.id, trace)
    this.#send({ type: 'submit', jobId: asId<JobId>(trace.arrival.id), job: toJobMetadata(trace.arrival) })
  }

  cancel (id: string): void {
    if (this.#traces.has(id)) this.#send({ type: 'cancel', jobId: asId<JobId>(id) })
  }

  #registerEndpoint (worker: FakeWorker): void {
    this.#send({
      type: 'endpoint-up',
      endpoint: {
        id: asId<EndpointId>(worker.id),
        incarnation: 1,
        sequence: 1,
        address: '127.0.0.1',
        port: 1,
        domain: this.share.domain,
        rack: asId<RackId>(worker.rack),
        slots: 8,
        connections: 64,
        accelerators: worker.accelerators,
        leaving: false
      }
    })
  }

  #send (event: Parameters<DomainScheduler['handle']>[0]): void {
    for (const decision of this.scheduler.handle(event, this.timers.now())) this.#applyDecision(decision)
  }

  #applyDecision (decision: Decision): void {
    const id: string = decision.jobId
    switch (decision.type) {
      case 'place': return this.#start(id, decision.assignments.map((a) => a.endpointId))
      case 'refuse': return this.#refuse(id, decision.kind)
      case 'preempt': {
        this.preemptions += 1
        this.timers.subscribe(CHECKPOINT_GRACE_MS, () => this.#stop(id, 'preempted'))
        return
      }
      case 'throttle': return this.#throttle(id, decision.fraction)
      case 'stop': {
        this.timers.subscribe(STOP_DELAY_MS, () => this.#stop(id, 'cancelled'))
      }
    }
  }

  #refuse (id: string, kind: string): void {
    const trace = this.#traces.get(id)
    if (!trace) return
    this.#traces.delete(id)
    this.listener.onRefused(trace, kind, this)
  }

  #start (id: string, endpoints: readonly string[]): void {
    const trace = this.#traces.get(id)!
    const workers = [...new Set(endpoints)].map((endpoint) => this.workers.get(endpoint)!)
    const { arrival } = trace
    const now = this.timers.now() + START_DELAY_MS
    trace.firstStartAtMs ??= now
    const job: RunningJob = {
      arrival, workers, endpoints, startedAtMs: now, remainingMs: arrival.runMs - trace.checkpointedMs, speed: 1, fraction: 1, updatedAtMs: now, cancelTimer: () => {}
    }
    this.#running.set(id, job)
    for (const endpoint of endpoints) this.workers.get(endpoint)!.freeAccelerators -= arrival.shape.acceleratorsPerTask
    this.timers.subscribe(START_DELAY_MS, () => {
      if (this.#running.get(id) !== job) return
      this.#send({ type: 'started', jobId: asId<JobId>(id) })
      if (workers.some((worker) => worker.failsEverything)) {
        job.cancelTimer = this.timers.subscribe(FAILURE_DELAY_MS, () => this.#finish(id, 'failed'))
        return
      }
      for (const worker of workers) worker.running.add(job)
      this.#rebalance(job)
    })
  }

  /** Updates the speed of the jobs that share a worker: tasks slow each other down when they need more accelerators than it has. */
  #rebalance (changed: RunningJob): void {
    const affected = new Set<RunningJob>([changed])
    if (changed.arrival.sizeFactor !== 1) {
      for (const worker of changed.workers) for (const job of worker.running) affected.add(job)
    }
    for (const worker of changed.workers) {
      worker.busy = 0
      for (const job of worker.running) worker.busy += countBusyAccelerators(job, worker)
    }
    for (const job of affected) if (this.#running.get(job.arrival.id) === job) this.#reschedule(job)
  }

  #reschedule (job: RunningJob): void {
    const now = this.timers.now()
    job.remainingMs -= Math.max(0, now - job.updatedAtMs) * job.speed
    job.updatedAtMs = now
    let slowdownFactor = 1
    for (const worker of job.workers) slowdownFactor = Math.max(slowdownFactor, worker.slowdownFactor * Math.max(1, worker.busy / worker.accelerators))
    job.speed = job.fraction / slowdownFactor
    job.cancelTimer()
    job.cancelTimer = this.timers.subscribe(Math.max(0, job.remainingMs) / job.speed, () => this.#finish(job.arrival.id, 'ok'))
  }

  #throttle (id: string, fraction: number): void {
    const job = this.#running.get(id)
    if (!job) return
    job.fraction = fraction
    this.#rebalance(job)
  }

  #stop (id: string, result: FinishResult): void {
    const job = this.#running.get(id)
    if (!job) return
    const trace = this.#traces.get(id)!
    if (result === 'preempted') trace.checkpointedMs = Math.max(0, job.arrival.runMs - job.remainingMs + Math.max(0, this.timers.now() - job.updatedAtMs) * job.speed)
    this.#finish(id, result)
  }

  #finish (id: string, result: FinishResult): void {
    const job = this.#running.get(id)!
    const trace = this.#traces.get(id)!
    job.cancelTimer()
    this.#running.delete(id)
    for (const endpoint of job.endpoints) this.workers.get(endpoint)!.freeAccelerators += job.arrival.shape.acceleratorsPerTask
    for (const worker of job.workers) worker.running.delete(job)
    if (job.arrival.sizeFactor !== 1) this.#rebalance(job)
    else for (const worker of job.workers) worker.busy -= countBusyAccelerators(job, worker)
    const runMs = this.timers.now() - job.startedAtMs
    const tasks = job.endpoints.map((endpointId, index) => {
      const ok = result === 'ok' || (result === 'failed' && !this.workers.get(endpointId)!.failsEverything)
      return { index, endpointId: asId<EndpointId>(endpointId), ok, runMs }
    })
    if (result === 'ok' || result === 'cancelled') {
      trace.finishedAtMs = this.timers.now()
      trace.outcome = result
      this.#traces.delete(id)
      this.listener.onEnded(trace, this)
    }
    this.#send({ type: 'finished', jobId: asId<JobId>(id), result, tasks })
  }

  #reportUsage (): void {
    for (const worker of this.workers.values()) {
      const busy = worker.busy
      this.timers.subscribe(USAGE_LAG_MS, () => this.#send({ type: 'usage', endpointId: asId<EndpointId>(worker.id), acceleratorsBusy: busy, lagMs: USAGE_LAG_MS }))
    }
  }
}

const countBusyAccelerators = (job: RunningJob, worker: FakeWorker): number => {
  let tasks = 0
  for (const endpoint of job.endpoints) if (endpoint === worker.id) tasks += 1
  return tasks * job.arrival.shape.acceleratorsPerTask * job.arrival.sizeFactor * job.fraction
}

export const toJobMetadata = (arrival: Arrival): JobMetadata => ({
  key: asId<RequestKey>(arrival.id),
  customer: asId<CustomerId>(arrival.customer),
  caller: asId<CallerId>(arrival.caller),
  kind: asId<KindOfWork>(arrival.kind),
  urgency: arrival.urgency,
  shape: arrival.shape,
  deadlineMs: arrival.deadlineMs,
  expectedRunMs: arrival.declaredRunMs,
  idempotent: arrival.idempotent
})

export const toDomainId = (index: number): DomainId => asId<DomainId>(`domain-${index}`)
