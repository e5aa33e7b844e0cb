import { asId } from '@ibisstair/common'
import type { CustomerId, KindOfWork } from '@ibisstair/common'
import type { CustomerShare, DomainShare, KindConfig, Shape } from '@ibisstair/model'
import type { DomainScheduler } from '@ibisstair/scheduler'
import { ManualTimerService } from '@ibisstair/timers'
import type { DomainListener, FakeWorker, Trace } from './fake-domain.ts'
import { FakeDomain, domainId } from './fake-domain.ts'
import { createScheduler } from './policies.ts'
import { jainIndex, percentile } from './statistics.ts'
import type { Arrival, DeploymentName, Phase, RunResult, RunSpec } from './types.ts'
import { ARRIVALS_MS, FLOOD_FROM_MS, FLOOD_UNTIL_MS, KINDS, createWorkload } from './workload.ts'

const WORKERS_PER_DOMAIN = [8, 8, 7, 7]
const WORKERS_PER_RACK = 6
const ACCELERATORS = 8
const MAX_QUEUED = 500
const DRAIN_MS = 60_000
const SAMPLE_MS = 500
/** Bound of section 5.11 on reclaiming a guaranteed shape. */
const RECLAIM_BOUND_MS = 5500
const LARGEST_SHAPE: Shape = { tasks: 4, acceleratorsPerTask: 8, slotsPerTask: 1, adjacency: 'rack' }
const SPILLING_REFUSALS = new Set(['queue-full', 'deadline-unreachable'])

const guarantee = (tasks: number, acceleratorsPerTask: number, adjacency: Shape['adjacency'], count: number): CustomerShare['guarantees'][number] =>
  ({ shape: { tasks, acceleratorsPerTask, slotsPerTask: 1, adjacency }, count })

const CUSTOMERS: readonly CustomerShare[] = [
  { id: asId<CustomerId>('a'), priority: 1, maxQueued: MAX_QUEUED, guarantees: [guarantee(4, 8, 'rack', 1)] },
  { id: asId<CustomerId>('b'), priority: 1, maxQueued: MAX_QUEUED, guarantees: [guarantee(1, 8, 'worker', 1)] },
  { id: asId<CustomerId>('c'), priority: 1, maxQueued: MAX_QUEUED, guarantees: [guarantee(1, 1, 'any', 4)] },
  { id: asId<CustomerId>('d'), priority: 1, maxQueued: MAX_QUEUED, guarantees: [guarantee(1, 1, 'any', 4)] }
]
const FLOORS: Record<string, number> = { a: 32, b: 8, c: 4, d: 4 }

const shareOf = (deployment: DeploymentName, domain: number): DomainShare => {
  const kinds = new Map<string, KindConfig>()
  for (const spec of KINDS[deployment]) {
    if (kinds.has(spec.kind)) continue
    kinds.set(spec.kind, {
      kind: asId<KindOfWork>(spec.kind), urgency: spec.urgency, idempotent: spec.idempotent, expectedRunMs: spec.meanRunMs, objective: { startWithinMs: 1000, target: 0.99 }
    })
  }
  return { version: 1, domain: domainId(domain), customers: CUSTOMERS, kinds: [...kinds.values()], drains: [] }
}

const createWorkers = (phase: Phase, domain: number): FakeWorker[] =>
  Array.from({ length: WORKERS_PER_DOMAIN[domain]! }, (_, i) => ({
    id: `w${domain}-${i}`,
    rack: `rack${domain}-${Math.floor(i / WORKERS_PER_RACK)}`,
    accelerators: ACCELERATORS,
    // One worker of each of three domains fails everything; one other is three times slower.
    failsEverything: phase === 'failing-workers' && i === 1 && domain < 3,
    slowness: phase === 'failing-workers' && i === 3 && domain === 3 ? 3 : 1,
    busy: 0,
    freeAccelerators: ACCELERATORS,
    running: new Set()
  }))

class Run implements DomainListener {
  readonly timers = new ManualTimerService()
  readonly traces: Trace[] = []
  readonly domains: FakeDomain[]
  readonly #outstanding = new Map<string, number>()
  readonly #tried = new Map<string, Set<FakeDomain>>()
  #freeSum = 0
  #strandedSum = 0

  constructor (readonly spec: RunSpec) {
    this.domains = WORKERS_PER_DOMAIN.map((_, i) => {
      const scheduler: DomainScheduler = createScheduler(spec.policy)
      return new FakeDomain(scheduler, this.timers, shareOf(spec.deployment, i), createWorkers(spec.phase, i), this)
    })
  }

  execute (): RunResult {
    const total = WORKERS_PER_DOMAIN.reduce((sum, n) => sum + n, 0) * ACCELERATORS
    const arrivals = createWorkload(this.spec.deployment, this.spec.phase, this.spec.seed, total)
    for (const arrival of arrivals) if (!this.spec.alone || arrival.isSmallCaller) this.#schedule(arrival)
    this.timers.every(SAMPLE_MS, () => { if (this.timers.now() <= ARRIVALS_MS) this.#sampleFragmentation() })
    this.timers.advance(ARRIVALS_MS + DRAIN_MS)
    return this.#summarise()
  }

  onRefused (trace: Trace, kind: string, domain: FakeDomain): void {
    this.#leave(trace, domain)
    const tried = this.#tried.get(trace.arrival.id) ?? new Set()
    tried.add(domain)
    this.#tried.set(trace.arrival.id, tried)
    const next = this.domains.find((other) => !tried.has(other) && !this.#isCutOff(other))
    if (SPILLING_REFUSALS.has(kind) && next) return this.#submit(trace, next)
    trace.endedAs = kind
  }

  onEnded (trace: Trace, domain: FakeDomain): void {
    this.#leave(trace, domain)
  }

  #schedule (arrival: Arrival): void {
    const trace: Trace = { arrival, submittedAtMs: arrival.atMs, firstStartAtMs: undefined, finishedAtMs: undefined, endedAs: undefined, savedMs: 0, withinFloor: false }
    this.traces.push(trace)
    this.timers.subscribe(arrival.atMs, () => {
      const home = this.domains[arrival.domain]!
      this.#submit(trace, this.#isCutOff(home) ? this.domains[(arrival.domain + 1 + (this.traces.length % 3)) % 4]! : home)
    })
    const { cancelAtMs } = arrival
    if (cancelAtMs !== undefined) this.timers.subscribe(cancelAtMs, () => { for (const domain of this.domains) domain.cancel(arrival.id) })
  }

  #isCutOff (domain: FakeDomain): boolean {
    const now = this.timers.now()
    return this.spec.phase === 'cut-off' && domain === this.domains[0] && now >= FLOOD_FROM_MS && now < FLOOD_UNTIL_MS
  }

  #submit (trace: Trace, domain: FakeDomain): void {
    const key = `${trace.arrival.customer}@${domain.share.domain}`
    const accelerators = trace.arrival.shape.tasks * trace.arrival.shape.acceleratorsPerTask
    const outstanding = (this.#outstanding.get(key) ?? 0) + accelerators
    this.#outstanding.set(key, outstanding)
    // Only work that comes while the customer is below its floor is owed the bound.
    trace.withinFloor = outstanding <= FLOORS[trace.arrival.customer]!
    domain.submit(trace)
  }

  #leave (trace: Trace, domain: FakeDomain): void {
    const key = `${trace.arrival.customer}@${domain.share.domain}`
    const accelerators = trace.arrival.shape.tasks * trace.arrival.shape.acceleratorsPerTask
    this.#outstanding.set(key, (this.#outstanding.get(key) ?? 0) - accelerators)
  }

  #sampleFragmentation (): void {
    for (const domain of this.domains) {
      const wholeFree = new Map<string, number>()
      for (const worker of domain.workers.values()) {
        this.#freeSum += worker.freeAccelerators
        this.#strandedSum += worker.freeAccelerators
        if (worker.freeAccelerators >= LARGEST_SHAPE.acceleratorsPerTask) wholeFree.set(worker.rack, (wholeFree.get(worker.rack) ?? 0) + 1)
      }
      // Any worker of a rack that can still hold the shape counts as usable by it.
      for (const count of wholeFree.values()) if (count >= LARGEST_SHAPE.tasks) this.#strandedSum -= count * ACCELERATORS
    }
  }

  #summarise (): RunResult {
    const done = this.traces.filter((trace) => trace.endedAs === 'ok')
    const wanted = this.traces.filter((trace) => trace.arrival.cancelAtMs === undefined)
    const slowdownOf = (trace: Trace): number => (trace.finishedAtMs! - trace.submittedAtMs) / trace.arrival.runMs
    const regular = done.filter((trace) => !trace.arrival.isFlood)
    const urgent = regular.filter((trace) => trace.arrival.urgency === 'urgent').map(slowdownOf)
    const all = regular.map(slowdownOf)
    const small = regular.filter((trace) => trace.arrival.isSmallCaller).map(slowdownOf)
    const gangs = this.traces.filter((trace) => trace.arrival.shape.tasks > 1)
    const gangWaits = gangs.filter((trace) => trace.firstStartAtMs !== undefined).map((trace) => trace.firstStartAtMs! - trace.submittedAtMs)
    const owed = wanted.filter((trace) => trace.withinFloor)
    const kept = owed.filter((trace) => trace.firstStartAtMs !== undefined && trace.firstStartAtMs - trace.submittedAtMs <= RECLAIM_BOUND_MS)
    const bulkWaits = regular.filter((trace) => trace.arrival.urgency === 'bulk').map((trace) => trace.firstStartAtMs! - trace.submittedAtMs)
    const plain = wanted.filter((trace) => !trace.arrival.isFlood)
    const goodput: Record<string, number> = {}
    for (const trace of regular.filter(isUseful)) goodput[trace.arrival.kind] = (goodput[trace.arrival.kind] ?? 0) + 1
    const floodKinds = new Set(this.traces.filter((trace) => trace.arrival.isFlood).map((trace) => trace.arrival.kind))
    return {
      spec: this.spec,
      floodKind: floodKinds.size === 1 ? [...floodKinds][0] : undefined,
      urgentP50: percentile(urgent, 0.5),
      urgentP99: percentile(urgent, 0.99),
      allP50: percentile(all, 0.5),
      allP99: percentile(all, 0.99),
      smallP99: percentile(small, 0.99),
      jain: jainIndex(satisfactionByCaller(plain, slowdownOf)),
      fragmentation: this.#freeSum === 0 ? 0 : this.#strandedSum / this.#freeSum,
      gangWaitP50Ms: percentile(gangWaits, 0.5),
      gangWaitMaxMs: Math.max(0, ...gangWaits),
      gangsUnfinished: gangs.filter((trace) => trace.endedAs !== 'ok').length,
      guaranteesKept: owed.length === 0 ? 1 : kept.length / owed.length,
      refusedShare: plain.filter((trace) => trace.endedAs !== undefined && trace.endedAs !== 'ok' && trace.firstStartAtMs === undefined).length / plain.length,
      failedShare: plain.filter((trace) => trace.endedAs !== 'ok' && trace.firstStartAtMs !== undefined).length / plain.length,
      bulkMaxWaitMs: Math.max(0, ...bulkWaits),
      preemptions: this.domains.reduce((sum, domain) => sum + domain.preemptions, 0),
      goodput
    }
  }
}

/** Work of the time of the flood that started before its deadline. */
const isUseful = ({ arrival, submittedAtMs, firstStartAtMs }: Trace): boolean =>
  submittedAtMs >= FLOOD_FROM_MS && submittedAtMs < FLOOD_UNTIL_MS && firstStartAtMs! - submittedAtMs <= arrival.deadlineMs

/** Mean of the inverse slowdown of each caller; work that did not complete counts as 0. */
const satisfactionByCaller = (traces: readonly Trace[], slowdownOf: (trace: Trace) => number): number[] => {
  const sums = new Map<string, { sum: number, count: number }>()
  for (const trace of traces) {
    const entry = sums.get(trace.arrival.caller) ?? { sum: 0, count: 0 }
    entry.sum += trace.endedAs === 'ok' ? 1 / slowdownOf(trace) : 0
    entry.count += 1
    sums.set(trace.arrival.caller, entry)
  }
  return [...sums.values()].map(({ sum, count }) => sum / count)
}

export const simulate = (spec: RunSpec): RunResult => new Run(spec).execute()
