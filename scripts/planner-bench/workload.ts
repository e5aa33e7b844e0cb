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
  /** Mean of estimate divided by run time; 1 by default. */
  readonly estimateBias?: number
  /** Share of the tasks, or of the gangs, that take seven times as long; 0 by default. */
  readonly tailShare?: number
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
  /** A share of the customers sends a share of all jobs. */
  readonly flood?: { readonly customerShare: number, readonly jobShare: number }
  /** Share of the endpoints, in whole racks, that is out of use during an interval; the runs there are lost. */
  readonly gone?: { readonly share: number, readonly fromMs: number, readonly durationMs: number }
  /** Share of the jobs accepted so far that are cancelled; they earn no credit. */
  readonly cancelled?: { readonly share: number, readonly atMs: number }
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
}

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

/** The licence fleet of docs/hard-load.md. */
export const LICENCE: Fleet = {
  endpoints: 245,
  rackSize: 8,
  customers: 10,
  classes: [
    { ...URGENT, arrivalsPerSecond: 4, meanTasks: 5, maxTasks: 30 },
    { ...NORMAL, arrivalsPerSecond: 1.2, meanTasks: 13, maxTasks: 60, meanTaskMs: 8_500 },
    { ...DEFERRABLE, arrivalsPerSecond: 0.9, meanTasks: 51, maxTasks: 200, meanTaskMs: 9_500 }
  ],
  stopMs: 700
}

/** The licence fleet while one of its three failure domains is drained, with its load at the height of the day. */
export const DRAINED: Fleet = {
  ...LICENCE,
  endpoints: 160,
  classes: LICENCE.classes.map((workClass) => ({ ...workClass, arrivalsPerSecond: 1.15 * workClass.arrivalsPerSecond }))
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

const POOR_ESTIMATES: Readonly<Record<string, Partial<WorkClass>>> = {
  urgent: { estimateError: 0.9, estimateBias: 0.4, tailShare: 0.03 },
  normal: { estimateError: 0.5, estimateBias: 2.5, tailShare: 0.03 },
  deferrable: { estimateError: 0.5, estimateBias: 0.5, tailShare: 0.03 }
}

/** The same load with estimates that are off and biased by queue, and with tasks that take much longer than others. */
export const withPoorEstimates = (fleet: Fleet): Fleet =>
  ({ ...fleet, classes: fleet.classes.map((workClass) => ({ ...workClass, ...POOR_ESTIMATES[workClass.name] })) })

/** Endpoints of uneven speed, wrong estimates and tails. */
export const UNEVEN: Fleet = {
  endpoints: 245,
  rackSize: 8,
  customers: 10,
  classes: [
    { ...URGENT, arrivalsPerSecond: 4, meanTasks: 5, maxTasks: 20, meanTaskMs: 2_100, accelerators: [1, 1, 2, 2, 4, 8], estimateError: 0.9, smallShare: 0.2, tailShare: 0.03 },
    { ...NORMAL, arrivalsPerSecond: 1.2, meanTasks: 13, maxTasks: 40, meanTaskMs: 5_800, cpuMilli: 6_000, memMb: 12_000, accelerators: [1, 1, 2, 4, 8], estimateError: 0.5, tailShare: 0.03 },
    { ...DEFERRABLE, arrivalsPerSecond: 0.9, meanTasks: 39, maxTasks: 200, meanTaskMs: 6_500, estimateError: 0.5, tailShare: 0.03 }
  ],
  stopMs: 700,
  speeds: [0.6, 1, 1.6]
}

/** The same fleet on its busiest day. */
export const UNEVEN_BUSY: Fleet = { ...UNEVEN, classes: UNEVEN.classes.map((workClass) => ({ ...workClass, arrivalsPerSecond: 1.6 * workClass.arrivalsPerSecond })) }

/** The same load on endpoints of one speed, which learned speeds must not change. */
export const EVEN_BUSY: Fleet = { ...UNEVEN_BUSY, speeds: [1] }

export const FLEETS = { small: SMALL, cramped: CRAMPED, large: LARGE, huge: HUGE, licence: LICENCE, drained: DRAINED, uneven: UNEVEN, 'uneven-busy': UNEVEN_BUSY, 'even-busy': EVEN_BUSY } as const

export const PATTERNS: readonly Pattern[] = [
  { name: 'ordinary', bursts: [{ className: 'urgent', fromMs: 7_000, durationMs: 6_000, factor: 1.8 }] },
  { name: 'flood of deferrable work, then urgent work', bursts: [{ className: 'deferrable', fromMs: 2_000, durationMs: 6_000, factor: 2.4 }, { className: 'urgent', fromMs: 5_000, durationMs: 6_000, factor: 2.2 }] },
  { name: 'urgent work first', bursts: [{ className: 'urgent', fromMs: 500, durationMs: 6_000, factor: 2.2 }, { className: 'deferrable', fromMs: 3_000, durationMs: 6_000, factor: 2.4 }] },
  { name: 'burst of normal gangs', bursts: [{ className: 'normal', fromMs: 6_000, durationMs: 4_000, factor: 2.5 }, { className: 'urgent', fromMs: 8_000, durationMs: 6_000, factor: 2 }] },
  { name: 'urgent and deferrable burst together', bursts: [{ className: 'urgent', fromMs: 500, durationMs: 6_000, factor: 2.3 }, { className: 'deferrable', fromMs: 3_500, durationMs: 5_700, factor: 2.3 }] },
  { name: 'stalled endpoints', bursts: [{ className: 'urgent', fromMs: 7_000, durationMs: 6_000, factor: 1.8 }], stalled: { share: 0.15, fromMs: 5_000, durationMs: 5_000 } },
  { name: 'flood of one customer', bursts: [{ className: 'urgent', fromMs: 7_000, durationMs: 6_000, factor: 1.8 }, { className: 'normal', fromMs: 7_000, durationMs: 6_000, factor: 1.8 }], flood: { customerShare: 0.1, jobShare: 0.5 } },
  { name: 'floods of the three kinds in turn', bursts: [{ className: 'deferrable', fromMs: 2_000, durationMs: 6_000, factor: 2.4 }, { className: 'normal', fromMs: 8_000, durationMs: 6_000, factor: 2.4 }, { className: 'urgent', fromMs: 14_000, durationMs: 6_000, factor: 2.4 }] },
  { name: 'a third of the capacity gone at the height', bursts: [{ className: 'urgent', fromMs: 7_000, durationMs: 6_000, factor: 2 }, { className: 'deferrable', fromMs: 7_000, durationMs: 6_000, factor: 2.4 }], gone: { share: 1 / 3, fromMs: 10_000, durationMs: 10_000 } },
  { name: 'mass cancellation', bursts: [{ className: 'urgent', fromMs: 7_000, durationMs: 6_000, factor: 2 }, { className: 'deferrable', fromMs: 7_000, durationMs: 6_000, factor: 2.4 }], cancelled: { share: 0.4, atMs: 13_000 } }
]

export const ARRIVALS_MS = 34_000

const drawCount = (random: RandomSource, mean: number, max: number): number =>
  Math.min(max, Math.max(1, Math.round(random.exponential(mean))))

const drawTaskMs = (random: RandomSource, mean: number): number => mean * (0.6 + 0.8 * random.float())

const TAIL_FACTOR = 7

/** Draws a number only for loads with such tasks, so that the other loads stay the same. */
const drawTailFactor = (random: RandomSource, { tailShare = 0 }: WorkClass): number =>
  tailShare > 0 && random.float() < tailShare ? TAIL_FACTOR : 1

/** Returns how many tasks fit in one idle rack. */
const countFitsInRack = (resources: Resources, { rackSize }: Fleet): number => rackSize * countFits(ENDPOINT_CAPACITY, resources)

const drawCustomer = (random: RandomSource, { customers }: Fleet, { flood }: Pattern): CustomerId => {
  const flooding = flood ? Math.max(1, Math.round(flood.customerShare * customers)) : 0
  const isFlooding = flood !== undefined && random.float() < flood.jobShare
  return asId<CustomerId>(`c${isFlooding ? random.int(1, flooding) : random.int(flooding + 1, customers)}`)
}

const createArrival = (random: RandomSource, workClass: WorkClass, atMs: number, jobNumber: number, fleet: Fleet, pattern: Pattern): Arrival => {
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
    estimateMs: (workClass.estimateBias ?? 1) * taskMs * (1 + workClass.estimateError * (2 * random.float() - 1)),
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
    id: asId<JobId>(jobNumber.toString(16)), queue: workClass.name, service: 's', customer: drawCustomer(random, fleet, pattern), priority: workClass.priority, maxAttempts: 3, stretch: workClass.stretch, targetLatencyMs: workClass.targetLatencyMs, payload: '', steps: [step], recurrence: null
  }
  const gangTaskMs = taskMs * (gang ? drawTailFactor(random, workClass) : 1)
  return { atMs, workClass, spec, taskMs: Array.from({ length: count }, () => gang ? gangTaskMs : taskMs * (0.85 + 0.3 * random.float()) * drawTailFactor(random, workClass)) }
}

/** Returns the jobs of the pattern in order of arrival. */
export const createArrivals = (random: RandomSource, fleet: Fleet, pattern: Pattern): Arrival[] => {
  const { bursts } = pattern
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
  return arrivalTimes.map(({ atMs, workClass }, i) => createArrival(random, workClass, atMs, i + 1, fleet, pattern))
}

export const toRack = (endpoint: number, { rackSize }: Fleet): RackId => asId<RackId>(`r${Math.floor(endpoint / rackSize)}`)
