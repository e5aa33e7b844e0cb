import { asId, type JobId } from '@ibisstair/common'
import type { StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { createEndpoint, createStep } from '../../jobs/tests/support/samples.ts'
import { MAX_ENDS_PER_REPORT } from './support/fake-fleet.ts'
import { TestCluster } from './support/test-cluster.ts'

const gang = (count: number, accelerators: number, part: Partial<StepSpec> = {}): StepSpec =>
  createStep({ count, gang: true, resources: { cpuMilli: 1_000, memMb: 1, accelerators }, ...part })

t.test('the dispatcher runs a job to completion, each task once', async (t) => {
  const cluster = new TestCluster(1)
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 3 }), gang(2, 4, { dependsOn: [0] })])
  await cluster.run(4_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.equal(cluster.fleet.starts, 5)
  t.same(cluster.fleet.violations, [])
})

t.test('urgent work preempts other work and starts within two seconds', async (t) => {
  const cluster = new TestCluster(2, { runMs: 20_000 })
  cluster.elect()
  cluster.submit('b1', [gang(4, 8)], 2)
  await cluster.run(1_000)
  cluster.submit('a1', [gang(2, 8, { tightlyCoupled: true })], 0)
  await cluster.run(2_000)
  t.equal(cluster.statusOf('a1'), 'running')
  t.same(cluster.fleet.violations, [])
})

t.test('a new leader stops no run for urgent work before it knows which runs have ended meanwhile', async (t) => {
  // After a change of leader, runs that had ended without a leader still occupied the fleet in the first pass.
  const cluster = new TestCluster(3, { runMs: 2_000 })
  cluster.elect()
  cluster.submit('b1', [createStep({ count: 32 })], 1)
  await cluster.run(500)
  cluster.hasQuorum = false
  await cluster.run(3_000)
  cluster.submit('a1', [gang(2, 8, { estimateMs: 30_000 })], 0)
  cluster.hasQuorum = true
  cluster.elect()
  await cluster.run(1_000)
  t.equal(cluster.statusOf('a1'), 'running')
  t.equal(cluster.fleet.stops, 0)
  t.same(cluster.fleet.violations, [])
})

t.test('a new leader preempts for urgent work although an endpoint does not report', async (t) => {
  const cluster = new TestCluster(4, { runMs: 20_000 })
  cluster.elect()
  cluster.submit('b1', [createStep({ count: 32 })], 1)
  await cluster.run(500)
  cluster.fleet.faults.unreachable.add(cluster.endpoints[0]!.life)
  cluster.submit('a1', [gang(2, 8, { estimateMs: 30_000 })], 0)
  cluster.elect()
  await cluster.run(2_500)
  t.equal(cluster.statusOf('a1'), 'running')
  t.same(cluster.fleet.violations, [])
})

t.test('a late message that an earlier incarnation leaves does not end the runs of the present one', async (t) => {
  for (const bornMs of [0, null]) {
    const cluster = new TestCluster(5, { runMs: 3_000 })
    cluster.elect()
    cluster.submit('a1', [createStep({ count: 32 })])
    await cluster.run(500)
    cluster.leave('w1', bornMs)
    await cluster.run(4_000)
    t.equal(cluster.statusOf('a1'), 'completed')
    t.equal(cluster.fleet.starts, 32, 'no task runs again')
    t.same(cluster.fleet.violations, [])
  }
})

t.test('an unanswered order that is carried out late does not start a second run', async (t) => {
  for (let seed = 1; seed <= 6; seed++) {
    const cluster = new TestCluster(seed, { lostShare: 0.2, failingShare: 0.1 })
    cluster.elect()
    for (let i = 0; i < 6; i++) cluster.submit(`a${i}`, [createStep({ count: 3 }), gang(2, 4, { dependsOn: [0] })], i % 3)
    await cluster.run(20_000)
    cluster.fleet.faults.lostShare = 0
    await cluster.run(30_000)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
    for (let i = 0; i < 6; i++) t.equal(cluster.statusOf(`a${i}`), 'completed', `seed ${seed}, job ${i}`)
  }
})

t.test('leader changes and unreachable endpoints neither lose nor duplicate a run', async (t) => {
  for (let seed = 101; seed <= 108; seed++) {
    const cluster = new TestCluster(seed, { lostShare: 0.1, runMs: 3_000 })
    cluster.elect()
    for (let i = 0; i < 6; i++) cluster.submit(`a${i}`, [createStep({ count: 4 }), gang(3, 2, { dependsOn: [0] })], i % 3)
    for (let round = 0; round < 5; round++) {
      const victim = cluster.random.pick(cluster.endpoints)!.life
      cluster.fleet.faults.unreachable.add(victim)
      await cluster.run(cluster.random.int(500, 9_000))
      if (cluster.random.float() < 0.6) cluster.elect()
      await cluster.run(cluster.random.int(500, 4_000))
      cluster.fleet.faults.unreachable.delete(victim)
    }
    cluster.fleet.faults.lostShare = 0
    await cluster.run(60_000)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
    for (let i = 0; i < 6; i++) t.equal(cluster.statusOf(`a${i}`), 'completed', `seed ${seed}, job ${i}`)
  }
})

t.test('a leader that loses its quorum briefly completes all jobs afterwards', async (t) => {
  for (let seed = 201; seed <= 206; seed++) {
    const cluster = new TestCluster(seed, { lostShare: 0.15, runMs: 2_500, failingShare: 0.05 })
    cluster.elect()
    for (let i = 0; i < 6; i++) cluster.submit(`a${i}`, [createStep({ count: 4 }), gang(3, 4, { dependsOn: [0] })], i % 3)
    for (let round = 0; round < 12; round++) {
      await cluster.run(cluster.random.int(200, 1_500))
      cluster.hasQuorum = false
      await cluster.run(cluster.random.int(100, 1_200))
      cluster.hasQuorum = true
    }
    cluster.fleet.faults.lostShare = 0
    await cluster.run(40_000)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
    for (let i = 0; i < 6; i++) t.equal(cluster.statusOf(`a${i}`), 'completed', `seed ${seed}, job ${i}`)
  }
})

t.test('a stop that was interrupted by the loss of the quorum is sent again', async (t) => {
  // Without the retry, the run kept its resources occupied for the rest of the term.
  const cluster = new TestCluster(3, { runMs: 60_000 })
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 2 })])
  await cluster.run(500)
  for (const { life: incarnation } of cluster.endpoints) cluster.fleet.faults.unreachable.add(incarnation)
  cluster.state.apply({ type: 'cancel', job: asId<JobId>('a1'), atMs: cluster.timers.now() })
  await cluster.run(200)
  cluster.hasQuorum = false
  await cluster.run(1_500)
  cluster.hasQuorum = true
  cluster.fleet.faults.unreachable.clear()
  await cluster.run(2_000)
  t.equal(cluster.state.jobs.get(asId<JobId>('a1'))!.activeRuns, 0)
})

t.test('a leader with slow commits does not poll endpoints for ends that they have already reported', async (t) => {
  // Each answer listed the same uncommitted ends at once, so polling without a pause overloaded a busy leader further.
  const cluster = new TestCluster(4, { runMs: 400 })
  cluster.commitMs = 300
  cluster.elect()
  for (let i = 0; i < 6; i++) cluster.submit(`a${i}`, [createStep({ count: 4 }), createStep({ count: 4, dependsOn: [0] })])
  const SECONDS = 6
  await cluster.run(SECONDS * 1_000)
  t.equal(cluster.fleet.starts, 48)
  t.same(cluster.fleet.violations, [])
  // Four endpoints answer five times a second while nothing ends, and twice for each end: when it occurs and when it is acknowledged.
  const expected = 4 * 5 * SECONDS + 2 * cluster.fleet.starts
  t.ok(cluster.fleet.renewals <= expected, `${cluster.fleet.renewals} renewals, at most ${expected} expected`)
})

t.test('an endpoint that was cut off gets work again after it returns', async (t) => {
  // Its session had no runs left to ask about, so that nothing noticed the return and the capacity was lost for the rest of the term.
  const cluster = new TestCluster(6, { runMs: 20_000 })
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 32 })])
  await cluster.run(300)
  for (const { life } of cluster.endpoints) cluster.fleet.faults.unreachable.add(life)
  await cluster.run(9_000)
  cluster.fleet.faults.unreachable.clear()
  await cluster.run(3_000)
  t.equal(cluster.state.jobs.get(asId<JobId>('a1'))!.activeRuns, 32)
  await cluster.run(20_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.same(cluster.fleet.violations, [])
})

t.test('orders that reach an endpoint after its restart under the same id start no task twice and stay within its capacity', async (t) => {
  // Only announcements and reports tell the incarnations apart, answers to orders do not.
  for (let seed = 1; seed <= 20; seed++) {
    const cluster = new TestCluster(seed, { runMs: 1_500 })
    cluster.elect()
    for (let round = 0; round < 40; round++) {
      cluster.submit(`a${round}`, [createStep({ count: 12 })])
      await cluster.run(cluster.random.int(20, 700))
      if (round % 2 === 0) cluster.fleet.restartUnderId(cluster.random.pick(cluster.fleet.listRecords())!.life)
    }
    await cluster.run(40_000)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
    for (let round = 0; round < 40; round++) t.match(cluster.statusOf(`a${round}`), /completed|failed/, `seed ${seed}, job ${round}`)
  }
})

t.test('more ends than one report lists are committed', async (t) => {
  const capacity = { cpuMilli: 1_000_000, memMb: 1_000_000, accelerators: 1_000 }
  const cluster = new TestCluster(1, { runMs: 200 }, [createEndpoint('w1', { capacity })])
  cluster.elect()
  cluster.submit('a1', [createStep({ count: MAX_ENDS_PER_REPORT + 100, resources: { cpuMilli: 1, memMb: 1, accelerators: 1 } })])
  await cluster.run(5_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.equal(cluster.fleet.starts, MAX_ENDS_PER_REPORT + 100)
  t.same(cluster.fleet.violations, [])
})
