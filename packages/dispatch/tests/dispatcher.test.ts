import { asId, type JobId, type RackId } from '@ibisstair/common'
import { SchedulingState, type EndpointRecord, type StateCommand, type StateResult, type StepSpec } from '@ibisstair/jobs'
import { Metrics } from '@ibisstair/telemetry'
import { ManualTimerService, RandomSource } from '@ibisstair/timers'
import t from 'tap'
import { accept, createEndpoint, createSpec, createStep, register } from '../../jobs/tests/support/samples.ts'
import { Dispatcher } from '../src/index.ts'
import { FakeFleet, type FakeFaults } from './support/fake-fleet.ts'

const ANNOUNCE_MS = 500
const logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

class TestCluster {
  readonly timers = new ManualTimerService()
  readonly random: RandomSource
  readonly state = new SchedulingState()
  readonly fleet: FakeFleet
  readonly endpoints: readonly EndpointRecord[]
  /** False while the leader has lost its majority for a moment. */
  hasQuorum = true
  commitMs = 5
  #term = 0
  #dispatcher: Dispatcher | null = null

  constructor (seed: number, faults: Partial<FakeFaults> = {}) {
    this.random = new RandomSource(seed)
    this.endpoints = ['w1', 'w2', 'w3', 'w4'].map((id, i) => createEndpoint(id, { address: `10.0.0.${i}:1`, rack: asId<RackId>(i < 2 ? 'r1' : 'r2') }))
    this.fleet = new FakeFleet(this.timers, this.random, this.endpoints, this.state, faults)
    for (const endpoint of this.endpoints) this.state.apply(register(endpoint))
    this.timers.every(ANNOUNCE_MS, () => this.#announceAll())
  }

  /** A new leader with a higher fencing token takes over; the old one gives no more orders. */
  elect (): void {
    this.#dispatcher?.close()
    const term = ++this.#term
    const propose = async (command: StateCommand): Promise<StateResult> => {
      await this.timers.delay(this.commitMs)
      if (this.#term !== term || !this.hasQuorum) throw new Error('not the leader')
      return this.state.apply(JSON.parse(JSON.stringify(command)) as StateCommand)
    }
    this.#dispatcher = new Dispatcher({
      state: this.state, propose, isLeading: () => this.#term === term && this.hasQuorum, port: this.fleet, timers: this.timers, logger, metrics: new Metrics({ node: 'n' }), fencingToken: term, leaseMaxMs: 6_000
    })
    this.#dispatcher.start()
  }

  async run (ms: number): Promise<void> {
    const end = this.timers.now() + ms
    do for (let i = 0; i < 12; i++) await Promise.resolve()
    while (this.timers.runNext(end))
    this.timers.advance(end - this.timers.now())
  }

  #announceAll (): void {
    const reachable = this.endpoints.filter(({ life: incarnation }) => !this.fleet.faults.unreachable.has(incarnation))
    for (const endpoint of reachable) this.#dispatcher?.announce(endpoint, 0).catch(() => {})
  }

  submit (id: string, steps: readonly StepSpec[], priority = 1): void {
    this.state.apply(accept(createSpec(id, steps, { priority, maxAttempts: 50 }), this.timers.now()))
  }

  statusOf (id: string): string | undefined {
    return this.state.jobs.get(asId<JobId>(id))?.status
  }
}

const gang = (count: number, accelerators: number, part: Partial<StepSpec> = {}): StepSpec =>
  createStep({ count, gang: true, resources: { cpuMilli: 1_000, memMb: 1, accelerators }, ...part })

t.test('runs jobs to their end and acknowledges every report', async (t) => {
  const world = new TestCluster(1)
  world.elect()
  world.submit('a1', [createStep({ count: 3 }), gang(2, 4, { dependsOn: [0] })])
  await world.run(4_000)
  t.equal(world.statusOf('a1'), 'completed')
  t.equal(world.fleet.starts, 5)
  t.same(world.fleet.violations, [])
})

t.test('urgent work takes the place of other work within two seconds', async (t) => {
  const world = new TestCluster(2, { runMs: 20_000 })
  world.elect()
  world.submit('b1', [gang(4, 8)], 2)
  await world.run(1_000)
  world.submit('a1', [gang(2, 8, { tightlyCoupled: true })], 0)
  await world.run(2_000)
  t.equal(world.statusOf('a1'), 'running')
  t.same(world.fleet.violations, [])
})

t.test('an order without an answer that is carried out late starts no second run', async (t) => {
  for (let seed = 1; seed <= 6; seed++) {
    const world = new TestCluster(seed, { lostShare: 0.2, failingShare: 0.1 })
    world.elect()
    for (let i = 0; i < 6; i++) world.submit(`a${i}`, [createStep({ count: 3 }), gang(2, 4, { dependsOn: [0] })], i % 3)
    await world.run(20_000)
    world.fleet.faults.lostShare = 0
    await world.run(30_000)
    t.same(world.fleet.violations, [], `seed ${seed}`)
    for (let i = 0; i < 6; i++) t.equal(world.statusOf(`a${i}`), 'completed', `seed ${seed}, job ${i}`)
  }
})

t.test('leader changes and cut endpoints neither lose nor double a run', async (t) => {
  for (let seed = 101; seed <= 108; seed++) {
    const world = new TestCluster(seed, { lostShare: 0.1, runMs: 3_000 })
    world.elect()
    for (let i = 0; i < 6; i++) world.submit(`a${i}`, [createStep({ count: 4 }), gang(3, 2, { dependsOn: [0] })], i % 3)
    for (let round = 0; round < 5; round++) {
      const victim = world.random.pick(world.endpoints)!.life
      world.fleet.faults.unreachable.add(victim)
      await world.run(world.random.int(500, 9_000))
      if (world.random.float() < 0.6) world.elect()
      await world.run(world.random.int(500, 4_000))
      world.fleet.faults.unreachable.delete(victim)
    }
    world.fleet.faults.lostShare = 0
    await world.run(60_000)
    t.same(world.fleet.violations, [], `seed ${seed}`)
    for (let i = 0; i < 6; i++) t.equal(world.statusOf(`a${i}`), 'completed', `seed ${seed}, job ${i}`)
  }
})

t.test('a leader that loses its majority for moments finishes every order afterwards', async (t) => {
  for (let seed = 201; seed <= 206; seed++) {
    const world = new TestCluster(seed, { lostShare: 0.15, runMs: 2_500, failingShare: 0.05 })
    world.elect()
    for (let i = 0; i < 6; i++) world.submit(`a${i}`, [createStep({ count: 4 }), gang(3, 4, { dependsOn: [0] })], i % 3)
    for (let round = 0; round < 12; round++) {
      await world.run(world.random.int(200, 1_500))
      world.hasQuorum = false
      await world.run(world.random.int(100, 1_200))
      world.hasQuorum = true
    }
    world.fleet.faults.lostShare = 0
    await world.run(40_000)
    t.same(world.fleet.violations, [], `seed ${seed}`)
    for (let i = 0; i < 6; i++) t.equal(world.statusOf(`a${i}`), 'completed', `seed ${seed}, job ${i}`)
  }
})

t.test('a stop that was interrupted by the loss of the majority is sent again', async (t) => {
  // Its run held its room for the rest of the term.
  const world = new TestCluster(3, { runMs: 60_000 })
  world.elect()
  world.submit('a1', [createStep({ count: 2 })])
  await world.run(500)
  for (const { life: incarnation } of world.endpoints) world.fleet.faults.unreachable.add(incarnation)
  world.state.apply({ type: 'cancel', job: asId<JobId>('a1'), atMs: world.timers.now() })
  await world.run(200)
  world.hasQuorum = false
  await world.run(1_500)
  world.hasQuorum = true
  world.fleet.faults.unreachable.clear()
  await world.run(2_000)
  t.equal(world.state.jobs.get(asId<JobId>('a1'))!.activeRuns, 0)
})

t.test('a leader whose commits are slow does not ask endpoints for what they have told it', async (t) => {
  // Each answer listed the same ends again, at once, so that a busy leader made itself ever busier.
  const world = new TestCluster(4, { runMs: 400 })
  world.commitMs = 300
  world.elect()
  for (let i = 0; i < 6; i++) world.submit(`a${i}`, [createStep({ count: 4 }), createStep({ count: 4, dependsOn: [0] })])
  const SECONDS = 6
  await world.run(SECONDS * 1_000)
  t.equal(world.fleet.starts, 48)
  t.same(world.fleet.violations, [])
  // Four endpoints answer five times a second when nothing ends, and twice for each end: when it comes and when it is acknowledged.
  const expected = 4 * 5 * SECONDS + 2 * world.fleet.starts
  t.ok(world.fleet.renewals <= expected, `${world.fleet.renewals} renewals, at most ${expected} expected`)
})
