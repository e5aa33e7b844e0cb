import { asId, type CustomerId, type JobId, type RackId } from '@ibisstair/common'
import type { JobSpec, StepSpec } from '@ibisstair/jobs'
import type { RandomSource } from '@ibisstair/timers'

/** What a kind of work asks for, and what its completion is worth. */
export interface WorkClass {
  readonly name: string
  readonly priority: number
  readonly perSecond: number
  readonly meanTasks: number
  readonly maxTasks: number
  readonly taskMs: number
  readonly cpuMilli: number
  readonly memMb: number
  readonly accelerators: readonly number[]
  readonly gangShare: number
  readonly tightShare: number
  readonly checkpointShare: number
  readonly estimateError: number
  readonly stretch: number
  readonly targetLatencyMs: number
  readonly worth: number
  readonly lateWorth: number
}

/** Multiplies the arrivals of a class for a time. */
export interface Burst {
  readonly className: string
  readonly fromMs: number
  readonly forMs: number
  readonly factor: number
}

export interface Pattern {
  readonly name: string
  readonly bursts: readonly Burst[]
  /** Endpoints that stand still for a time and then go on. */
  readonly stalled?: { readonly share: number, readonly fromMs: number, readonly forMs: number }
}

export interface Arrival {
  readonly atMs: number
  readonly work: WorkClass
  readonly spec: JobSpec
  /** True run time of each task on an endpoint of speed 1. */
  readonly taskMs: readonly number[]
}

export interface Fleet {
  readonly endpoints: number
  readonly rackSize: number
  readonly customers: number
  readonly classes: readonly WorkClass[]
  readonly stopMs: number
}

const URGENT: WorkClass = {
  name: 'urgent', priority: 0, perSecond: 1.34, meanTasks: 3, maxTasks: 21, taskMs: 2_500, cpuMilli: 3_700, memMb: 11_000, accelerators: [1, 2, 4, 8, 8], gangShare: 1, tightShare: 0.8, checkpointShare: 0, estimateError: 0.5, stretch: 1.5, targetLatencyMs: 250, worth: 4, lateWorth: 0.8
}
const NORMAL: WorkClass = {
  name: 'normal', priority: 1, perSecond: 0.6, meanTasks: 4.5, maxTasks: 30, taskMs: 7_500, cpuMilli: 13_000, memMb: 68_000, accelerators: [1, 2, 4, 8, 8], gangShare: 1, tightShare: 0.6, checkpointShare: 0.45, estimateError: 0.5, stretch: 3, targetLatencyMs: 1_000, worth: 3, lateWorth: 0.9
}
const DEFERRABLE: WorkClass = {
  name: 'deferrable', priority: 2, perSecond: 0.55, meanTasks: 16, maxTasks: 90, taskMs: 8_000, cpuMilli: 2_800, memMb: 8_200, accelerators: [1], gangShare: 0, tightShare: 0, checkpointShare: 0.45, estimateError: 0.9, stretch: 3, targetLatencyMs: 3_000, worth: 1, lateWorth: 0.3
}

/** About the size of today's users. */
export const SMALL: Fleet = { endpoints: 32, rackSize: 6, customers: 4, classes: [URGENT, NORMAL, DEFERRABLE], stopMs: 700 }

/** About the size to come. */
export const LARGE: Fleet = {
  endpoints: 245,
  rackSize: 12,
  customers: 10,
  classes: [
    { ...URGENT, perSecond: 7, meanTasks: 5, maxTasks: 30 },
    { ...NORMAL, perSecond: 2.2, meanTasks: 11, maxTasks: 60 },
    { ...DEFERRABLE, perSecond: 1.4, meanTasks: 34, maxTasks: 200 }
  ],
  stopMs: 700
}

export const PATTERNS: readonly Pattern[] = [
  { name: 'ordinary', bursts: [{ className: 'urgent', fromMs: 7_000, forMs: 6_000, factor: 1.8 }] },
  { name: 'flood of deferrable work, then urgent work', bursts: [{ className: 'deferrable', fromMs: 2_000, forMs: 6_000, factor: 2.4 }, { className: 'urgent', fromMs: 5_000, forMs: 6_000, factor: 2.2 }] },
  { name: 'urgent work first', bursts: [{ className: 'urgent', fromMs: 500, forMs: 6_000, factor: 2.2 }, { className: 'deferrable', fromMs: 3_000, forMs: 6_000, factor: 2.4 }] },
  { name: 'burst of normal gangs', bursts: [{ className: 'normal', fromMs: 6_000, forMs: 4_000, factor: 2.5 }, { className: 'urgent', fromMs: 8_000, forMs: 6_000, factor: 2 }] },
  { name: 'stalled endpoints', bursts: [{ className: 'urgent', fromMs: 7_000, forMs: 6_000, factor: 1.8 }], stalled: { share: 0.15, fromMs: 5_000, forMs: 5_000 } }
]

export const ARRIVALS_MS = 34_000

const drawCount = (random: RandomSource, mean: number, max: number): number =>
  Math.min(max, Math.max(1, Math.round(random.exponential(mean))))

const drawTaskMs = (random: RandomSource, mean: number): number => mean * (0.6 + 0.8 * random.float())

const createArrival = (random: RandomSource, work: WorkClass, atMs: number, number: number, customers: number): Arrival => {
  const count = drawCount(random, work.meanTasks, work.maxTasks)
  const taskMs = drawTaskMs(random, work.taskMs)
  const step: StepSpec = {
    count,
    resources: { cpuMilli: work.cpuMilli, memMb: work.memMb, accelerators: random.pick(work.accelerators)! },
    estimateMs: taskMs * (1 + work.estimateError * (2 * random.float() - 1)),
    dependsOn: [],
    checkpointing: random.float() < work.checkpointShare,
    gang: random.float() < work.gangShare,
    tightlyCoupled: random.float() < work.tightShare,
    requiredLabel: null,
    dataRack: null,
    maxPerEndpoint: null,
    longRunning: false
  }
  const spec: JobSpec = {
    id: asId<JobId>(number.toString(16)), queue: work.name, service: 's', customer: asId<CustomerId>(`c${random.int(1, customers)}`), priority: work.priority, maxAttempts: 3, stretch: work.stretch, targetLatencyMs: work.targetLatencyMs, payload: '', steps: [step], recurrence: null
  }
  return { atMs, work, spec, taskMs: Array.from({ length: count }, () => step.gang ? taskMs : taskMs * (0.85 + 0.3 * random.float())) }
}

/** Jobs of the pattern in the order of their arrival. */
export const createArrivals = (random: RandomSource, { classes, customers }: Fleet, { bursts }: Pattern): Arrival[] => {
  const times = classes.flatMap((work) => {
    const list: Array<{ readonly atMs: number, readonly work: WorkClass }> = []
    const own = bursts.filter(({ className }) => className === work.name)
    const peak = work.perSecond * Math.max(1, ...own.map(({ factor }) => factor))
    for (let atMs = random.exponential(1_000 / peak); atMs < ARRIVALS_MS; atMs += random.exponential(1_000 / peak)) {
      const factor = own.find(({ fromMs, forMs }) => atMs >= fromMs && atMs < fromMs + forMs)?.factor ?? 1
      if (random.float() < factor * work.perSecond / peak) list.push({ atMs, work })
    }
    return list
  }).sort((a, b) => a.atMs - b.atMs)
  return times.map(({ atMs, work }, i) => createArrival(random, work, atMs, i + 1, customers))
}

export const toRack = (endpoint: number, { rackSize }: Fleet): RackId => asId<RackId>(`r${Math.floor(endpoint / rackSize)}`)
