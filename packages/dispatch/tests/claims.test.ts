import { asId, type CustomerId, type TaskId } from '@ibisstair/common'
import { SchedulingState, type EndpointIncarnation, type EndpointRecord } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import { Planner } from '../src/planner.ts'
import { createFleetView } from './support/fleet-view.ts'

const PASS_MS = 100
/** Time from an order to stop a run until it has ended. */
const STOP_MS = 800
/** Guaranteed work begins within this time of its acceptance; the platform allows 2,900 ms. */
const START_BOUND_MS = 2_200
const ACCEPTED_AT_MS = 1_000
const WHOLE = { cpuMilli: 1_000, memMb: 100, accelerators: 8 }
const CUSTOMER = asId<CustomerId>('c1')
const OTHER_CUSTOMER = asId<CustomerId>('c0')

/** Three full endpoints, each with one run that is less urgent, and a guaranteed job for one of them. */
class Fixture {
  readonly state = new SchedulingState()
  readonly planner = new Planner()
  readonly endpoints = ['w0', 'w1', 'w2'].map((id, i) => createEndpoint(id, { address: `10.0.0.${i}:1` }))
  readonly unusable = new Set<EndpointRecord>()
  /** Remaining time of runs as their progress shows it. */
  readonly remainingMs = new Map<TaskId, number>()
  readonly #endAtMs = new Map<TaskId, number>()
  readonly preempted: TaskId[] = []
  nowMs = 0

  constructor () {
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
    this.state.apply({ type: 'configure', config: { version: 1, queues: [], services: [], customers: [{ name: CUSTOMER, keys: [], guaranteedAccelerators: 8 }], document: '' } })
    for (let i = 0; i < 3; i++) {
      this.state.apply(accept(createSpec(`b${i}`, [createStep({ resources: WHOLE, estimateMs: 60_000 })], { priority: 2 - Math.min(i, 1) }), 0))
      this.plan(PASS_MS)
    }
    this.plan(ACCEPTED_AT_MS - this.nowMs)
    this.state.apply(accept(createSpec('a1', [createStep({ resources: WHOLE, estimateMs: 1_000 })], { priority: 0, customer: CUSTOMER }), this.nowMs))
  }

  plan (ms: number): void {
    const fleet = createFleetView({
      isUsable: ({ id }) => ![...this.unusable].some((endpoint) => endpoint.id === id),
      estimateRemainingMs: ({ task }) => this.remainingMs.get(task) ?? null
    })
    for (const endMs = this.nowMs + ms; this.nowMs < endMs; this.nowMs += PASS_MS) {
      this.#endRuns()
      const { starts, preempted } = this.planner.plan({ state: this.state, fleet, nowMs: this.nowMs, wallMs: this.nowMs, mayPreempt: true })
      this.state.apply({ type: 'start', groups: starts, atMs: this.nowMs })
      for (const task of preempted) {
        if (!this.#endAtMs.has(task)) this.#endAtMs.set(task, this.nowMs + STOP_MS)
        this.preempted.push(task)
      }
    }
  }

  get hasBegun (): boolean {
    return this.state.jobs.get(asId('a1'))!.hasBegun
  }

  findEndpointOf (task: string): EndpointRecord {
    return this.endpoints.find(({ life }) => this.state.jobs.listRuns(life).has(asId<TaskId>(task)))!
  }

  #endRuns (): void {
    for (const { life } of this.endpoints) {
      const ends = [...this.state.jobs.listRuns(life).values()].filter(({ task }) => this.nowMs >= (this.#endAtMs.get(task) ?? Infinity))
        .map(({ task, run }) => ({ task, run, outcome: 'stopped' as const, checkpoint: '' }))
      if (ends.length > 0) this.state.apply({ type: 'end', endpoint: life, ends, atMs: this.nowMs })
    }
  }
}

t.test('guaranteed work begins in time although a run that was to end soon does not end', async (t) => {
  const fixture = new Fixture()
  fixture.remainingMs.set(asId<TaskId>('b0.0.0.0'), 700)
  fixture.plan(START_BOUND_MS)
  t.ok(fixture.hasBegun)
  t.same([...new Set(fixture.preempted)], ['b0.0.0.0'])
})

t.test('guaranteed work begins in time although the endpoint of its victim goes out of use', async (t) => {
  const fixture = new Fixture()
  fixture.plan(2 * PASS_MS)
  const [victim] = fixture.preempted
  fixture.unusable.add(fixture.findEndpointOf(victim!))
  fixture.plan(START_BOUND_MS - 2 * PASS_MS)
  t.ok(fixture.hasBegun)
})

t.test('guaranteed work begins in time although the endpoint of its victim shrinks', async (t) => {
  const fixture = new Fixture()
  fixture.plan(2 * PASS_MS)
  const [victim] = fixture.preempted
  const endpoint = fixture.findEndpointOf(victim!)
  fixture.state.apply(register({ ...endpoint, capacity: { ...endpoint.capacity, accelerators: 4 } }, fixture.nowMs))
  fixture.plan(START_BOUND_MS - 2 * PASS_MS)
  t.ok(fixture.hasBegun)
})

t.test('guaranteed work keeps its claim until the endpoint has answered a call, so that no other work takes its place (RECLAIM)', async (t) => {
  const state = new SchedulingState()
  const planner = new Planner()
  const answering = new Set<EndpointIncarnation>()
  const fleet = createFleetView({ hasAnsweredOfLate: (life) => answering.has(life) })
  const endpoint = createEndpoint('w0')
  state.apply(register(endpoint))
  state.apply({ type: 'configure', config: { version: 1, queues: [], services: [], customers: [CUSTOMER, OTHER_CUSTOMER].map((name) => ({ name, keys: [], guaranteedAccelerators: 8 })), document: '' } })
  /** As the dispatcher does, a start is proposed only where the endpoint has answered. */
  const plan = (nowMs: number): string[] => {
    const starts = planner.plan({ state, fleet, nowMs, wallMs: nowMs, mayPreempt: true }).starts.filter(({ members }) => members.every((member) => answering.has(member.endpoint)))
    state.apply({ type: 'start', groups: starts, atMs: nowMs })
    return starts.map(({ job }) => job)
  }
  answering.add(endpoint.life)
  state.apply(accept(createSpec('b1', [createStep({ resources: WHOLE })], { priority: 1 }), 0))
  plan(0)
  state.apply(accept(createSpec('a1', [createStep({ resources: WHOLE })], { priority: 0, customer: CUSTOMER }), 1_000))
  plan(1_000)
  // The victim has ended, and the endpoint has not answered for a while; then an older urgent job is accepted.
  state.apply({ type: 'end', endpoint: endpoint.life, ends: [{ task: asId<TaskId>('b1.0.0.0'), run: 1, outcome: 'stopped', checkpoint: '' }], atMs: 1_500 })
  state.apply({ type: 'cancel', job: asId('b1'), atMs: 1_500 })
  answering.clear()
  t.same(plan(1_500), [])
  state.apply(accept(createSpec('a0', [createStep({ resources: WHOLE })], { priority: 0, customer: OTHER_CUSTOMER, targetLatencyMs: 1 }), 0))
  answering.add(endpoint.life)
  t.same(plan(1_600), ['a1'])
})
