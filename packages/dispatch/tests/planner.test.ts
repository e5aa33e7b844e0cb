import { asId, type CustomerId, type RackId } from '@ibisstair/common'
import { SchedulingState, type EndpointRecord, type JobSpec, type StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import { Planner, type Plan } from '../src/index.ts'
import { createLargeFleet } from './support/large-fleet.ts'

const clinics = asId<CustomerId>('clinics')

/** A planner on a fleet of two racks with four endpoints of eight accelerators each; every start succeeds. */
class PlannerFixture {
  readonly state = new SchedulingState()
  readonly planner = new Planner()
  readonly endpoints: readonly EndpointRecord[]
  nowMs = 0

  constructor (guarantee = 0) {
    this.endpoints = Array.from({ length: 8 }, (_, i) => createEndpoint(`w${i}`, { address: `10.0.0.${i}:1`, rack: asId<RackId>(i < 4 ? 'r1' : 'r2') }))
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
    this.state.apply({ type: 'configure', config: { version: 1, queues: [], services: [], customers: [{ name: clinics, keys: [], guaranteedAccelerators: guarantee }], document: '' } })
  }

  submit (id: string, step: Partial<StepSpec>, part: Partial<JobSpec>): void {
    this.state.apply(accept(createSpec(id, [createStep({ resources: { cpuMilli: 1_000, memMb: 100, accelerators: 1 }, estimateMs: 3_000, ...step })], { stretch: 3, ...part }), this.nowMs))
  }

  plan (): Plan {
    const fleet = { isUsable: () => true, getPenalty: () => 0 }
    const plan = this.planner.plan({ state: this.state, fleet, nowMs: this.nowMs, wallMs: this.nowMs })
    this.state.apply({ type: 'start', groups: plan.starts, atMs: this.nowMs })
    return plan
  }

  /** Ends every run as done. */
  finishAll (): void {
    for (const { life: incarnation } of this.endpoints) {
      const ends = [...this.state.jobs.listRuns(incarnation).values()].map(({ task, run }) => ({ task, run, outcome: 'done' as const, checkpoint: '' }))
      this.state.apply({ type: 'end', endpoint: incarnation, ends, atMs: this.nowMs })
    }
  }

  countRunning (id: string): number {
    return this.state.jobs.get(asId(id))!.activeRuns
  }
}

const gang = (count: number, accelerators: number): Partial<StepSpec> =>
  ({ count, gang: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators } })

t.test('a flood of the least urgent work leaves room for the urgent work that is expected', async (t) => {
  // Urgent jobs had to wait for victims to end, which took most of their objective.
  const world = new PlannerFixture()
  for (let i = 0; i < 10; i++) {
    world.submit(`a${i}`, gang(2, 4), { priority: 0 })
    world.plan()
    world.finishAll()
    world.nowMs += 1_000
  }
  world.submit('f', { count: 64 }, { priority: 2 })
  // Its share first, and what is left beside the reserve with the next pass.
  for (let pass = 0; pass < 3; pass++) world.plan()
  t.ok(world.countRunning('f') > 20, 'most of the fleet is used')
  world.submit('b', gang(2, 4), { priority: 0 })
  t.same(world.plan().preempted, [])
  t.equal(world.countRunning('b'), 2)
})

t.test('the least urgent work has a share of the fleet while gangs wait', async (t) => {
  // It was starved below its floor by room that was kept for others.
  const world = new PlannerFixture()
  world.submit('g1', gang(7, 8), { priority: 1 })
  world.plan()
  world.submit('g2', gang(8, 8), { priority: 1 })
  world.submit('f', { count: 20 }, { priority: 2 })
  world.plan()
  t.ok(world.countRunning('f') > 0)
})

t.test('a large gang is not overtaken for ever by single tasks', async (t) => {
  const world = new PlannerFixture()
  world.submit('f', { count: 64 }, { priority: 2 })
  world.plan()
  world.submit('g', { ...gang(4, 8), tightlyCoupled: true }, { priority: 1 })
  for (let round = 0; round < 12 && world.countRunning('g') === 0; round++) {
    // Two endpoints at a time finish what runs there, and more work of the flood comes in.
    for (const { life: incarnation } of [world.endpoints[round % 8]!, world.endpoints[(round + 1) % 8]!]) {
      const ends = [...world.state.jobs.listRuns(incarnation).values()].map(({ task, run }) => ({ task, run, outcome: 'done' as const, checkpoint: '' }))
      world.state.apply({ type: 'end', endpoint: incarnation, ends, atMs: world.nowMs })
    }
    world.submit(`m${round}`, { count: 16 }, { priority: 2 })
    world.nowMs += 500
    world.plan()
  }
  t.equal(world.countRunning('g'), 4)
})

t.test('urgent work beyond a guarantee does not throw away far more than it is worth', async (t) => {
  const fill = (guarantee: number): PlannerFixture => {
    const world = new PlannerFixture(guarantee)
    world.submit('g', gang(8, 8), { priority: 1, customer: null })
    world.plan()
    world.nowMs += 9_000
    world.submit('u', { count: 1, resources: { cpuMilli: 1_000, memMb: 100, accelerators: 1 } }, { priority: 0, customer: clinics })
    return world
  }
  t.same(fill(0).plan().preempted, [])
  t.equal(fill(8).plan().preempted.length, 8, 'a guarantee is reclaimed from running work')
})

t.test('what can still be on time goes before what is late', async (t) => {
  const world = new PlannerFixture()
  world.submit('old', gang(8, 8), { priority: 1, stretch: 1.1, targetLatencyMs: 10 })
  world.nowMs = 8_000
  world.submit('new', gang(8, 8), { priority: 1 })
  world.plan()
  t.equal(world.countRunning('new'), 8)
})

t.test('the runs of a task are numbered from one, those of a gang together', async (t) => {
  const world = new PlannerFixture()
  world.submit('f', { count: 2 }, { priority: 1 })
  world.plan()
  const [first] = [...world.state.jobs.listRuns(world.endpoints[0]!.life).values()]
  world.state.apply({ type: 'end', endpoint: first!.endpoint, ends: [{ task: first!.task, run: 1, outcome: 'stopped', checkpoint: '' }], atMs: 0 })
  world.submit('h', { count: 1 }, { priority: 1 })
  const runs = world.plan().starts.map(({ job, run }) => `${job}#${run}`)
  t.same(runs.sort(), ['f#2', 'h#1'])
})

t.test('a job runs on endpoints of its own service only', async (t) => {
  // The sites have one service each, so that no day there shows a start on another one.
  const world = new PlannerFixture()
  world.submit('x', { count: 2 }, { priority: 1, service: 'other' })
  t.same(world.plan().starts, [])
  world.submit('y', { count: 2 }, { priority: 1 })
  t.equal(world.plan().starts.length, 1)
})

t.test('what is placed and what waits for victims together keep the limit of tasks for each endpoint', async (t) => {
  const world = new PlannerFixture(64)
  world.submit('f', gang(7, 8), { priority: 1, customer: null })
  world.plan()
  world.nowMs += 100
  world.submit('u', { count: 4, maxPerEndpoint: 1 }, { priority: 0 })
  const { preempted } = world.plan()
  t.equal(preempted.length, 7)
  const stopped = preempted.map((task) => ({ task, run: 1, outcome: 'stopped' as const, checkpoint: '' }))
  // Each endpoint is heard on all of them; only what ran there counts.
  for (const { life: incarnation } of world.endpoints) world.state.apply({ type: 'end', endpoint: incarnation, ends: stopped, atMs: world.nowMs })
  world.plan()
  t.equal(world.countRunning('u'), 4)
  const most = Math.max(...world.endpoints.map(({ life: incarnation }) => [...world.state.jobs.listRuns(incarnation).keys()].filter((task) => task.startsWith('u.')).length))
  t.equal(most, 1)
})

t.test('a pass over a large, full fleet takes a small part of the time in which urgent work has to start', async (t) => {
  // Passes of 200 to 400 ms kept the leader from renewing leases and from answering callers.
  const URGENT_OBJECTIVE_MS = 250
  const state = createLargeFleet(246, 446)
  const planner = new Planner()
  const fleet = { isUsable: () => true, getPenalty: () => 0 }
  const times: number[] = []
  for (let pass = 0; pass < 6; pass++) {
    const beganAtMs = performance.now()
    const { starts } = planner.plan({ state, fleet, nowMs: 10_000 + pass, wallMs: 10_000 + pass })
    times.push(performance.now() - beganAtMs)
    state.apply({ type: 'start', groups: starts, atMs: 10_000 + pass })
  }
  const shortest = Math.min(...times)
  t.ok(shortest < URGENT_OBJECTIVE_MS / 5, `the shortest pass took ${shortest.toFixed(1)} ms`)
})
