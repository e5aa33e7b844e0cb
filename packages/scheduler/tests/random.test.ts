import { asId } from '@ibisstair/common'
import type { EndpointId, JobId, RackId } from '@ibisstair/common'
import type { Urgency } from '@ibisstair/model'
import fc from 'fast-check'
import t from 'tap'
import type { Decision, FinishResult } from '../src/index.ts'
import { FCFS_POLICY, DEFAULT_POLICY, Scheduler } from '../src/index.ts'
import { Harness, customer, endpoint, share, shape } from './support.ts'

const SEED = 20_261_204
const WORKERS = 6

const shapes = [shape(1, 1), shape(1, 2), shape(1, 8, 'worker'), shape(2, 4, 'rack'), shape(2, 8, 'rack'), shape(3, 1), shape(1, 0), shape(1, 99)]

const guaranteedShapes = [shape(1, 1), shape(1, 8, 'worker'), shape(2, 4, 'rack'), shape(2, 8, 'rack')]

const step = fc.oneof(
  { weight: 9, arbitrary: fc.record({ op: fc.constant('submit' as const), customer: fc.constantFrom('a', 'b', 'c'), caller: fc.constantFrom('x', 'y'), urgency: fc.constantFrom<Urgency>('urgent', 'normal', 'bulk'), shape: fc.constantFrom(...shapes), idempotent: fc.boolean(), deadlineMs: fc.constantFrom(50, 3000, 1_000_000), expectedRunMs: fc.constantFrom(10, 1000, 3_600_000) }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('finish' as const), at: fc.nat(50), result: fc.constantFrom<FinishResult>('ok', 'ok', 'ok', 'failed', 'lost') }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('start-failed' as const), at: fc.nat(50) }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('cancel' as const), at: fc.nat(300) }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('up' as const), worker: fc.nat(WORKERS - 1), incarnation: fc.integer({ min: 1, max: 2 }), leaving: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('down' as const), worker: fc.nat(WORKERS - 1) }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('usage' as const), worker: fc.nat(WORKERS - 1), busy: fc.nat(20) }) },
  { weight: 1, arbitrary: fc.record({ op: fc.constant('config' as const), guaranteed: fc.subarray(['a', 'b', 'c']), shape: fc.constantFrom(...guaranteedShapes), drained: fc.nat(WORKERS * 3) }) },
  { weight: 3, arbitrary: fc.record({ op: fc.constant('tick' as const), ms: fc.constantFrom(1, 100, 3000) }) }
)
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

/** Reference model that tracks running jobs from the decisions alone. */
class Model {
  readonly harness: Harness
  readonly submitted: JobId[] = []
  readonly held = new Map<JobId, Extract<Decision, { type: 'place' }>>()
  readonly stopping = new Map<JobId, FinishResult>()
  readonly ended = new Set<JobId>()
  readonly accelerators = new Map<JobId, number>()
  #seen = 0

  constructor (scheduler: Scheduler) {
    const guarantees = [{ shape: shape(2, 8, 'rack'), count: 1 }]
    this.harness = new Harness(scheduler, [customer('a', { guarantees, maxQueued: 40 }), customer('b', { guarantees: [{ shape: shape(1, 8, 'worker'), count: 1 }], maxQueued: 40 }), customer('c', { maxQueued: 40 })])
    for (let i = 0; i < WORKERS; i++) this.#up(i, 1, false)
  }

  run (steps: readonly Step[]): void {
    for (const step of steps) {
      this.#apply(step)
      this.#applyDecisions()
      this.#check()
    }
    this.#drain()
  }

  #up (worker: number, incarnation: number, leaving: boolean): void {
    this.harness.send({ type: 'endpoint-up', endpoint: endpoint(`w${worker}`, { incarnation, rack: asId<RackId>(`r${worker % 2}`), leaving }) })
  }

  #apply (step: Step): void {
    const h = this.harness
    switch (step.op) {
      case 'submit': {
        const { op, ...fields } = step
        const id = h.submit(fields)
        this.submitted.push(id)
        this.accelerators.set(id, fields.shape.acceleratorsPerTask)
        return
      }
      case 'finish': {
        const id = [...this.held.keys()][step.at % Math.max(1, this.held.size)]
        if (!id) return
        h.start(id)
        return this.#end(id, step.result)
      }
      case 'start-failed': {
        const id = [...this.held.keys()].find((job) => h.scheduler.explain(job).state === 'starting')
        if (!id) return
        this.held.delete(id)
        this.stopping.delete(id)
        h.send({ type: 'start-failed', jobId: id, refusedBy: step.at % 2 === 0 ? [] : [asId<EndpointId>(`w${step.at % WORKERS}`)] })
        return
      }
      case 'cancel': {
        const id = this.submitted[step.at % Math.max(1, this.submitted.length)]
        if (id) h.send({ type: 'cancel', jobId: id })
        return
      }
      case 'up': return this.#up(step.worker, step.incarnation, step.leaving)
      case 'down': {
        h.send({ type: 'endpoint-down', endpointId: asId<EndpointId>(`w${step.worker}`) })
        return
      }
      case 'config': {
        const customers = ['a', 'b', 'c'].map((name) => customer(name, { maxQueued: 40, guarantees: step.guaranteed.includes(name) ? [{ shape: step.shape, count: 1 }] : [] }))
        h.send({ type: 'config', share: { ...share(customers), drains: [asId<EndpointId>(`w${step.drained}`)] } })
        return
      }
      case 'usage': {
        h.send({ type: 'usage', endpointId: asId<EndpointId>(`w${step.worker}`), acceleratorsBusy: step.busy, lagMs: 500 })
        return
      }
      case 'tick': {
        h.advance(step.ms)
        for (const [id, result] of [...this.stopping]) if (step.ms >= 3000) this.#end(id, result)
      }
    }
  }

  #end (id: JobId, result: FinishResult): void {
    const place = this.held.get(id)
    if (!place) return
    this.held.delete(id)
    this.stopping.delete(id)
    this.harness.finish(id, result)
  }

  #applyDecisions (): void {
    for (const decision of this.harness.decisions.slice(this.#seen)) {
      if (this.ended.has(decision.jobId)) throw new Error(`${decision.type} for ended job ${decision.jobId}`)
      if (decision.type === 'place') {
        if (this.held.has(decision.jobId)) throw new Error(`job ${decision.jobId} placed twice`)
        this.held.set(decision.jobId, decision)
      }
      if (decision.type === 'refuse') this.ended.add(decision.jobId)
      if (decision.type === 'preempt') this.stopping.set(decision.jobId, 'preempted')
      if (decision.type === 'stop') this.stopping.set(decision.jobId, 'cancelled')
    }
    this.#seen = this.harness.decisions.length
  }

  #check (): void {
    const used = new Map<string, number>()
    const slots = new Map<string, number>()
    for (const [id, { assignments }] of this.held) {
      for (const { endpointId, incarnation } of assignments) {
        const key = `${endpointId}#${incarnation}`
        used.set(key, (used.get(key) ?? 0) + this.accelerators.get(id)!)
        slots.set(key, (slots.get(key) ?? 0) + 1)
      }
    }
    for (const count of [...used.values(), ...slots.values()]) if (count > 8) throw new Error('a worker holds more than 8 accelerators or slots')
    const stats = this.harness.scheduler.getStats()
    if (stats.running !== this.held.size) throw new Error(`the scheduler counts ${stats.running} running jobs, the decisions say ${this.held.size}`)
    const queued = this.submitted.filter((id) => this.harness.scheduler.explain(id).state === 'queued').length
    if (stats.queued !== queued) throw new Error(`the scheduler counts ${stats.queued} queued jobs, ${queued} are in that state`)
  }

  /** Finishes all remaining jobs, which shows that nothing holds capacity for ever. */
  #drain (): void {
    this.harness.send({ type: 'config', share: share(['a', 'b', 'c'].map((name) => customer(name))) })
    for (let i = 0; i < WORKERS; i++) this.#up(i, 3, false)
    for (let i = 0; i < 400; i++) {
      this.#applyDecisions()
      const id = this.held.keys().next().value
      if (id) {
        this.harness.start(id)
        this.#end(id, this.stopping.get(id) ?? 'ok')
      } else {
        this.harness.advance(1000)
      }
    }
    this.#applyDecisions()
    const waiting = this.submitted.filter((id) => this.harness.scheduler.explain(id).state === 'queued')
    const possible = waiting.filter((id) => this.accelerators.get(id)! <= 8)
    if (possible.length > 0 && this.held.size === 0) throw new Error(`${possible.length} jobs wait in an empty domain`)
  }
}

for (const [name, policy] of Object.entries({ fcfs: FCFS_POLICY, present: DEFAULT_POLICY })) {
  t.test(`random events never over-commit, lose or duplicate a job (${name}, seed ${SEED})`, async () => {
    const isFcfs = name === 'fcfs'
    fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 250 }), (steps) => {
      // A shape that fits nowhere blocks strict first come, first served for ever.
      const usable = isFcfs ? steps.filter((s) => s.op !== 'submit' || s.shape.acceleratorsPerTask <= 8) : steps
      new Model(new Scheduler(policy)).run(usable)
    }), { seed: SEED, numRuns: 300 })
  })
}
