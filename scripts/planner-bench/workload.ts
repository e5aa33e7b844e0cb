import { asId, type CustomerId, type JobId, type RackId } from '@ibisstair/common'
import { countFits, type JobSpec, type Resources, type StepSpec } from '@ibisstair/jobs'
import type { RandomSource } from '@ibisstair/timers'

export const ENDPOINT_CAPACITY: Resources = { cpuMilli: 32_000, memMb: 131_072, accelerators: 8 }

/** Load and resource demand of one class of work, and the credit that a completed job earns. */
export interface WorkClass {
  readonly name: string
  readonly priority: number
  readonly arrivalsPerSecond: number
  readonly meanTasks: number
  readonly maxTasks: number
  readonly meanTaskMs: number
  readonly cpuMilli: number
  readonly memMb: number
  readonly accelerators: readonly number[]
  readonly gangShare: number
  readonly tightlyCoupledShare: number
  readonly checkpointShare: number
  readonly estimateError: number
  readonly stretch: number
  readonly targetLatencyMs: number
  readonly fullCredit: number
  readonly lateCredit: number
  /** Share of jobs with a single task on one accelerator. */
  readonly smallShare?: number
}

/** Multiplies the arrival rate of a class during an interval. */
export interface Burst {
  readonly className: string
  readonly fromMs: number
  readonly durationMs: number
  readonly factor: number
}

export interface Pattern {
  readonly name: string
  readonly bursts: readonly Burst[]
  /** Share of endpoints that make no progress during an interval and then continue. */
  readonly stalled?: { readonly share: number, readonly fromMs: number, readonly durationMs: number }
}

export interface Arrival {
  readonly atMs: number
  readonly workClass: WorkClass
  readonly spec: JobSpec
  /** Actual run time of each task on an endpoint of speed 1. */
  readonly taskMs: readonly number[]
}

export interface Fleet {
  readonly endpoints: number
  readonly rackSize: number
  readonly customers: number
  readonly classes: readonly WorkClass[]
  readonly stopMs: number
  /** Speeds that endpoints have with equal shares; 0.8, 1 and 1.25 by default. */
  readonly speeds?: readonly number[]
  /** Share of the tasks, and of the gangs, that take `TAIL_FACTOR` times as long. */
  readonly tailShare?: number
}

const TAIL_FACTOR = 7

const URGENT: WorkClass = {
  name: 'urgent', priority: 0, arrivalsPerSecond: 1.34, meanTasks: 3, maxTasks: 21, meanTaskMs: 2_500, cpuMilli: 3_700, memMb: 11_000, accelerators: [1, 2, 4, 8, 8], gangShare: 1, tightlyCoupledShare: 0.8, checkpointShare: 0, estimateError: 0.5, stretch: 1.5, targetLatencyMs: 250, fullCredit: 4, lateCredit: 0.8
}
const NORMAL: WorkClass = {
  name: 'normal', priority: 1, arrivalsPerSecond: 0.6, meanTasks: 4.5, maxTasks: 30, meanTaskMs: 7_500, cpuMilli: 13_000, memMb: 68_000, accelerators: [1, 2, 4, 8, 8], gangShare: 1, tightlyCoupledShare: 0.6, checkpointShare: 0.45, estimateError: 0.5, stretch: 3, targetLatencyMs: 1_000, fullCredit: 3, lateCredit: 0.9
}
const DEFERRABLE: WorkClass = {
  name: 'deferrable', priority: 2, arrivalsPerSecond: 0.55, meanTasks: 16, maxTasks: 90, meanTaskMs: 8_000, cpuMilli: 2_800, memMb: 8_200, accelerators: [1], gangShare: 0, tightlyCoupledShare: 0, checkpointShare: 0.45, estimateError: 0.9, stretch: 3, targetLatencyMs: 3_000, fullCredit: 1, lateCredit: 0.3
}

/** About the size of the fleets of current users. */
export const SMALL: Fleet = { endpoints: 32, rackSize: 6, customers: 4, classes: [URGENT, NORMAL, DEFERRABLE], stopMs: 700 }

/** About the projected size of a fleet. */
export const LARGE: Fleet = {
  endpoints: 245,
  rackSize: 12,
  customers: 10,
  classes: [
    { ...URGENT, arrivalsPerSecond: 7, meanTasks: 5, maxTasks: 30 },
    { ...NORMAL, arrivalsPerSecond: 2.2, meanTasks: 11, maxTasks: 60 },
    { ...DEFERRABLE, arrivalsPerSecond: 1.4, meanTasks: 34, maxTasks: 200 }
  ],
  stopMs: 700
}

/** A large fleet of 31 racks with many customers. */
export const HUGE: Fleet = {
  endpoints: 378,
  rackSize: 12,
  customers: 24,
  classes: [
    { ...URGENT, arrivalsPerSecond: 9.6, meanTasks: 5, maxTasks: 22, accelerators: [1, 2, 4, 8, 8] },
    { ...NORMAL, arrivalsPerSecond: 2.4, meanTasks: 15, maxTasks: 60, meanTaskMs: 8_500, accelerators: [1, 4, 8, 8], gangShare: 1 },
    { ...DEFERRABLE, arrivalsPerSecond: 2.8, meanTasks: 38, maxTasks: 200, meanTaskMs: 7_600 }
  ],
  stopMs: 700
}

/** A sixth of `HUGE` with gangs of the same size, so that single gangs fill a large part of the fleet. */
export const CRAMPED: Fleet = {
  ...HUGE,
  endpoints: 60,
  rackSize: 10,
  classes: HUGE.classes.map((workClass) => ({ ...workClass, arrivalsPerSecond: workClass.arrivalsPerSecond / 6.4 }))
}

/** Endpoints of uneven speed, wrong estimates and tails. */
export const UNEVEN: Fleet = {
  endpoints: 245,
  rackSize: 8,
  customers: 10,
  classes: [
    { ...URGENT, arrivalsPerSecond: 4, meanTasks: 5, maxTasks: 20, meanTaskMs: 5_800, accelerators: [1, 1, 2, 2, 4, 8], estimateError: 0.9, smallShare: 0.2 },
    { ...NORMAL, arrivalsPerSecond: 1.2, meanTasks: 13, maxTasks: 40, meanTaskMs: 2_100, cpuMilli: 6_000, memMb: 12_000, accelerators: [1, 1, 2, 4, 8], estimateError: 0.5 },
    { ...DEFERRABLE, arrivalsPerSecond: 0.9, meanTasks: 39, maxTasks: 200, meanTaskMs: 6_500, estimateError: 0.5 }
  ],
  stopMs: 700,
  speeds: [0.6, 1, 1.6],
  tailShare: 0.03
}

/** The same fleet on its busiest day. */
export const UNEVEN_BUSY: Fleet = { ...UNEVEN, classes: UNEVEN.classes.map((workClass) => ({ ...workClass, arrivalsPerSecond: 1.6 * workClass.arrivalsPerSecond })) }

/** The same load on endpoints of one speed, which learned speeds must not change. */
export const EVEN_BUSY: Fleet = { ...UNEVEN_BUSY, speeds: [1] }

export const FLEETS = { small: SMALL, cramped: CRAMPED, large: LARGE, huge: HUGE, uneven: UNEVEN, 'uneven-busy': UNEVEN_BUSY, 'even-busy': EVEN_BUSY } as const

export const PATTERNS: readonly Pattern[] = [
  { name: 'ordinary', bursts: [{ className: 'urgent', fromMs: 7_000, durationMs: 6_000, factor: 1.8 }] },
  { name: 'flood of deferrable work, then urgent work', bursts: [{ className: 'deferrable', fromMs: 2_000, durationMs: 6_000, factor: 2.4 }, { className: 'urgent', fromMs: 5_000, durationMs: 6_000, factor: 2.2 }] },
  { name: 'urgent work first', bursts: [{ className: 'urgent', fromMs: 500, durationMs: 6_000, factor: 2.2 }, { className: 'deferrable', fromMs: 3_000, durationMs: 6_000, factor: 2.4 }] },
  { name: 'burst of normal gangs', bursts: [{ className: 'normal', fromMs: 6_000, durationMs: 4_000, factor: 2.5 }, { className: 'urgent', fromMs: 8_000, durationMs: 6_000, factor: 2 }] },
  { name: 'urgent and deferrable burst together', bursts: [{ className: 'urgent', fromMs: 500, durationMs: 6_000, factor: 2.3 }, { className: 'deferrable', fromMs: 3_500, durationMs: 5_700, factor: 2.3 }] },
  { name: 'stalled endpoints', bursts: [{ className: 'urgent', fromMs: 7_000, durationMs: 6_000, factor: 1.8 }], stalled: { share: 0.15, fromMs: 5_000, durationMs: 5_000 } }
]

export const ARRIVALS_MS = 34_000

const drawCount = (random: RandomSource, mean: number, max: number): number =>
  Math.min(max, Math.max(1, Math.round(random.exponential(mean))))

const drawTaskMs = (random: RandomSource, mean: number): number => mean * (0.6 + 0.8 * random.float())

/** Returns how many tasks fit in one idle rack. */
const countFitsInRack = (resources: Resources, { rackSize }: Fleet): number => rackSize * countFits(ENDPOINT_CAPACITY, resources)

const createArrival = (random: RandomSource, workClass: WorkClass, atMs: number, jobNumber: number, fleet: Fleet): Arrival => {
  const isSmall = workClass.smallShare !== undefined && random.float() < workClass.smallShare
  const accelerators = random.pick(workClass.accelerators)!
  const resources = { cpuMilli: workClass.cpuMilli, memMb: workClass.memMb, accelerators: isSmall ? 1 : accelerators }
  const drawnCount = isSmall ? 1 : drawCount(random, workClass.meanTasks, workClass.maxTasks)
  const taskMs = drawTaskMs(random, workClass.meanTaskMs)
  const gang = random.float() < workClass.gangShare
  // Callers size their gangs so that one rack holds them.
  const count = gang ? Math.min(drawnCount, countFitsInRack(resources, fleet)) : drawnCount
  const step: StepSpec = {
    count,
    resources,
    estimateMs: taskMs * (1 + workClass.estimateError * (2 * random.float() - 1)),
    dependsOn: [],
    checkpointing: random.float() < workClass.checkpointShare,
    gang,
    tightlyCoupled: random.float() < workClass.tightlyCoupledShare,
    requiredLabel: null,
    dataRack: null,
    maxPerEndpoint: null,
    longRunning: false
  }
  const spec: JobSpec = {
    id: asId<JobId>(jobNumber.toString(16)), queue: workClass.name, service: 's', customer: asId<CustomerId>(`c${random.int(1, fleet.customers)}`), priority: workClass.priority, maxAttempts: 3, stretch: workClass.stretch, targetLatencyMs: workClass.targetLatencyMs, payload: '', steps: [step], recurrence: null
  }
  const drawTailFactor = (): number => fleet.tailShare !== undefined && random.float() < fleet.tailShare ? TAIL_FACTOR : 1
  const gangMs = step.gang ? taskMs * drawTailFactor() : null
  return { atMs, workClass, spec, taskMs: Array.from({ length: count }, () => gangMs ?? taskMs * (0.85 + 0.3 * random.float()) * drawTailFactor()) }
}

/** Returns the jobs of the pattern in order of arrival. */
export const createArrivals = (random: RandomSource, fleet: Fleet, { bursts }: Pattern): Arrival[] => {
  const arrivalTimes = fleet.classes.flatMap((workClass) => {
    const classTimes: Array<{ readonly atMs: number, readonly workClass: WorkClass }> = []
    const classBursts = bursts.filter(({ className }) => className === workClass.name)
    const peakPerSecond = workClass.arrivalsPerSecond * Math.max(1, ...classBursts.map(({ factor }) => factor))
    for (let atMs = random.exponential(1_000 / peakPerSecond); atMs < ARRIVALS_MS; atMs += random.exponential(1_000 / peakPerSecond)) {
      const factor = classBursts.find(({ fromMs, durationMs }) => atMs >= fromMs && atMs < fromMs + durationMs)?.factor ?? 1
      if (random.float() < factor * workClass.arrivalsPerSecond / peakPerSecond) classTimes.push({ atMs, workClass })
    }
    return classTimes
  }).sort((a, b) => a.atMs - b.atMs)
  return arrivalTimes.map(({ atMs, workClass }, i) => createArrival(random, workClass, atMs, i + 1, fleet))
}

export const toRack = (endpoint: number, { rackSize }: Fleet): RackId => asId<RackId>(`r${Math.floor(endpoint / rackSize)}`)
