import type { EndpointId, TaskId } from '@ibisstair/common'
import { SchedulingState, type EndpointRecord, type StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import type { FleetView } from '../src/plan-types.ts'
import { Planner } from '../src/planner.ts'
import { createFleetView } from './support/fleet-view.ts'

const PASS_MS = 100

/** Four empty endpoints; w0 is the first choice when nothing else decides. */
class Fixture {
  readonly state = new SchedulingState()
  readonly planner = new Planner()
  readonly endpoints = ['w0', 'w1', 'w2', 'w3'].map((id, i) => createEndpoint(id, { address: `10.0.0.${i}:1` }))
  readonly fleet: FleetView
  nowMs = 0

  constructor (part: Partial<FleetView>) {
    this.fleet = createFleetView(part)
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
  }

  submit (id: string, step: Partial<StepSpec>): void {
    this.state.apply(accept(createSpec(id, [createStep({ estimateMs: 60_000, ...step })], { priority: 1, maxAttempts: 50 }), this.nowMs))
  }

  plan (ms: number): void {
    for (const endMs = this.nowMs + ms; this.nowMs < endMs; this.nowMs += PASS_MS) {
      const { starts } = this.planner.plan({ state: this.state, fleet: this.fleet, nowMs: this.nowMs, wallMs: this.nowMs, mayPreempt: true })
      this.state.apply({ type: 'start', groups: starts, atMs: this.nowMs })
    }
  }

  /** Ends all runs on the endpoint without an answer from it. */
  lose ({ life }: EndpointRecord): void {
    const ends = [...this.state.jobs.listRuns(life).values()].map(({ task, run }) => ({ task, run, outcome: 'lost' as const, checkpoint: '' }))
    this.state.apply({ type: 'end', endpoint: life, ends, atMs: this.nowMs })
  }

  listEndpointsOf (id: string): EndpointId[] {
    const isOf = (task: TaskId): boolean => task.startsWith(`${id}.`)
    return this.endpoints.filter(({ life }) => [...this.state.jobs.listRuns(life).keys()].some(isOf)).map((endpoint) => endpoint.id)
  }
}

const penalties = new Map([['w0', 3], ['w1', 2], ['w2', 1], ['w3', 4]])

t.test('work uses the suspect endpoint with the fewest failures once it has waited, if there is no other endpoint', async (t) => {
  for (const longRunning of [false, true]) {
    const fixture = new Fixture({ isUsable: () => false, isSuspect: () => true, getPenalty: ({ id }) => penalties.get(id)! })
    fixture.submit('a1', { longRunning })
    fixture.plan(1_500)
    t.same(fixture.listEndpointsOf('a1'), [])
    fixture.plan(PASS_MS)
    t.same(fixture.listEndpointsOf('a1'), ['w2'])
  }
})

t.test('work that is refused by suspect endpoints tries another one each second', async (t) => {
  const fixture = new Fixture({ isUsable: () => false, isSuspect: () => true, isConfirmed: () => false })
  fixture.submit('a1', {})
  const tried: EndpointId[] = []
  for (let ms = 0; ms < 6_000; ms += PASS_MS) {
    fixture.plan(PASS_MS)
    tried.push(...fixture.listEndpointsOf('a1'))
    for (const endpoint of fixture.endpoints) fixture.lose(endpoint)
  }
  t.equal(tried.length, 5)
  t.equal(new Set(tried).size, 4)
})

t.test('suspect endpoints are not used while others have room, nor for work that has just come', async (t) => {
  const fixture = new Fixture({ isUsable: ({ id }) => id === 'w3', isSuspect: ({ id }) => id !== 'w3', getPenalty: ({ id }) => id === 'w3' ? 9 : 0 })
  fixture.submit('a1', { count: 4 })
  fixture.plan(3_000)
  t.same(fixture.listEndpointsOf('a1'), ['w3'])
})

for (const [name, step] of Object.entries({ 'a task': { count: 1 }, 'a gang': { count: 2, gang: true, maxPerEndpoint: 1 } })) {
  t.test(`${name} that was tried in vain goes to endpoints that have answered, and then to those where it was not tried`, async (t) => {
    const answering = new Set<string>(['w2', 'w3'])
    const fixture = new Fixture({ isConfirmed: () => false, hasAnswered: ({ id }) => answering.has(id) })
    fixture.submit('a1', step)
    fixture.plan(PASS_MS)
    const [first] = fixture.listEndpointsOf('a1')
    t.equal(first, 'w0', 'work that has not been tried goes where it would')
    for (const endpoint of fixture.endpoints) fixture.lose(endpoint)
    fixture.plan(PASS_MS)
    t.same(fixture.listEndpointsOf('a1'), step.count === 1 ? ['w2'] : ['w2', 'w3'])
    for (const endpoint of fixture.endpoints) fixture.lose(endpoint)
    answering.clear()
    fixture.plan(PASS_MS)
    t.same(fixture.listEndpointsOf('a1'), step.count === 1 ? ['w1'] : ['w0', 'w1'])
  })
}
