import { asId, type RackId, type TaskId } from '@ibisstair/common'
import { SchedulingState, type ActiveRun, type RunOutcome, type StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import { Planner } from '../src/planner.ts'
import { createFleetView } from './support/fleet-view.ts'

const PASS_MS = 100

/** Runs start only on the endpoints that confirm them; the others leave an order without an answer. */
class Fixture {
  readonly state = new SchedulingState()
  readonly planner = new Planner()
  readonly silent = new Set<string>()
  readonly endpoints = ['w0', 'w1', 'w2', 'w3'].map((id, i) => createEndpoint(id, { address: `10.0.0.${i}:1`, rack: asId<RackId>(i === 0 ? 'r0' : 'r1') }))
  nowMs = 0

  constructor () {
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
  }

  submit (id: string, step: Partial<StepSpec>): void {
    this.state.apply(accept(createSpec(id, [createStep({ estimateMs: 60_000, ...step })], { priority: 1, maxAttempts: 50 }), this.nowMs))
  }

  plan (ms: number): void {
    const fleet = createFleetView({ isConfirmed: (run) => this.#answers(run) })
    for (const endMs = this.nowMs + ms; this.nowMs < endMs; this.nowMs += PASS_MS) {
      const { starts } = this.planner.plan({ state: this.state, fleet, nowMs: this.nowMs, wallMs: this.nowMs, mayPreempt: true })
      this.state.apply({ type: 'start', groups: starts, atMs: this.nowMs })
    }
  }

  end (task: string, outcome: RunOutcome): void {
    const { run, endpoint } = this.find(task)!
    this.state.apply({ type: 'end', endpoint, ends: [{ task: asId<TaskId>(task), run, outcome, checkpoint: '' }], atMs: this.nowMs })
  }

  /** Returns the id of the endpoint that the task was ordered to. */
  endpointOf (task: string): string | undefined {
    return this.endpoints.find(({ life }) => life === this.find(task)?.endpoint)?.id
  }

  find (task: string): ActiveRun | undefined {
    return this.endpoints.flatMap(({ life }) => [...this.state.jobs.listRuns(life).values()]).find((run) => run.task === task)
  }

  #answers ({ endpoint }: ActiveRun): boolean {
    return !this.silent.has(this.endpoints.find(({ life }) => life === endpoint)!.id)
  }
}

const WHOLE = { cpuMilli: 1_000, memMb: 100, accelerators: 8 }
const NEAR_R0 = { resources: WHOLE, dataRack: asId<RackId>('r0') }

/** The endpoint near the data of `a1` is taken by work that lasts. */
const takeNearEndpoint = (fixture: Fixture): void => {
  fixture.submit('c1', { ...NEAR_R0, longRunning: true })
  fixture.state.apply({ type: 'start', groups: [{ job: asId('c1'), occurrence: 0, step: 0, run: 1, members: [{ index: 0, endpoint: fixture.endpoints[0]!.life }] }], atMs: fixture.nowMs })
}

t.test('a run that its endpoint has not confirmed does not set the wait back, however long it was waited for', async (t) => {
  for (const longRunning of [false, true]) {
    const fixture = new Fixture()
    fixture.silent.add('w0')
    fixture.submit('a1', { ...NEAR_R0, longRunning })
    fixture.plan(9_000)
    t.equal(fixture.endpointOf('a1.0.0.0'), 'w0')
    fixture.end('a1.0.0.0', 'lost')
    takeNearEndpoint(fixture)
    fixture.plan(PASS_MS)
    t.match(fixture.endpointOf('a1.0.0.0'), /w[123]/, 'starts far from its data in the first pass')
  }
})

t.test('the wait begins anew once a confirmed run has lasted', async (t) => {
  const fixture = new Fixture()
  fixture.submit('a1', NEAR_R0)
  fixture.plan(9_000)
  fixture.end('a1.0.0.0', 'stopped')
  takeNearEndpoint(fixture)
  fixture.plan(1_400)
  t.equal(fixture.endpointOf('a1.0.0.0'), undefined)
  fixture.plan(500)
  t.match(fixture.endpointOf('a1.0.0.0'), /w[123]/)
})
