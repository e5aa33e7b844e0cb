import { asId, type RackId, type TaskId } from '@ibisstair/common'
import { SpeedEstimator } from '@ibisstair/estimation'
import { SchedulingState, type StepSpec } from '@ibisstair/jobs'
import { Metrics } from '@ibisstair/telemetry'
import { ManualTimerService } from '@ibisstair/timers'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import { RunSpeeds } from '../src/run-speeds.ts'

const RACKS = [0, 0, 1, 1]

/** Four endpoints in two racks; tasks run where a test puts them. */
class Fixture {
  readonly state = new SchedulingState()
  readonly timers = new ManualTimerService()
  readonly metrics = new Metrics({ node: 'n' })
  readonly estimator = new SpeedEstimator()
  readonly speeds = new RunSpeeds({ state: this.state, timers: this.timers, isCold: () => false, metrics: this.metrics, estimator: this.estimator })
  readonly endpoints = RACKS.map((rack, i) => createEndpoint(`w${i}`, { address: `10.0.0.${i}:1`, rack: asId<RackId>(`r${rack}`) }))

  constructor () {
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
  }

  /** Starts a task on each of the endpoints, as one run of the step. */
  start (job: string, step: Partial<StepSpec>, endpoints: readonly number[], run = 1): void {
    if (run === 1) this.state.apply(accept(createSpec(job, [createStep({ count: endpoints.length, ...step })]), 0))
    const members = endpoints.map((i, index) => ({ index, endpoint: this.endpoints[i]!.life }))
    this.state.apply({ type: 'start', groups: [{ job: asId(job), occurrence: 0, step: 0, run, members }], atMs: 0 })
  }

  record (job: string, index: number, endpoint: number, msPerPercent: number, run = 1): void {
    this.speeds.recordRate(this.endpoints[endpoint]!, asId<TaskId>(`${job}.0.0.${index}`), run, { msPerPercent, observedMs: 4_000 })
  }

  /** Whether the estimator has heard of any of the endpoints. */
  isAnyObserved (): boolean {
    return this.endpoints.some(({ id }) => this.estimator.getSpeed(id, 0) !== null)
  }
}

t.test('runs of one step on several endpoints tell which one is slow', async (t) => {
  const fixture = new Fixture()
  for (const [i, job] of ['a1', 'a2', 'a3'].entries()) {
    fixture.start(job, {}, [0, 1, 2, 3])
    for (const index of [0, 1, 2, 3]) fixture.record(job, index, index, (40 + 10 * i) / (index === 2 ? 0.6 : 1))
  }
  fixture.timers.advance(1_000)
  t.ok(fixture.speeds.getSpeed(fixture.endpoints[2]!) < 0.77)
  t.equal(fixture.speeds.getSpeed(fixture.endpoints[1]!), 1, 'a small deviation counts as none')
  fixture.speeds.measure()
  t.equal(fixture.metrics.read().gauges['speeds.slow'], 1)
})

t.test('runs that say nothing about their endpoint do not count', async (t) => {
  // Distance takes three times as long on any endpoint, and a resumed run does a part of the work.
  const cases: ReadonlyArray<readonly [string, Partial<StepSpec>, readonly number[]]> = [
    ['away from its data', { dataRack: asId<RackId>('r0') }, [2]],
    ['tightly coupled over racks', { tightlyCoupled: true, gang: true }, [1, 2]],
    ['long-running', { longRunning: true }, [0]],
    ['a gang that is not complete', { gang: true, count: 3 }, [0, 1]]
  ]
  for (const [name, step, endpoints] of cases) {
    const fixture = new Fixture()
    fixture.start('a1', step, endpoints)
    fixture.record('a1', 0, endpoints[0]!, 50)
    t.equal(fixture.isAnyObserved(), false, name)
  }
})

t.test('a run that resumes from a checkpoint, and a report of an earlier run, do not count', async (t) => {
  const fixture = new Fixture()
  fixture.start('a1', { checkpointing: true }, [0])
  fixture.record('a1', 0, 0, 50, 7)
  fixture.state.apply({ type: 'end', endpoint: fixture.endpoints[0]!.life, ends: [{ task: asId<TaskId>('a1.0.0.0'), run: 1, outcome: 'stopped', checkpoint: 'saved' }], atMs: 0 })
  fixture.start('a1', {}, [0], 2)
  fixture.record('a1', 0, 0, 50, 2)
  t.equal(fixture.isAnyObserved(), false)
})
