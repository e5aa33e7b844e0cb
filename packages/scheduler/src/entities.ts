import type { EndpointId, JobId, RackId } from '@ibisstair/common'
import { invariant } from '@ibisstair/common'
import type { Assignment, EndpointInfo, JobMetadata, Shape, Urgency } from '@ibisstair/model'
import { URGENCIES } from '@ibisstair/model'
import { MAX_STEPS_PER_JOB } from './constants.ts'
import type { QueueNode } from './linked-queue.ts'
import type { ExplanationStep } from './types.ts'

export type JobPhase = 'queued' | 'starting' | 'running' | 'finished'

/** Capacity that a job holds, or is about to hold, on one worker. */
export interface Allocation {
  readonly worker: Worker
  readonly tasks: number
}

const NEXT_PHASES: Record<JobPhase, readonly JobPhase[]> = {
  queued: ['starting', 'running', 'finished'],
  starting: ['queued', 'running', 'finished'],
  running: ['queued', 'finished'],
  finished: []
}

/** One incarnation of an endpoint with the capacity that is still free on it. */
export class Worker {
  info: EndpointInfo
  up = true
  drained = false
  quarantined = false
  /** Refused a start recently, so its actual state differs from the one known here. */
  isRefusingStarts = false
  /** Slower than the others: used when nothing else is left. */
  isOutlier = false
  freeAccelerators: number
  freeSlots: number
  readonly jobs = new Set<Job>()
  /** Capacity nominated for a job that waits for its victims to stop. */
  nominatedAccelerators = 0
  nominatedSlots = 0
  /** Capacity set aside for the planned start of a large job. */
  plannedAccelerators = 0
  plannedSlots = 0
  /** Accelerators set aside for guarantees and not used by their owners. */
  idleGuaranteedAccelerators = 0
  /** Position in the index of `Fleet`; undefined while the worker takes no work. */
  bucket: number | undefined
  bucketPosition = 0
  /** Contribution of this worker to the sums of its rack. */
  indexedAccelerators = 0
  indexedWholeWorkers = 0

  constructor (info: EndpointInfo, readonly rack: Rack) {
    this.info = info
    this.freeAccelerators = info.accelerators
    this.freeSlots = info.slots
  }

  get id (): EndpointId {
    return this.info.id
  }

  get isUsable (): boolean {
    return this.up && !this.drained && !this.quarantined && !this.isRefusingStarts && !this.info.leaving
  }

  get availableAccelerators (): number {
    return Math.max(0, this.freeAccelerators - this.nominatedAccelerators - this.plannedAccelerators)
  }

  get availableSlots (): number {
    return Math.max(0, this.freeSlots - this.nominatedSlots - this.plannedSlots)
  }

  /** Free capacity including what is set aside for planned starts; guarantees take precedence over planned starts but not over other reclaims. */
  get unnominatedAccelerators (): number {
    return Math.max(0, this.freeAccelerators - this.nominatedAccelerators)
  }

  get unnominatedSlots (): number {
    return Math.max(0, this.freeSlots - this.nominatedSlots)
  }
}

export class Rack {
  readonly workers = new Set<Worker>()
  availableAccelerators = 0
  /** Workers with all accelerators available. */
  wholeWorkers = 0

  constructor (readonly id: RackId) {}
}

/** Tasks of the shape, at most the whole gang, that fit into a capacity. */
export const countTasks = (accelerators: number, slots: number, shape: Shape): number => {
  const byAccelerators = shape.acceleratorsPerTask > 0 ? Math.floor(accelerators / shape.acceleratorsPerTask) : Infinity
  const bySlots = shape.slotsPerTask > 0 ? Math.floor(slots / shape.slotsPerTask) : Infinity
  return Math.max(0, Math.min(shape.tasks, byAccelerators, bySlots))
}

/** One job and its scheduling state. */
export class Job {
  readonly urgencyIndex: number
  readonly accelerators: number
  readonly slots: number
  readonly shapeKey: string
  #phase: JobPhase = 'queued'
  attempt = 0
  allocations: readonly Allocation[] = []
  assignments: readonly Assignment[] = []
  startedAtMs: number | undefined
  hasStarted = false
  /** Set while a preempt or stop decision is being carried out. */
  stoppingSinceMs: number | undefined
  /** Runs on its customer's guaranteed capacity, where no other customer can preempt it. */
  usesGuarantee = false
  /** Has exactly a shape that is guaranteed to its customer. */
  isGuaranteedShape = false
  /** Speed that the endpoint was told to limit the job to. */
  throttleFraction = 1
  /** Membership in the customer's list of running work of this urgency. */
  runningNode: QueueNode<Job> | undefined
  /** Runs on capacity set aside for a planned start and is preempted when that start is due. */
  isBackfill = false
  /** Time since which the queued job waits for capacity that its customer's guarantee covers. */
  guaranteeWaitSinceMs: number | undefined
  readonly failedOn = new Set<EndpointId>()
  readonly steps: ExplanationStep[] = []
  /** Memberships in queues, by level; `JobQueues` owns them. */
  queueNodes: readonly QueueNode<Job>[] = []
  /** Estimated accelerator milliseconds that the queue sums contain for this job. */
  queuedWork = 0

  constructor (readonly id: JobId, readonly metadata: JobMetadata, readonly submittedAtMs: number) {
    this.urgencyIndex = indexOfUrgency(metadata.urgency)
    this.accelerators = metadata.shape.tasks * metadata.shape.acceleratorsPerTask
    this.slots = metadata.shape.tasks * metadata.shape.slotsPerTask
    this.shapeKey = shapeKeyOf(metadata.shape)
  }

  get shape (): Shape {
    return this.metadata.shape
  }

  get phase (): JobPhase {
    return this.#phase
  }

  get holdsSlots (): boolean {
    return this.#phase === 'starting' || this.#phase === 'running'
  }

  enter (phase: JobPhase): void {
    invariant(NEXT_PHASES[this.#phase].includes(phase), `job ${this.id} moves from ${this.#phase} to ${phase}`)
    this.#phase = phase
  }

  explain (atMs: number, rule: string, numbers: ExplanationStep['numbers']): void {
    // The first half keeps the admission, the second half the newest decisions.
    if (this.steps.length >= MAX_STEPS_PER_JOB) this.steps.splice(MAX_STEPS_PER_JOB / 2, 1)
    this.steps.push({ atMs, rule, numbers })
  }
}

export const indexOfUrgency = (urgency: Urgency): number => URGENCIES.indexOf(urgency)

export const shapeKeyOf = (shape: Shape): string =>
  `${shape.adjacency}:${shape.tasks}x${shape.acceleratorsPerTask}a${shape.slotsPerTask}s`

export const tasksOn = (job: Job, worker: Worker): number =>
  job.allocations.find((allocation) => allocation.worker === worker)?.tasks ?? 0
