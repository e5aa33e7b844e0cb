import type { Shape, Urgency } from '@ibisstair/model'
import { RandomSource } from '@ibisstair/timers'
import type { Arrival, DeploymentName, Phase } from './types.ts'

export const ARRIVALS_MS = 60_000
export const FLOOD_FROM_MS = 15_000
export const FLOOD_UNTIL_MS = 35_000
const CANCEL_WAVE_JOBS = 2000
const DOMAINS = 4

interface KindSpec {
  readonly kind: string
  readonly urgency: Urgency
  readonly idempotent: boolean
  readonly shape: Shape
  readonly meanRunMs: number
  readonly perSecond: number
  readonly deadlineMs: number
  /** Customer whose first caller submits all jobs of this entry; set for large shapes. */
  readonly fromCustomer?: string
}

const shape = (tasks: number, acceleratorsPerTask: number, adjacency: Shape['adjacency']): Shape =>
  ({ tasks, acceleratorsPerTask, slotsPerTask: 1, adjacency })

export const KINDS: Record<DeploymentName, readonly KindSpec[]> = {
  'co-op': [
    { kind: 'splash-check', urgency: 'urgent', idempotent: true, shape: shape(1, 1, 'any'), meanRunMs: 400, perSecond: 20, deadlineMs: 5000 },
    { kind: 'swap-match', urgency: 'normal', idempotent: true, shape: shape(1, 1, 'any'), meanRunMs: 2000, perSecond: 20, deadlineMs: 60_000 },
    { kind: 'courier-pickup', urgency: 'bulk', idempotent: false, shape: shape(1, 1, 'any'), meanRunMs: 4000, perSecond: 12, deadlineMs: 300_000 },
    { kind: 'swap-match', urgency: 'normal', idempotent: true, shape: shape(1, 8, 'worker'), meanRunMs: 8000, perSecond: 0.25, deadlineMs: 300_000, fromCustomer: 'b' },
    { kind: 'swap-match', urgency: 'normal', idempotent: true, shape: shape(4, 8, 'rack'), meanRunMs: 15_000, perSecond: 0.067, deadlineMs: 300_000, fromCustomer: 'a' }
  ],
  guild: [
    { kind: 'preview', urgency: 'urgent', idempotent: true, shape: shape(1, 1, 'any'), meanRunMs: 800, perSecond: 15, deadlineMs: 10_000 },
    { kind: 'proof', urgency: 'normal', idempotent: false, shape: shape(1, 2, 'any'), meanRunMs: 3000, perSecond: 6, deadlineMs: 120_000 },
    { kind: 'archive', urgency: 'bulk', idempotent: true, shape: shape(1, 4, 'worker'), meanRunMs: 8000, perSecond: 1, deadlineMs: 600_000 },
    { kind: 'archive', urgency: 'bulk', idempotent: true, shape: shape(1, 8, 'worker'), meanRunMs: 10_000, perSecond: 0.25, deadlineMs: 600_000, fromCustomer: 'b' },
    { kind: 'proof', urgency: 'normal', idempotent: true, shape: shape(4, 8, 'rack'), meanRunMs: 20_000, perSecond: 0.05, deadlineMs: 300_000, fromCustomer: 'a' }
  ]
}

/** Weights of the callers of each customer; the first callers of `a` and `b` are the large ones. */
const CALLER_WEIGHTS: Record<string, readonly number[]> = {
  a: [30, 10, 5, 5, 2, 2, 1, 1, 1, 1],
  b: [20, 5, 2, 1, 1, 1],
  c: [3, 2],
  d: [2, 2, 1]
}
const LARGE_WEIGHT = 5

interface Caller {
  readonly customer: string
  readonly caller: string
  readonly weight: number
  readonly homeDomain: number
}

const listCallers = (random: RandomSource): Caller[] =>
  Object.entries(CALLER_WEIGHTS).flatMap(([customer, weights]) =>
    weights.map((weight, i) => ({ customer, caller: `${customer}${i}`, weight, homeDomain: random.int(0, DOMAINS - 1) })))

const pickByWeight = (callers: readonly Caller[], random: RandomSource): Caller => {
  const total = callers.reduce((sum, caller) => sum + caller.weight, 0)
  let left = random.float() * total
  for (const caller of callers) {
    left -= caller.weight
    if (left <= 0) return caller
  }
  return callers[0]!
}

interface ArrivalSpec {
  readonly spec: KindSpec
  readonly caller: Caller
  readonly atMs: number
  readonly isFlood: boolean
  readonly cancelAtMs?: number
}

class Workload {
  readonly arrivals: Arrival[] = []
  // A separate random source, so that the declaration errors do not change the arrivals.
  readonly #errorRandom: RandomSource
  #nextJobNumber = 0

  constructor (readonly phase: Phase, readonly random: RandomSource) {
    this.#errorRandom = new RandomSource(random.seed + 1_000_000)
  }

  add ({ spec, caller, atMs, isFlood, cancelAtMs }: ArrivalSpec): void {
    // A caller with a large weight has many clients, which submit to all domains.
    const domain = caller.weight >= LARGE_WEIGHT || isFlood ? this.random.int(0, DOMAINS - 1) : caller.homeDomain
    // The factor has mean 1 and a moderate tail, like the run times of one kind of work.
    const runMs = Math.max(20, spec.meanRunMs * (0.4 + this.random.exponential(0.6)))
    const error = this.phase === 'misdeclared' ? (this.#errorRandom.int(0, 1) === 0 ? 10 : 0.1) : 1
    const oversized = this.phase === 'misdeclared' && this.#errorRandom.float() < 0.1
    this.arrivals.push({
      id: `j${this.#nextJobNumber++}`,
      atMs,
      domain,
      customer: caller.customer,
      caller: caller.caller,
      isSmallCaller: caller.weight < LARGE_WEIGHT,
      isFlood,
      kind: spec.kind,
      urgency: spec.urgency,
      shape: spec.shape,
      idempotent: spec.idempotent,
      runMs,
      declaredRunMs: spec.meanRunMs * error,
      sizeFactor: oversized ? 10 : 1,
      deadlineMs: spec.deadlineMs,
      cancelAtMs
    })
  }

  addPoisson (perSecond: number, fromMs: number, untilMs: number, draw: (atMs: number) => Omit<ArrivalSpec, 'atMs'>): void {
    let atMs = fromMs + this.random.exponential(1000 / perSecond)
    while (atMs < untilMs) {
      this.add({ ...draw(atMs), atMs })
      atMs += this.random.exponential(1000 / perSecond)
    }
  }
}

const getAcceleratorSeconds = (spec: KindSpec): number => spec.shape.tasks * spec.shape.acceleratorsPerTask * spec.meanRunMs / 1000

/** Returns all arrivals of one run in order of time. For one seed, the ordinary arrivals are the same in every phase. */
export const createWorkload = (deployment: DeploymentName, phase: Phase, seed: number, accelerators: number): Arrival[] => {
  const random = new RandomSource(seed)
  const callers = listCallers(random)
  const kinds = KINDS[deployment]
  const work = new Workload(phase, random)
  for (const spec of kinds) {
    const fixedCaller = callers.find((caller) => caller.caller === `${spec.fromCustomer}0`)
    work.addPoisson(spec.perSecond, 0, ARRIVALS_MS, () => ({ spec, caller: fixedCaller ?? pickByWeight(callers, random), isFlood: false }))
  }
  const largestCaller = callers[0]!
  const flood = (urgency: Urgency, capacityFactor: number): void => {
    const spec = kinds.find((kind) => kind.urgency === urgency)!
    const perSecond = capacityFactor * accelerators / getAcceleratorSeconds(spec)
    work.addPoisson(perSecond, FLOOD_FROM_MS, FLOOD_UNTIL_MS, () => ({ spec, caller: largestCaller, isFlood: true }))
  }
  if (phase === 'flood-bulk') flood('bulk', 3)
  if (phase === 'flood-urgent') flood('urgent', 2)
  if (phase === 'heavy-caller') {
    // Caller a4 has weight 2 of about 98; 50 times that roughly doubles the total load.
    const heavyCaller = callers.find((caller) => caller.caller === 'a4')!
    for (const spec of kinds.filter((kind) => !kind.fromCustomer)) {
      work.addPoisson(spec.perSecond * 100 / 98, 0, ARRIVALS_MS, () => ({ spec, caller: heavyCaller, isFlood: true }))
    }
  }
  if (phase === 'cancel-wave') {
    const spec = kinds.find((kind) => kind.urgency === 'bulk')!
    for (let i = 0; i < CANCEL_WAVE_JOBS; i++) {
      work.add({ spec, caller: largestCaller, atMs: FLOOD_FROM_MS + i, isFlood: true, ...(i % 10 !== 0 && { cancelAtMs: FLOOD_FROM_MS + 4000 }) })
    }
  }
  return work.arrivals.sort((a, b) => a.atMs - b.atMs)
}
