import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

const IDS = ['w1', 'w2', 'w3', 'w4']

const single = (count: number, accelerators = 1) => createStep({ count, resources: { cpuMilli: 1_000, memMb: 1, accelerators } })

/** Shrinks and grows the capacity of the endpoints at random while small jobs arrive. */
const runWithChanges = async (cluster: TestCluster, rounds: number): Promise<void> => {
  for (let round = 0; round < rounds; round++) {
    cluster.setCapacity(cluster.random.pick(IDS)!, { accelerators: cluster.random.int(1, 8), cpuMilli: 1_000 * cluster.random.int(4, 32) })
    cluster.submit(`a${round}`, [single(cluster.random.int(1, 12))])
    await cluster.run(cluster.random.int(100, 2_000))
  }
}

t.test('a start does not exceed a capacity that has shrunk, and all work is done', async (t) => {
  for (let seed = 1; seed <= 10; seed++) {
    const cluster = new TestCluster(seed, { runMs: 2_500 })
    cluster.elect()
    await runWithChanges(cluster, 30)
    await cluster.run(60_000)
    for (let i = 0; i < 30; i++) t.equal(cluster.statusOf(`a${i}`), 'completed', `seed ${seed}, job ${i}`)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
  }
})

t.test('a late announcement does not bring back an earlier capacity', async (t) => {
  for (let seed = 1; seed <= 10; seed++) {
    const cluster = new TestCluster(seed, { runMs: 2_500 })
    cluster.lateAnnouncementShare = 0.4
    cluster.elect()
    await runWithChanges(cluster, 30)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
  }
})

t.test('a capacity that shrank while no leader took announcements is known before work is placed there', async (t) => {
  for (const begin of ['elect', 'recover'] as const) {
    const cluster = new TestCluster(1, { runMs: 20_000 })
    cluster.elect()
    await cluster.run(1_000)
    cluster.depose()
    for (const id of IDS) cluster.setCapacity(id, { accelerators: 2 })
    await cluster.run(6_200)
    cluster.submit('a1', [single(32)])
    cluster[begin]()
    await cluster.run(3_000)
    t.same(cluster.fleet.violations, [], begin)
    t.equal(cluster.fleet.starts, 8, begin)
  }
})

t.test('a gang runs in one rack again once capacity has grown', async (t) => {
  const cluster = new TestCluster(1, { runMs: 500 })
  cluster.elect()
  for (const id of IDS) cluster.setCapacity(id, { accelerators: 1 })
  await cluster.run(1_000)
  // No rack holds it now, but two do together.
  cluster.submit('a1', [createStep({ count: 4, gang: true, tightlyCoupled: true })])
  await cluster.run(3_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  for (const id of IDS) cluster.setCapacity(id, { accelerators: 8 })
  await cluster.run(1_000)
  cluster.submit('a2', [createStep({ count: 4, gang: true, tightlyCoupled: true })])
  await cluster.run(20)
  t.equal(new Set(cluster.endpoints.filter(({ life }) => cluster.state.jobs.listRuns(life).size > 0).map(({ rack }) => rack)).size, 1)
})

t.test('a gang that no rack holds any more since capacity has shrunk spans racks', async (t) => {
  const cluster = new TestCluster(1, { runMs: 500 })
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 4, gang: true, tightlyCoupled: true })])
  await cluster.run(3_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  for (const id of IDS) cluster.setCapacity(id, { accelerators: 1 })
  await cluster.run(1_000)
  cluster.submit('a2', [createStep({ count: 4, gang: true, tightlyCoupled: true })])
  await cluster.run(5_000)
  t.equal(cluster.statusOf('a2'), 'completed')
})
