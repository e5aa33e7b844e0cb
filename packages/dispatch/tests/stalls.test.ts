import { asId, type TaskId } from '@ibisstair/common'
import type { StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { StallObserver } from './support/stall-observer.ts'
import { TestCluster } from './support/test-cluster.ts'

const toTask = (job: string, index = 0): TaskId => asId<TaskId>(`${job}.0.0.${index}`)

const lasting = (count: number, accelerators = 1): StepSpec =>
  createStep({ count, longRunning: true, resources: { cpuMilli: 1_000, memMb: 1, accelerators } })

/** Returns the incarnations on which tasks of the job run. */
const listEndpointsOf = (cluster: TestCluster, job: string) =>
  cluster.fleet.listViews().filter(({ tasks }) => tasks.some((task) => task.startsWith(`${job}.`))).map(({ record }) => record.life)

t.test('a task on an endpoint that refuses every call runs elsewhere once its lease has ended', async (t) => {
  // A refused renewal counts neither as an answer nor as a failure, so that the lease never ended for the leader.
  const cluster = new TestCluster(1, { runMs: 20_000 })
  const observer = new StallObserver(cluster)
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  for (const life of listEndpointsOf(cluster, 'a1')) cluster.fleet.faults.refusing.add(life)
  observer.recordFault()
  await cluster.run(60_000)
  t.same(observer.describe(), [])
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('a task that lasts runs again while another one of its step is suspect', async (t) => {
  // The other tasks of a step wait until the suspect has passed its probation, which may take 20 s.
  const cluster = new TestCluster(2)
  const observer = new StallObserver(cluster)
  cluster.elect()
  cluster.submit('a1', [{ ...lasting(4), maxPerEndpoint: 1 }])
  await cluster.run(15_000)
  const [first] = listEndpointsOf(cluster, 'a1')
  for (let i = 0; i < 2; i++) {
    const crashed = cluster.fleet.listViews().find(({ tasks }) => tasks.includes(toTask('a1')))!
    cluster.fleet.crash(crashed.record.life)
    await cluster.run(15_000)
  }
  t.ok(first)
  observer.recordFault()
  const other = cluster.fleet.listViews().find(({ tasks }) => tasks.includes(toTask('a1', 1)))!
  cluster.fleet.crash(other.record.life)
  await cluster.run(40_000)
  t.same(observer.describe(), [])
})

t.test('work runs on an idle fleet whose endpoints are all kept for suspects', async (t) => {
  // Each suspect keeps a whole endpoint for its job until it has passed its probation.
  const cluster = new TestCluster(3)
  const observer = new StallObserver(cluster)
  cluster.elect()
  for (let i = 0; i < 4; i++) cluster.submit(`a${i}`, [lasting(1, 8)], 1)
  await cluster.run(900)
  for (const { life } of cluster.fleet.listRecords()) {
    cluster.fleet.crash(life)
    await cluster.run(5_000)
  }
  await cluster.run(100)
  cluster.submit('b1', [createStep()])
  await cluster.run(30_000)
  t.same(observer.describe(), [])
})

t.test('runs that an endpoint has taken along run again while its next life cannot be reached', async (t) => {
  // The hand-over waits for 12 s and a lease, and holds all runs of the earlier life meanwhile.
  const cluster = new TestCluster(4, { runMs: 5_000 })
  const observer = new StallObserver(cluster)
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  const [life] = listEndpointsOf(cluster, 'a1')
  cluster.submit('b1', [createStep()])
  await cluster.run(7)
  cluster.fleet.restartUnderId(life!)
  for (const { life: next, id } of cluster.fleet.listRecords()) if (life!.startsWith(`${id}@`)) cluster.fleet.faults.hanging.add(next)
  observer.recordFault()
  await cluster.run(60_000)
  t.same(observer.describe(), [])
})

t.test('an endpoint that was replaced by one that does not announce itself is removed although the first removal fails', async (t) => {
  // The session had closed itself, and nothing asked for the removal again.
  const cluster = new TestCluster(5, { runMs: 5_000 })
  const observer = new StallObserver(cluster)
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  const [life] = listEndpointsOf(cluster, 'a1')
  cluster.fleet.restartUnderId(life!)
  cluster.mutedAnnouncements.add(cluster.fleet.listRecords().at(-1)!.life)
  // The hand-over goes through, and the commit of the removal does not.
  cluster.lateCommitMs = Infinity
  await cluster.run(3_500)
  cluster.lateCommitMs = null
  observer.recordFault()
  await cluster.run(30_000)
  t.same(observer.describe(), [])
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('a gang whose member is cut off runs again', async (t) => {
  const cluster = new TestCluster(6, { runMs: 5_000 })
  const observer = new StallObserver(cluster)
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 3, gang: true, maxPerEndpoint: 1 })])
  await cluster.run(1_000)
  const [life] = listEndpointsOf(cluster, 'a1')
  cluster.fleet.faults.unreachable.add(life!)
  observer.recordFault()
  await cluster.run(30_000)
  t.same(observer.describe(), [])
  t.equal(cluster.statusOf('a1'), 'completed')
})
