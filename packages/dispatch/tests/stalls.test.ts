import { asId, type RackId, type TaskId } from '@ibisstair/common'
import type { StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { FleetStallObserver } from './support/fleet-stall-observer.ts'
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
  const observer = new FleetStallObserver(cluster)
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  for (const life of listEndpointsOf(cluster, 'a1')) cluster.fleet.faults.refusing.add(life)
  observer.recordFault()
  await cluster.run(60_000)
  t.same(observer.describe(), [])
  t.equal(cluster.statusOf('a1'), 'completed')
})

/** Crashes the endpoint of the task. */
const crashUnder = (cluster: TestCluster, task: TaskId): void => {
  cluster.fleet.crash(cluster.fleet.listViews().find(({ tasks }) => tasks.includes(task))!.record.life)
}

t.test('a task that lasts runs again while another one of its step is suspect', async (t) => {
  // The other tasks of a step wait until the suspect has passed its probation, which may take 20 s.
  const cluster = new TestCluster(2)
  const observer = new FleetStallObserver(cluster)
  cluster.elect()
  cluster.submit('a1', [{ ...lasting(4), maxPerEndpoint: 1 }])
  await cluster.run(15_000)
  crashUnder(cluster, toTask('a1'))
  await cluster.run(15_000)
  crashUnder(cluster, toTask('a1'))
  await cluster.run(4_500)
  crashUnder(cluster, toTask('a1', 1))
  observer.recordFault()
  await cluster.run(40_000)
  t.same(observer.describe(), [])
})

t.test('work runs on an idle fleet while the tasks of a few jobs are suspect', async (t) => {
  // Each suspect keeps a whole endpoint for its job until it has passed its probation, so that four small ones keep the whole fleet.
  const cluster = new TestCluster(3)
  const observer = new FleetStallObserver(cluster)
  cluster.elect()
  for (let i = 0; i < 4; i++) cluster.submit(`a${i}`, [lasting(1)])
  for (let i = 0; i < 2; i++) {
    await cluster.run(15_000)
    crashUnder(cluster, toTask('a0'))
  }
  await cluster.run(5_000)
  observer.recordFault()
  cluster.submit('b1', [createStep()])
  await cluster.run(30_000)
  t.same(observer.describe(), [])
})

t.test('a suspect that lasts runs again although other suspects keep all endpoints', async (t) => {
  const cluster = new TestCluster(3)
  const observer = new FleetStallObserver(cluster)
  cluster.elect()
  for (let i = 0; i < 6; i++) cluster.submit(`a${i}`, [lasting(1)])
  for (let i = 0; i < 2; i++) {
    await cluster.run(15_000)
    crashUnder(cluster, toTask('a0'))
  }
  observer.recordFault()
  await cluster.run(40_000)
  t.same(observer.describe(), [])
})

t.test('an endpoint that was replaced by one that does not announce itself is removed although the first removal fails', async (t) => {
  // The session had closed itself, and nothing asked for the removal again.
  const cluster = new TestCluster(5, { runMs: 5_000 })
  const observer = new FleetStallObserver(cluster)
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  const [life] = listEndpointsOf(cluster, 'a1')
  cluster.fleet.restartUnderId(life!)
  cluster.mutedAnnouncements.add(cluster.fleet.listRecords().at(-1)!.life)
  cluster.hasQuorum = false
  await cluster.run(1_500)
  cluster.hasQuorum = true
  observer.recordFault()
  await cluster.run(30_000)
  t.same(observer.describe(), [])
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('work runs in another rack when the endpoint that has room near its data refuses it', async (t) => {
  // While a start awaits its answer the work does not wait, so that its patience began anew with each refused start.
  for (const longRunning of [true, false]) {
    const cluster = new TestCluster(8)
    const observer = new FleetStallObserver(cluster)
    cluster.elect()
    cluster.submit('b1', [{ ...lasting(1), dataRack: asId<RackId>('r1') }])
    await cluster.run(1_000)
    const [occupied] = listEndpointsOf(cluster, 'b1')
    for (const { life, rack } of cluster.endpoints) if (rack === 'r1' && life !== occupied) cluster.fleet.faults.refusingStarts.add(life)
    cluster.submit('a1', [{ ...lasting(1, 8), longRunning, dataRack: asId<RackId>('r1') }])
    await cluster.run(30_000)
    t.same(observer.describe(), [], longRunning ? 'lasts' : 'ends')
  }
})

t.test('work runs in another rack when every run near its data fails', async (t) => {
  // Only failures of two jobs make an endpoint suspect, so that a single job tried the same ones again and again.
  const cluster = new TestCluster(9)
  for (const { life, rack } of cluster.endpoints) if (rack === 'r1') cluster.fleet.faults.failing.add(life)
  cluster.elect()
  cluster.submit('a1', [createStep({ longRunning: true, dataRack: asId<RackId>('r1') })])
  await cluster.run(15_000)
  t.equal(listEndpointsOf(cluster, 'a1').length, 1)
  t.ok(cluster.fleet.starts < 20, `${cluster.fleet.starts} starts`)
})

t.test('a gang whose member is cut off runs again', async (t) => {
  const cluster = new TestCluster(6, { runMs: 5_000 })
  const observer = new FleetStallObserver(cluster)
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

t.test('a job starts within 3 s on an empty fleet on which runs of two jobs have just failed everywhere', async (t) => {
  // All endpoints are suspect for 6 s, and there is no other one to go to: the planner had no endpoint to use.
  const cluster = new TestCluster(11)
  cluster.elect()
  await cluster.run(1_000)
  for (const { life } of cluster.endpoints) cluster.fleet.faults.failing.add(life)
  for (const id of ['a1', 'a2', 'a3']) cluster.submit(id, [createStep({ count: 4, maxPerEndpoint: 1 })], 1, { maxAttempts: 2 })
  await cluster.run(1_000)
  for (const id of ['a1', 'a2', 'a3']) cluster.cancel(id)
  cluster.fleet.faults.failing.clear()
  await cluster.run(500)
  cluster.submit('b1', [createStep()])
  await cluster.run(3_000)
  t.not(cluster.statusOf('b1'), 'queued')
})

t.test('a job is not sent to one endpoint after another that answers no calls', async (t) => {
  // An endpoint without runs is not called, so that each one that hangs costs the job a lease.
  const cluster = new TestCluster(7, {})
  const observer = new FleetStallObserver(cluster)
  for (const { life } of cluster.endpoints.slice(0, 3)) cluster.fleet.faults.hanging.add(life)
  await cluster.run(5_000)
  cluster.elect()
  await cluster.run(5_000)
  cluster.submit('a1', [createStep()])
  await cluster.run(60_000)
  t.same(observer.describe(), [])
})
