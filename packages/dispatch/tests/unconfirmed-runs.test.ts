import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

/** Returns the incarnations on which tasks of the job run. */
const listEndpointsOf = (cluster: TestCluster, job: string) =>
  cluster.fleet.listViews().filter(({ tasks }) => tasks.some((task) => task.startsWith(`${job}.`))).map(({ record }) => record.life)

t.test('no member of a gang is ordered while the endpoint of another one answers no call', async (t) => {
  // The others waited for it, and were stopped at the end of its lease.
  const cluster = new TestCluster(1, { runMs: 2_000 })
  cluster.fleet.faults.hanging.add(cluster.endpoints[1]!.life)
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 3, gang: true, maxPerEndpoint: 1 })])
  await cluster.run(6_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.equal(cluster.fleet.starts, 3)
})

t.test('a run whose order found no listener starts elsewhere at once', async (t) => {
  // Its task was held until the end of the lease, though nobody can have received the order.
  const cluster = new TestCluster(2, { runMs: 300 })
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(100)
  const [life] = listEndpointsOf(cluster, 'a1')
  await cluster.run(500)
  cluster.fleet.end(life!)
  cluster.submit('a2', [createStep()])
  await cluster.run(800)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.equal(cluster.statusOf('a2'), 'completed')
})

t.test('a run that was not ordered starts elsewhere although its end is not committed at first', async (t) => {
  const cluster = new TestCluster(3, { runMs: 300 })
  cluster.fleet.faults.hanging.add(cluster.endpoints[0]!.life)
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(300)
  cluster.hasQuorum = false
  await cluster.run(1_500)
  cluster.hasQuorum = true
  await cluster.run(1_000)
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('a run that was not ordered is not held by the next leader', async (t) => {
  // The start was committed before the endpoint was called, and the next leader can't know that no order followed.
  const cluster = new TestCluster(4, { runMs: 300 })
  cluster.fleet.faults.hanging.add(cluster.endpoints[0]!.life)
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(300)
  cluster.hasQuorum = false
  await cluster.run(1_500)
  cluster.hasQuorum = true
  cluster.elect()
  await cluster.run(3_000)
  t.equal(cluster.statusOf('a1'), 'completed')
})
