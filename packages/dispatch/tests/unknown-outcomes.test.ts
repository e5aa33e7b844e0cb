import type { StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { createEndpoint, createStep } from '../../jobs/tests/support/samples.ts'
import { COMMIT_TIMEOUT_MS } from '../src/constants.ts'
import { TestCluster } from './support/test-cluster.ts'

/** Longer than the leader waits for a commit: the command is applied after its proposer was told that the outcome is not known. */
const SLOW_COMMIT_MS = COMMIT_TIMEOUT_MS + 1_000

const tasks = (count: number, accelerators: number): StepSpec =>
  createStep({ count, resources: { cpuMilli: 1_000, memMb: 1, accelerators } })

/** A cluster with one endpoint of 8 accelerators. */
const createCluster = (): TestCluster => new TestCluster(1, { runMs: 8_000 }, [createEndpoint('w1')])

t.test('starts whose outcome was not known and urgent starts that are planned after them stay within the capacity', async (t) => {
  const cluster = createCluster()
  cluster.elect()
  await cluster.run(1_000)
  cluster.slowCommitMs = SLOW_COMMIT_MS
  cluster.submit('a1', [tasks(4, 2)])
  await cluster.run(500)
  cluster.submit('a2', [tasks(4, 2)], 0)
  await cluster.run(COMMIT_TIMEOUT_MS)
  cluster.slowCommitMs = null
  await cluster.run(60_000)
  t.same(cluster.fleet.violations, [])
  t.same([cluster.statusOf('a1'), cluster.statusOf('a2')], ['completed', 'completed'])
})

t.test('work starts again once a leader that lost its quorum knows what became of its starts', async (t) => {
  const cluster = createCluster()
  cluster.elect()
  await cluster.run(1_000)
  cluster.commitMs = 200
  cluster.submit('a1', [tasks(4, 2)])
  await cluster.run(100)
  cluster.hasQuorum = false
  await cluster.run(6_000)
  cluster.hasQuorum = true
  await cluster.run(1_500)
  t.equal(cluster.fleet.starts, 4)
})

t.test('a capacity that grew and shrank again while the commits were slow gets no more work than it holds', async (t) => {
  const cluster = createCluster()
  cluster.elect()
  cluster.setCapacity('w1', { accelerators: 4 })
  await cluster.run(1_000)
  cluster.slowCommitMs = SLOW_COMMIT_MS
  cluster.setCapacity('w1', { accelerators: 8 })
  await cluster.run(600)
  cluster.setCapacity('w1', { accelerators: 4 })
  await cluster.run(SLOW_COMMIT_MS - 500)
  cluster.slowCommitMs = null
  cluster.submit('a1', [tasks(8, 1)])
  await cluster.run(30_000)
  t.same(cluster.fleet.violations, [])
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('a start that is committed after its endpoint has shrunk is not ordered there', async (t) => {
  const cluster = createCluster()
  cluster.elect()
  await cluster.run(1_000)
  cluster.slowCommitMs = SLOW_COMMIT_MS
  cluster.submit('a1', [tasks(8, 1)])
  await cluster.run(100)
  cluster.setCapacity('w1', { accelerators: 4 })
  await cluster.run(1_000)
  cluster.slowCommitMs = null
  await cluster.run(40_000)
  t.same(cluster.fleet.violations, [])
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('a start that is committed after its endpoint has begun to drain is not ordered there', async (t) => {
  const cluster = new TestCluster(1, { runMs: 8_000 }, [createEndpoint('w1'), createEndpoint('w2')])
  cluster.elect()
  await cluster.run(1_000)
  cluster.slowCommitMs = SLOW_COMMIT_MS
  cluster.submit('a1', [tasks(1, 1)])
  await cluster.run(100)
  cluster.fleet.drain(createEndpoint('w1').life)
  cluster.fleet.drain(createEndpoint('w2').life)
  await cluster.run(1_000)
  cluster.slowCommitMs = null
  await cluster.run(10_000)
  t.equal(cluster.fleet.starts, 0)
})

t.test('a gang is withheld whole when one of its endpoints has shrunk before the commit', async (t) => {
  const cluster = new TestCluster(1, { runMs: 1_000 }, [createEndpoint('w1'), createEndpoint('w2')])
  cluster.elect()
  await cluster.run(1_000)
  cluster.slowCommitMs = SLOW_COMMIT_MS
  cluster.submit('a1', [{ ...tasks(2, 8), gang: true }])
  await cluster.run(100)
  cluster.setCapacity('w2', { accelerators: 4 })
  await cluster.run(1_000)
  cluster.slowCommitMs = null
  await cluster.run(10_000)
  t.equal(cluster.fleet.starts, 0)
  cluster.setCapacity('w2', { accelerators: 8 })
  await cluster.run(5_000)
  t.same(cluster.fleet.violations, [])
  t.equal(cluster.statusOf('a1'), 'completed')
})
