import { asId, type CustomerId, type EndpointId, type JobId, type RackId } from '@ibisstair/common'
import { SchedulingState, type EndpointRecord, type JobSpec, type RunEnd, type RunOutcome, type StepSpec } from '@ibisstair/jobs'
import { Metrics } from '@ibisstair/telemetry'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register, toEnd } from '../../jobs/tests/support/samples.ts'
import { LearnedHistory, NO_WORK_HISTORY, Planner, type Plan } from '../src/index.ts'
import { getLateness } from '../src/ready-work.ts'
import { UrgentDemand } from '../src/urgent-demand.ts'
import { createFleetView } from './support/fleet-view.ts'
import { TestCluster } from './support/test-cluster.ts'

const logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const WHOLE_ENDPOINT = { cpuMilli: 1_000, memMb: 1, accelerators: 8 }

/** Three endpoints in two racks and a planner; ends are reported to the history before they are applied. */
class Fixture {
  readonly state = new SchedulingState()
  readonly planner = new Planner()
  readonly metrics = new Metrics({ node: 'n' })
  readonly speeds = new Map<EndpointId, number>()
  readonly endpoints = ['w1', 'w2', 'w3'].map((id, i) => createEndpoint(id, { address: `10.0.0.${i}:1`, rack: asId<RackId>(i < 2 ? 'r1' : 'r2') }))
  readonly history = new LearnedHistory({ state: this.state, logger, metrics: this.metrics, getSpeed: ({ id }) => this.speeds.get(id) ?? 1 })
  nowMs = 0

  constructor (guaranteedAccelerators = 0) {
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
    this.state.apply({ type: 'configure', config: { version: 1, queues: [], services: [], customers: [{ name: asId<CustomerId>('clinics'), keys: [], guaranteedAccelerators }], document: '' } })
  }

  submit (id: string, step: Partial<StepSpec> = {}, part: Partial<JobSpec> = {}): void {
    this.state.apply(accept(createSpec(id, [createStep({ estimateMs: 10_000, ...step })], { maxAttempts: 9, ...part }), this.nowMs))
  }

  start (id: string, run: number, endpoints: readonly EndpointRecord[], first = 0): void {
    const members = endpoints.map(({ life }, i) => ({ index: first + i, endpoint: life }))
    this.state.apply({ type: 'start', groups: [{ job: asId<JobId>(id), occurrence: 0, step: 0, run, members }], atMs: this.nowMs })
  }

  end (endpoint: EndpointRecord, end: RunEnd, runMs: number | null = null): void {
    this.history.recordEnd(endpoint, end, { startedAtMs: runMs === null ? null : this.nowMs - runMs, endedAtMs: this.nowMs })
    this.state.apply({ type: 'end', endpoint: endpoint.life, ends: [end], atMs: this.nowMs })
  }

  /** Runs a job of a single task. */
  runOnce (id: string, endpoint: EndpointRecord, runMs: number | null, { outcome = 'done', checkpoint = '', ...part }: { readonly outcome?: RunOutcome, readonly checkpoint?: string } & Partial<StepSpec> = {}): void {
    this.submit(id, part)
    this.start(id, 1, [endpoint])
    this.end(endpoint, toEnd(id, 0, 0, 1, outcome, checkpoint), runMs)
  }

  estimate (id = 'probe'): number {
    if (!this.state.jobs.get(asId<JobId>(id))) this.submit(id)
    const job = this.state.jobs.get(asId<JobId>(id))!
    return this.history.estimateRunMs(job, job.spec.steps[0]!)
  }

  plan (): Plan {
    return this.planner.plan({ state: this.state, fleet: createFleetView(), nowMs: this.nowMs, wallMs: this.nowMs, mayPreempt: true, history: this.history })
  }

  planStarts (): string[] {
    return this.plan().starts.flatMap(({ job, members }) => members.map(({ index }) => `${job}.${index}`))
  }
}

const isNear = (actual: number, expected: number): boolean => Math.abs(actual - expected) <= 0.06 * expected

t.test('run times replace the submitted estimate from five samples on, corrected by the speed of the endpoint', async (t) => {
  const fixture = new Fixture()
  const [w1, w2] = fixture.endpoints as [EndpointRecord, EndpointRecord, EndpointRecord]
  fixture.speeds.set(w2.id, 0.5)
  for (let i = 0; i < 4; i++) fixture.runOnce(`a${i}`, w1, 2_000)
  t.equal(fixture.estimate(), 10_000)
  for (let i = 4; i < 8; i++) fixture.runOnce(`a${i}`, w2, 4_000)
  t.ok(isNear(fixture.estimate(), 2_000), `${fixture.estimate()}`)
  fixture.history.report()
  const { gauges } = fixture.metrics.read()
  t.equal(gauges['run-times.queues'], 1)
  t.ok(isNear(gauges['run-times.lowest-ratio-percent']!, 20), `${gauges['run-times.lowest-ratio-percent']}`)
  fixture.history.close()
  t.match(fixture.metrics.read().gauges, { 'run-times.queues': 0 })
})

t.test('runs that were resumed, slowed by distance, not confirmed or not known teach nothing', async (t) => {
  const fixture = new Fixture()
  const [w1, , w3] = fixture.endpoints as [EndpointRecord, EndpointRecord, EndpointRecord]
  for (let i = 0; i < 8; i++) {
    fixture.runOnce(`unconfirmed${i}`, w1, null)
    fixture.runOnce(`far${i}`, w3, 2_000, { dataRack: w1.rack })
    fixture.runOnce(`failed${i}`, w1, 2_000, { outcome: 'failed' })
    fixture.runOnce(`resumed${i}`, w1, 1_000, { outcome: 'stopped', checkpoint: 'saved' })
    fixture.start(`resumed${i}`, 2, [w1])
    fixture.end(w1, toEnd(`resumed${i}`, 0, 0, 2, 'done'), 1_000)
    fixture.runOnce(`stray${i}`, w1, null, { count: 2 })
    fixture.end(w1, toEnd(`stray${i}`, 0, 1, 1, 'done'), 500)
  }
  t.equal(fixture.estimate(), 10_000)
})

t.test('a gang is one sample, and runs at the speed of its slowest member', async (t) => {
  const fixture = new Fixture()
  const [w1, w2] = fixture.endpoints as [EndpointRecord, EndpointRecord, EndpointRecord]
  fixture.speeds.set(w2.id, 0.5)
  for (let i = 0; i < 5; i++) {
    t.equal(fixture.estimate(), 10_000, `after ${i} gangs`)
    fixture.submit(`g${i}`, { gang: true, count: 2 })
    fixture.start(`g${i}`, 1, [w1, w2])
    const ends = [w1, w2].map((endpoint, index) => ({ endpoint, end: toEnd(`g${i}`, 0, index, 1, 'done') }))
    // Both members report before the first end is committed.
    for (const { endpoint, end } of ends) fixture.history.recordEnd(endpoint, end, { startedAtMs: 0, endedAtMs: 4_000 })
    for (const { endpoint, end } of ends) fixture.end(endpoint, end)
  }
  t.ok(isNear(fixture.estimate(), 2_000), `${fixture.estimate()}`)
})

t.test('work whose estimate is nine tenths too low is late by its learned run time, and a new leader believes the estimate', async (t) => {
  const fixture = new Fixture()
  for (let i = 0; i < 8; i++) fixture.runOnce(`a${i}`, fixture.endpoints[0]!, 5_000, { estimateMs: 500 })
  fixture.submit('late', { estimateMs: 500 }, { stretch: 1.5, targetLatencyMs: 250 })
  const job = fixture.state.jobs.get(asId<JobId>('late'))!
  // 1.5 times 500 ms plus 250 ms would be over after 1 s; of 5 s, 2.75 s are left to wait.
  t.equal(getLateness(job, 2_000, NO_WORK_HISTORY), 1)
  t.equal(getLateness(job, 2_000, fixture.history), 0)
  const successor = new LearnedHistory({ state: fixture.state, logger, metrics: fixture.metrics, getSpeed: () => 1 })
  t.equal(successor.estimateRunMs(job, job.spec.steps[0]!), 500)
  t.equal(getLateness(job, 2_000, successor), 1)
  const informed = new LearnedHistory({ state: fixture.state, logger, metrics: fixture.metrics, getSpeed: () => 1, runTimes: fixture.history.getRunTimes() })
  t.equal(getLateness(job, 2_000, informed), 0, 'unless it was sent a copy')
})

t.test('a hopeless task comes after other work of its priority, but never if it lasts or is guaranteed', async (t) => {
  const place = (guaranteed: number, step: Partial<StepSpec>, priority: number): string[] => {
    const fixture = new Fixture(guaranteed)
    fixture.submit('bad', { resources: WHOLE_ENDPOINT, ...step }, { priority })
    fixture.endpoints.slice(0, 2).forEach((endpoint, i) => {
      for (let other = 0; other < 3; other++) fixture.runOnce(`ok${i}${other}`, endpoint, null)
      fixture.start('bad', i + 1, [endpoint])
      fixture.end(endpoint, toEnd('bad', 0, 0, i + 1, 'failed'))
    })
    fixture.nowMs = 100
    for (let i = 0; i < 3; i++) fixture.submit(`new${i}`, { resources: WHOLE_ENDPOINT }, { priority, customer: asId<CustomerId>('other') })
    return fixture.planStarts()
  }
  t.same(place(0, {}, 1), ['new0.0', 'new1.0', 'new2.0'])
  t.same(place(0, {}, 0), ['new0.0', 'new1.0', 'new2.0'])
  t.equal(place(8, {}, 0)[0], 'bad.0', 'guaranteed')
  t.equal(place(0, { longRunning: true }, 1)[0], 'bad.0', 'lasts')
  t.same(place(0, { count: 2 }, 1), ['bad.1', 'new0.0', 'new1.0'], 'only the task that has failed waits')
})

t.test('urgent work whose estimate is too low is worth the victims that its run time justifies, and reserves capacity by it', async (t) => {
  const preempt = (isLearned: boolean): number => {
    const fixture = new Fixture()
    if (isLearned) for (let i = 0; i < 8; i++) fixture.runOnce(`a${i}`, fixture.endpoints[0]!, 5_000, { estimateMs: 100 })
    fixture.endpoints.forEach((endpoint, i) => {
      fixture.submit(`b${i}`, { resources: WHOLE_ENDPOINT }, { priority: 2, queue: 'deferrable' })
      fixture.start(`b${i}`, 1, [endpoint])
    })
    fixture.nowMs = 3_000
    fixture.submit('urgent', { resources: WHOLE_ENDPOINT, estimateMs: 100 }, { priority: 0 })
    const demand = new UrgentDemand()
    demand.begin(0)
    demand.recordArrival(fixture.state.jobs.get(asId<JobId>('urgent'))!, { nowMs: 3_000, wallMs: 3_000, history: fixture.history })
    // 8 accelerators for 5 s or 100 ms in a window of 4 s: the mean plus one standard deviation.
    t.ok(isNear(demand.getAccelerators(3_000), isLearned ? 19 : 1.46), `${demand.getAccelerators(3_000)}`)
    return fixture.plan().preempted.length
  }
  t.equal(preempt(false), 0)
  t.equal(preempt(true), 1)
})

t.test('a leader learns from what endpoints report, although answers are lost and ends are reported again', async (t) => {
  const cluster = new TestCluster(11, { runMs: 1_000, lostShare: 0.1 })
  cluster.elect()
  for (let i = 0; i < 40; i++) cluster.submit(`a${i}`, [createStep({ count: 2, estimateMs: 100 })])
  await cluster.run(20_000)
  const line = cluster.logLines.find(({ message }) => message === 'run times of a queue are learned')
  t.ok(isNear(Number(line?.fields.p50Ms), 1_000), `${line?.fields.p50Ms}`)
  t.match(cluster.metrics.read().gauges, { 'run-times.queues': 1 })
  cluster.elect()
  await cluster.run(500)
  t.match(cluster.metrics.read().gauges, { 'run-times.queues': 0 }, 'a new leader knows nothing yet')
  t.same(cluster.fleet.violations, [])
})
