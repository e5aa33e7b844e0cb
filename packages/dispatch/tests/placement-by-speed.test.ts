import { asId, type CustomerId, type EndpointId, type JobId, type RackId } from '@ibisstair/common'
import { SchedulingState, toTaskId, type JobSpec, type StartGroup, type StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import type { FleetView, Plan } from '../src/plan-types.ts'
import { Planner } from '../src/planner.ts'
import { createFleetView } from './support/fleet-view.ts'
import { createLargeFleet } from './support/large-fleet.ts'

const FULL = { cpuMilli: 1_000, memMb: 1, accelerators: 8 }
const SMALL = { cpuMilli: 1_000, memMb: 1, accelerators: 1 }
const URGENT: Partial<JobSpec> = { priority: 0, stretch: 1.5, targetLatencyMs: 250 }
const SLACK: Partial<JobSpec> = { priority: 2, stretch: 3, targetLatencyMs: 3_000 }

interface Endpoint {
  readonly rack: number
  readonly speed: number
  readonly isKnown?: boolean
}

class Fixture {
  readonly state = new SchedulingState()
  readonly planner = new Planner()
  readonly fleet: FleetView
  readonly endpoints
  nowMs = 0

  constructor (endpoints: readonly Endpoint[]) {
    this.endpoints = endpoints.map(({ rack }, i) => createEndpoint(`w${i}`, { address: `10.0.0.${i}:1`, rack: asId<RackId>(`r${rack}`) }))
    const find = ({ id }: { readonly id: EndpointId }): Endpoint => endpoints[Number(id.slice(1))]!
    this.fleet = createFleetView({ getSpeed: (endpoint) => find(endpoint).speed, isSpeedKnown: (endpoint) => find(endpoint).isKnown ?? true })
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
  }

  submit (id: string, step: Partial<StepSpec>, part: Partial<JobSpec>): void {
    this.state.apply(accept(createSpec(id, [createStep({ resources: FULL, estimateMs: 5_000, ...step })], part), this.nowMs))
  }

  plan (): Plan {
    const plan = this.planner.plan({ state: this.state, fleet: this.fleet, nowMs: this.nowMs, wallMs: this.nowMs, mayPreempt: true })
    this.state.apply({ type: 'start', groups: plan.starts, atMs: this.nowMs })
    return plan
  }

  /** Starts a task of the job on the endpoint, whatever the planner would do. */
  startAt (id: string, endpoint: number): void {
    const group: StartGroup = { job: asId<JobId>(id), occurrence: 0, step: 0, run: 1, members: [{ index: 0, endpoint: this.endpoints[endpoint]!.life }] }
    this.state.apply({ type: 'start', groups: [group], atMs: this.nowMs })
  }

  listEndpointsOf (id: string): string[] {
    return this.endpoints.filter(({ life }) => [...this.state.jobs.listRuns(life).keys()].some((task) => task.startsWith(`${id}.`))).map((endpoint) => String(endpoint.id))
  }
}

t.test('urgent work takes endpoints that are fast enough, then those of unknown speed', async (t) => {
  const fixture = new Fixture([{ rack: 0, speed: 0.6 }, { rack: 0, speed: 1, isKnown: false }, { rack: 0, speed: 1 }, { rack: 0, speed: 1.6 }])
  for (const [id, expected] of [['a1', ['w2', 'w3']], ['a2', ['w1']]] as const) {
    fixture.submit(id, { count: expected.length }, URGENT)
    fixture.plan()
    t.same(fixture.listEndpointsOf(id), expected)
  }
})

t.test('work with slack takes endpoints that are too slow for urgent work, unless they are too slow for it, too', async (t) => {
  const fixture = new Fixture([{ rack: 0, speed: 1 }, { rack: 0, speed: 0.6 }, { rack: 0, speed: 0.2 }])
  fixture.submit('b1', {}, SLACK)
  fixture.plan()
  t.same(fixture.listEndpointsOf('b1'), ['w1'])
  fixture.submit('b2', {}, { ...SLACK, priority: 1 })
  fixture.plan()
  t.same(fixture.listEndpointsOf('b2'), ['w0'])
})

t.test('single tasks with slack find out the speed of as many endpoints as possible, once one is known to be slow', async (t) => {
  // Guards against a part of a quiet fleet whose speeds stay unknown, since the fullest endpoints are filled first.
  const unknown = { rack: 0, speed: 1, isKnown: false }
  const fixture = new Fixture([{ rack: 0, speed: 0.1 }, unknown, unknown, unknown])
  fixture.submit('b1', { count: 4, resources: SMALL }, SLACK)
  fixture.plan()
  t.same(fixture.listEndpointsOf('b1'), ['w1', 'w2', 'w3'])
})

t.test('an urgent gang goes to the rack with enough fast endpoints', async (t) => {
  const fixture = new Fixture([{ rack: 0, speed: 0.6 }, { rack: 0, speed: 1 }, { rack: 1, speed: 1 }, { rack: 1, speed: 1.6 }, { rack: 1, speed: 0.6 }])
  fixture.submit('a1', { count: 2, gang: true, tightlyCoupled: true }, URGENT)
  fixture.plan()
  t.same(fixture.listEndpointsOf('a1'), ['w2', 'w3'])
})

t.test('urgent work stops other work on a fast endpoint before it takes a slow free one', async (t) => {
  const fixture = new Fixture([{ rack: 0, speed: 0.6 }, { rack: 0, speed: 1 }])
  fixture.submit('b1', {}, SLACK)
  fixture.startAt('b1', 1)
  fixture.nowMs = 1_000
  fixture.submit('a1', {}, URGENT)
  const { preempted } = fixture.plan()
  t.same(preempted, [toTaskId({ job: asId<JobId>('b1'), occurrence: 0, step: 0, index: 0 })])
  t.same(fixture.listEndpointsOf('a1'), [])
})

t.test('urgent work waits for a fast endpoint while it can be in time there, and then takes a slow one', async (t) => {
  // Guards against urgent work that waits for ever beside free endpoints.
  const fixture = new Fixture([{ rack: 0, speed: 0.6 }, { rack: 0, speed: 1 }])
  fixture.submit('a1', {}, URGENT)
  fixture.submit('a2', {}, URGENT)
  t.same(fixture.plan().preempted, [])
  t.same([fixture.listEndpointsOf('a1'), fixture.listEndpointsOf('a2')], [['w1'], []])
  fixture.nowMs = 1_500
  fixture.plan()
  t.same(fixture.listEndpointsOf('a2'), ['w0'])
})

t.test('guaranteed work does not wait for a fast endpoint', async (t) => {
  // Guards against a start after the reclaim bound.
  const fixture = new Fixture([{ rack: 0, speed: 0.6 }, { rack: 0, speed: 0.6 }, { rack: 0, speed: 1 }])
  const customers = [{ name: asId<CustomerId>('c1'), keys: [], guaranteedAccelerators: 16 }]
  fixture.state.apply({ type: 'configure', config: { version: 1, queues: [], services: ['s'], customers, document: '' } })
  for (const id of ['a1', 'a2']) fixture.submit(id, {}, { ...URGENT, customer: asId<CustomerId>('c1') })
  fixture.plan()
  t.same([fixture.listEndpointsOf('a1').length, fixture.listEndpointsOf('a2').length], [1, 1])
})

t.test('guaranteed work stops no urgent work, and loses no more than others, for a faster endpoint', async (t) => {
  // Guards against guaranteed work, which is not limited otherwise, that stops long runs although a slow endpoint is free.
  for (const [priority, ranMs] of [[0, 1_000], [2, 60_000]] as const) {
    const fixture = new Fixture([{ rack: 0, speed: 0.6 }, { rack: 0, speed: 1 }])
    const customers = [{ name: asId<CustomerId>('c1'), keys: [], guaranteedAccelerators: 8 }]
    fixture.state.apply({ type: 'configure', config: { version: 1, queues: [], services: ['s'], customers, document: '' } })
    fixture.submit('b1', { estimateMs: 120_000 }, { ...SLACK, priority, customer: asId<CustomerId>('c2') })
    fixture.startAt('b1', 1)
    fixture.nowMs = ranMs
    fixture.submit('a1', {}, { ...URGENT, customer: asId<CustomerId>('c1') })
    t.same(fixture.plan().preempted, [])
    t.same(fixture.listEndpointsOf('a1'), ['w0'])
  }
})

t.test('a fleet in which no endpoint is too slow is planned as if no speed were known', async (t) => {
  const planAll = (fleet: FleetView): Array<Pick<Plan, 'starts' | 'preempted'>> => {
    const state = createLargeFleet(48, 80)
    const planner = new Planner()
    return Array.from({ length: 30 }, (_, pass) => {
      const nowMs = 1_000 + 250 * pass
      const { starts, preempted } = planner.plan({ state, fleet, nowMs, wallMs: nowMs, mayPreempt: true })
      state.apply({ type: 'start', groups: starts, atMs: nowMs })
      return { starts, preempted }
    })
  }
  const speeds = [1, 0.8, 1.6, 1.3]
  const even = createFleetView({ getSpeed: ({ id }) => speeds[Number(id.slice(1)) % 4]!, isSpeedKnown: ({ id }) => Number(id.slice(1)) % 3 === 0 })
  t.same(planAll(even), planAll(createFleetView()))
})
