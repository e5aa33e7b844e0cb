import { asId, type RackId } from '@ibisstair/common'
import { SchedulingState, type EndpointRecord, type StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register, start } from '../../jobs/tests/support/samples.ts'
import { MAX_SUSPECT_WAIT_MS } from '../src/constants.ts'
import { Planner } from '../src/planner.ts'
import { createFleetView } from './support/fleet-view.ts'

/** A planner over four endpoints of 8 accelerators. `crash` blames the job that was started last. */
class Fixture {
  readonly state = new SchedulingState()
  readonly planner = new Planner()
  endpoints: EndpointRecord[]
  nowMs = 0

  constructor () {
    this.endpoints = [0, 1, 2, 3].map((i) => createEndpoint(`w${i}`, { address: `10.0.0.${i}:1`, rack: asId<RackId>('r1') }))
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
  }

  submit (id: string, step: Partial<StepSpec> = {}, priority = 1): void {
    this.state.apply(accept(createSpec(id, [createStep({ estimateMs: 3_000, ...step })], { priority, stretch: 3 }), this.nowMs))
  }

  plan (): void {
    const fleet = createFleetView()
    const plan = this.planner.plan({ state: this.state, fleet, nowMs: this.nowMs, wallMs: this.nowMs, mayPreempt: true })
    this.state.apply({ type: 'start', groups: plan.starts, atMs: this.nowMs })
  }

  /** Starts a task of the job on an endpoint, which crashes and returns empty 3 s later. */
  crashUnder (id: string, index: number): void {
    const endpoint = this.endpoints[index]!
    this.state.apply(start(id, 0, 1, [endpoint], this.nowMs))
    const silence = { life: endpoint.life, sinceMs: this.nowMs + 20, together: [] }
    this.nowMs += 3_000
    this.endpoints[index] = createEndpoint(`${endpoint.id}x`, { address: endpoint.address, rack: endpoint.rack, bornMs: this.nowMs })
    this.state.apply({ type: 'register-endpoint', endpoint: this.endpoints[index]!, atMs: this.nowMs, silences: [silence] })
  }

  jobsOn (index: number): string[] {
    return [...new Set([...this.state.jobs.listRuns(this.endpoints[index]!.life).keys()].map((task) => task.split('.')[0]!))]
  }

  findEndpoint (id: string): number {
    return this.endpoints.findIndex((_, index) => this.jobsOn(index).includes(id))
  }

  countActive (id: string): number {
    return this.state.jobs.get(asId(id))!.activeRuns
  }
}

t.test('a suspect runs alone on another endpoint, and nothing joins it until it has lasted', async (t) => {
  const fixture = new Fixture()
  fixture.submit('bad')
  fixture.crashUnder('bad', 0)
  fixture.submit('good', { count: 24 })
  fixture.plan()
  const index = fixture.findEndpoint('bad')
  t.not(index, 0, 'the endpoint that crashed may be at fault itself')
  t.same(fixture.jobsOn(index), ['bad'])
  fixture.submit('late', { count: 8 })
  fixture.plan()
  t.same(fixture.jobsOn(index), ['bad'])
  fixture.nowMs += 2_500
  fixture.plan()
  t.ok(fixture.jobsOn(index).length > 1, 'the run has outlasted its probation')
})

t.test('a suspect waits for an empty endpoint only for a while', async (t) => {
  const fixture = new Fixture()
  fixture.submit('bad')
  fixture.submit('good', { count: 16 })
  fixture.crashUnder('bad', 0)
  // Every endpoint has other runs.
  for (const index of [0, 1, 2, 3]) fixture.state.apply({ type: 'start', groups: [{ job: asId('good'), occurrence: 0, step: 0, run: 1, members: [0, 1, 2, 3].map((i) => ({ index: 4 * index + i, endpoint: fixture.endpoints[index]!.life })) }], atMs: fixture.nowMs })
  fixture.plan()
  t.equal(fixture.countActive('bad'), 0)
  fixture.nowMs += MAX_SUSPECT_WAIT_MS
  fixture.plan()
  t.equal(fixture.countActive('bad'), 1)
  t.not(fixture.findEndpoint('bad'), 0)
})

t.test('the other tasks of a suspect\'s step wait until it has lasted', async (t) => {
  const fixture = new Fixture()
  fixture.submit('bad', { count: 10 })
  fixture.crashUnder('bad', 0)
  fixture.plan()
  t.equal(fixture.countActive('bad'), 1)
  fixture.nowMs += 2_500
  fixture.plan()
  t.equal(fixture.countActive('bad'), 10)
})

t.test('two suspects do not share an endpoint', async (t) => {
  const fixture = new Fixture()
  for (const id of ['bad1', 'bad2']) fixture.submit(id)
  fixture.crashUnder('bad1', 0)
  fixture.crashUnder('bad2', 1)
  fixture.plan()
  t.equal(fixture.countActive('bad1') + fixture.countActive('bad2'), 2)
  t.not(fixture.findEndpoint('bad1'), fixture.findEndpoint('bad2'))
})

t.test('a suspect gang is placed whole and apart', async (t) => {
  const fixture = new Fixture()
  fixture.submit('bad', { count: 2, gang: true, resources: { cpuMilli: 1_000, memMb: 1, accelerators: 8 } })
  fixture.state.apply({ type: 'start', groups: [{ job: asId('bad'), occurrence: 0, step: 0, run: 1, members: [0, 1].map((index) => ({ index, endpoint: fixture.endpoints[index]!.life })) }], atMs: 0 })
  const silence = { life: fixture.endpoints[0]!.life, sinceMs: 20, together: [] }
  fixture.nowMs = 3_000
  const successor = createEndpoint('w0x', { address: fixture.endpoints[0]!.address, rack: fixture.endpoints[0]!.rack, bornMs: 3_000 })
  fixture.state.apply({ type: 'register-endpoint', endpoint: successor, atMs: fixture.nowMs, silences: [silence] })
  fixture.endpoints[0] = successor
  fixture.state.apply({ type: 'end', endpoint: fixture.endpoints[1]!.life, ends: [{ task: asId('bad.0.0.1'), run: 1, outcome: 'broken', checkpoint: '' }], atMs: fixture.nowMs })
  fixture.plan()
  t.equal(fixture.countActive('bad'), 2)
  t.same(fixture.jobsOn(0), [])
})
