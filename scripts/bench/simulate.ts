import { asId } from '@ibisstair/common'
import type { CustomerId, KindOfWork } from '@ibisstair/common'
import type { CustomerShare, DomainShare, KindConfig, Shape } from '@ibisstair/model'
import type { DomainScheduler } from '@ibisstair/scheduler'
import { ManualTimerService } from '@ibisstair/timers'
import type { DomainListener, FakeWorker, Trace } from './fake-domain.ts'
import { FakeDomain, toDomainId } from './fake-domain.ts'
import { createScheduler } from './policies.ts'
import { jainIndex, percentile } from './statistics.ts'
import type { Arrival, DeploymentName, Phase, RunResult, RunSpec } from './types.ts'
import { ARRIVALS_MS, FLOOD_FROM_MS, FLOOD_UNTIL_MS, KINDS, createWorkload } from './workload.ts'

const WORKERS_PER_DOMAIN = [8, 8, 7, 7]
const WORKERS_PER_RACK = 6
const ACCELERATORS = 8
const MAX_QUEUED = 500
const DRAIN_MS = 60_000
const SAMPLE_PERIOD_MS = 500
/** Upper bound on the time to reclaim a guaranteed shape (section 5.11). */
const RECLAIM_BOUND_MS = 5500
const LARGEST_SHAPE: Shape = { tasks: 4, acceleratorsPerTask: 8, slotsPerTask: 1, adjacency: 'rack' }
const RETRIABLE_REFUSALS = new Set(['queue-full', 'deadline-unreachable'])

const guarantee = (tasks: number, acceleratorsPerTask: number, adjacency: Shape['adjacency'], count: number): CustomerShare['guarantees'][number] =>
  ({ shape: { tasks, acceleratorsPerTask, slotsPerTask: 1, adjacency }, count })

const CUSTOMERS: readonly CustomerShare[] = [
  { id: asId<CustomerId>('a'), priority: 1, maxQueued: MAX_QUEUED, guarantees: [guarantee(4, 8, 'rack', 1)] },
  { id: asId<CustomerId>('b'), priority: 1, maxQueued: MAX_QUEUED, guarantees: [guarantee(1, 8, 'worker', 1)] },
  { id: asId<CustomerId>('c'), priority: 1, maxQueued: MAX_QUEUED, guarantees: [guarantee(1, 1, 'any', 4)] },
  { id: asId<CustomerId>('d'), priority: 1, maxQueued: MAX_QUEUED, guarantees: [guarantee(1, 1, 'any', 4)] }
]
const GUARANTEED_ACCELERATORS: Record<string, number> = { a: 32, b: 8, c: 4, d: 4 }

const createDomainShare = (deployment: DeploymentName, domain: number): DomainShare => {
  const kinds = new Map<string, KindConfig>()
  for (const spec of KINDS[deployment]) {
    if (kinds.has(spec.kind)) continue
    kinds.set(spec.kind, {
      kind: asId<KindOfWork>(spec.kind), urgency: spec.urgency, idempotent: spec.idempotent, expectedRunMs: spec.meanRunMs, objective: { startWithinMs: 1000, target: 0.99 }
    })
  }
  return { version: 1, domain: toDomainId(domain), customers: CUSTOMERS, kinds: [...kinds.values()], drains: [] }
}

const createWorkers = (phase: Phase, domain: number): FakeWorker[] =>
  Array.from({ length: WORKERS_PER_DOMAIN[domain]! }, (_, i) => ({
    id: `w${domain}-${i}`,
    rack: `rack${domain}-${Math.floor(i / WORKERS_PER_RACK)}`,
    accelerators: ACCELERATORS,
    // One worker in each of three domains fails every task; one worker of the fourth is three times slower.
    failsEverything: phase === 'failing-workers' && i === 1 && domain < 3,
    slowdownFactor: phase === 'failing-workers' && i === 3 && domain === 3 ? 3 : 1,
    busy: 0,
    freeAccelerators: ACCELERATORS,
    running: new Set()
  }))

class Run implements DomainListener {
  readonly timers = new ManualTimerService()
  readonly traces: Trace[] = []
  readonly domains: FakeDomain[]
  readonly #outstandingAccelerators = new Map<string, number>()
  readonly #triedDomains = new Map<string, Set<FakeDomain>>()
  #freeAcceleratorsSum = 0
  #strandedAcceleratorsSum = 0

  constructor (readonly spec: RunSpec) {
    this.domains = WORKERS_PER_DOMAIN.map((_, i) => {
      const scheduler: DomainScheduler = createScheduler(spec.policy)
      return new FakeDomain(scheduler, this.timers, createDomainShare(spec.deployment, i), createWorkers(spec.phase, i), this)
    })
  }

  execute (): RunResult {
    const total = WORKERS_PER_DOMAIN.reduce((sum, n) => sum + n, 0) * ACCELERATORS
    const arrivals = createWorkload(this.spec.deployment, this.spec.phase, this.spec.seed, total)
    for (const arrival of arrivals) if (!this.spec.alone || arrival.isSmallCaller) this.#schedule(arrival)
    this.timers.every(SAMPLE_PERIOD_MS, () => { if (this.timers.now() <= ARRIVALS_MS) this.#sampleFragmentation() })
    this.timers.advance(ARRIVALS_MS + DRAIN_MS)
    return this.#summarize()
  }

  onRefused (trace: Trace, kind: string, domain: FakeDomain): void {
    this.#releaseOutstanding(trace, domain)
    const tried = this.#triedDomains.get(trace.arrival.id) ?? new Set()
    tried.add(domain)
    this.#triedDomains.set(trace.arrival.id, tried)
    const next = this.domains.find((other) => !tried.has(other) && !this.#isPartitioned(other))
    if (RETRIABLE_REFUSALS.has(kind) && next) return this.#submit(trace, next)
    trace.outcome = kind
  }

  onEnded (trace: Trace, domain: FakeDomain): void {
    this.#releaseOutstanding(trace, domain)
  }

  #schedule (arrival: Arrival): void {
    const trace: Trace = { arrival, submittedAtMs: arrival.atMs, firstStartAtMs: undefined, finishedAtMs: undefined, outcome: undefined, checkpointedMs: 0, isWithinGuarantee: false }
    this.traces.push(trace)
    this.timers.subscribe(arrival.atMs, () => {
      const homeDomain = this.domains[arrival.domain]!
      this.#submit(trace, this.#isPartitioned(homeDomain) ? this.domains[(arrival.domain + 1 + (this.traces.length % 3)) % 4]! : homeDomain)
    })
    const { cancelAtMs } = arrival
    if (cancelAtMs !== undefined) this.timers.subscribe(cancelAtMs, () => { for (const domain of this.domains) domain.cancel(arrival.id) })
  }

  #isPartitioned (domain: FakeDomain): boolean {
    const now = this.timers.now()
    return this.spec.phase === 'cut-off' && domain === this.domains[0] && now >= FLOOD_FROM_MS && now < FLOOD_UNTIL_MS
  }

  #submit (trace: Trace, domain: FakeDomain): void {
    const key = `${trace.arrival.customer}@${domain.share.domain}`
    const accelerators = trace.arrival.shape.tasks * trace.arrival.shape.acceleratorsPerTask
    const outstanding = (this.#outstandingAccelerators.get(key) ?? 0) + accelerators
    this.#outstandingAccelerators.set(key, outstanding)
    // The reclaim bound applies only to jobs that arrive while the customer is below its guarantee.
    trace.isWithinGuarantee = outstanding <= GUARANTEED_ACCELERATORS[trace.arrival.customer]!
    domain.submit(trace)
  }

  #releaseOutstanding (trace: Trace, domain: FakeDomain): void {
    const key = `${trace.arrival.customer}@${domain.share.domain}`
    const accelerators = trace.arrival.shape.tasks * trace.arrival.shape.acceleratorsPerTask
    this.#outstandingAccelerators.set(key, (this.#outstandingAccelerators.get(key) ?? 0) - accelerators)
  }

  #sampleFragmentation (): void {
    for (const domain of this.domains) {
      const freeWorkersByRack = new Map<string, number>()
      for (const worker of domain.workers.values()) {
        this.#freeAcceleratorsSum += worker.freeAccelerators
        this.#strandedAcceleratorsSum += worker.freeAccelerators
        if (worker.freeAccelerators >= LARGEST_SHAPE.acceleratorsPerTask) freeWorkersByRack.set(worker.rack, (freeWorkersByRack.get(worker.rack) ?? 0) + 1)
      }
      // In a rack that can still hold the shape, each entirely free worker counts as usable.
      for (const count of freeWorkersByRack.values()) if (count >= LARGEST_SHAPE.tasks) this.#strandedAcceleratorsSum -= count * ACCELERATORS
    }
  }

  #summarize (): RunResult {
    const done = this.traces.filter((trace) => trace.outcome === 'ok')
    const notCancelled = this.traces.filter((trace) => trace.arrival.cancelAtMs === undefined)
    const slowdownOf = (trace: Trace): number => (trace.finishedAtMs! - trace.submittedAtMs) / trace.arrival.runMs
    const regular = done.filter((trace) => !trace.arrival.isFlood)
    const urgent = regular.filter((trace) => trace.arrival.urgency === 'urgent').map(slowdownOf)
    const all = regular.map(slowdownOf)
    const small = regular.filter((trace) => trace.arrival.isSmallCaller).map(slowdownOf)
    const gangs = this.traces.filter((trace) => trace.arrival.shape.tasks > 1)
    const gangWaits = gangs.filter((trace) => trace.firstStartAtMs !== undefined).map((trace) => trace.firstStartAtMs! - trace.submittedAtMs)
    const guaranteedJobs = notCancelled.filter((trace) => trace.isWithinGuarantee)
    const startedInTime = guaranteedJobs.filter((trace) => trace.firstStartAtMs !== undefined && trace.firstStartAtMs - trace.submittedAtMs <= RECLAIM_BOUND_MS)
    const bulkWaits = regular.filter((trace) => trace.arrival.urgency === 'bulk').map((trace) => trace.firstStartAtMs! - trace.submittedAtMs)
    const nonFlood = notCancelled.filter((trace) => !trace.arrival.isFlood)
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
      jain: jainIndex(getMeanInverseSlowdowns(nonFlood, slowdownOf)),
      fragmentation: this.#freeAcceleratorsSum === 0 ? 0 : this.#strandedAcceleratorsSum / this.#freeAcceleratorsSum,
      gangWaitP50Ms: percentile(gangWaits, 0.5),
      gangWaitMaxMs: Math.max(0, ...gangWaits),
      gangsUnfinished: gangs.filter((trace) => trace.outcome !== 'ok').length,
      guaranteesKept: guaranteedJobs.length === 0 ? 1 : startedInTime.length / guaranteedJobs.length,
      refusedShare: nonFlood.filter((trace) => trace.outcome !== undefined && trace.outcome !== 'ok' && trace.firstStartAtMs === undefined).length / nonFlood.length,
      failedShare: nonFlood.filter((trace) => trace.outcome !== 'ok' && trace.firstStartAtMs !== undefined).length / nonFlood.length,
      bulkMaxWaitMs: Math.max(0, ...bulkWaits),
      preemptions: this.domains.reduce((sum, domain) => sum + domain.preemptions, 0),
      goodput
    }
  }
}

/** Whether a job submitted during the flood started before its deadline. */
const isUseful = ({ arrival, submittedAtMs, firstStartAtMs }: Trace): boolean =>
  submittedAtMs >= FLOOD_FROM_MS && submittedAtMs < FLOOD_UNTIL_MS && firstStartAtMs! - submittedAtMs <= arrival.deadlineMs

/** Returns the mean inverse slowdown of each caller; a job that did not complete counts as 0. */
const getMeanInverseSlowdowns = (traces: readonly Trace[], slowdownOf: (trace: Trace) => number): number[] => {
  const sums = new Map<string, { sum: number, count: number }>()
  for (const trace of traces) {
    const entry = sums.get(trace.arrival.caller) ?? { sum: 0, count: 0 }
    entry.sum += trace.outcome === 'ok' ? 1 / slowdownOf(trace) : 0
    entry.count += 1
    sums.set(trace.arrival.caller, entry)
  }
  return [...sums.values()].map(({ sum, count }) => sum / count)
}

export const simulate = (spec: RunSpec): RunResult => new Run(spec).execute()
