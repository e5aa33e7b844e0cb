import { asId, type JobId } from '@ibisstair/common'
import type { EndpointRecord, JobSpec, QueueConfig, StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { createEndpoint, createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

const RUN_MS = 1_000
/** Time after which accepted jobs must not wait on an idle service, beside the run times. */
const PATIENCE_MS = 3_000

const OLD = ['w1', 'w2'].map((id, i) => createEndpoint(id, { address: `10.0.0.${i}:1`, service: 'old' }))
const NEW = ['n1', 'n2'].map((id, i) => createEndpoint(id, { address: `10.0.1.${i}:1`, service: 'new' }))

const createQueue = (service: string, overrides: Partial<QueueConfig> = {}): QueueConfig =>
  ({ name: 'q', host: 'jobs.example', pathPrefix: '/q/', service, priority: 1, maxAttempts: 50, stretch: 2, targetLatencyMs: 1_000, timeoutMs: 3_000, isPublic: false, ...overrides })

/** Sends the queue to the service `new`, and leaves the services as they are or drops the old one. */
const move = (cluster: TestCluster, version = 2, services = ['old', 'new']): void => cluster.configure(version, services, [createQueue('new')])

const createCluster = (seed: number, runMs = RUN_MS): TestCluster => {
  const cluster = new TestCluster(seed, { runMs }, [...OLD, ...NEW])
  cluster.configure(2, ['old', 'new'], [createQueue('old')])
  cluster.elect()
  return cluster
}

const submit = (cluster: TestCluster, id: string, steps: readonly StepSpec[], overrides: Partial<JobSpec> = {}): void =>
  cluster.submit(id, steps, overrides.priority ?? 1, { service: 'old', ...overrides })

/** Lets the endpoints leave once nothing runs there, as they do after a drain. */
const empty = async (cluster: TestCluster, endpoints: readonly EndpointRecord[]): Promise<void> => {
  for (const { id, bornMs } of endpoints) cluster.leave(id, bornMs)
  for (let i = 0; i < 40 && endpoints.some(({ life }) => cluster.state.jobs.listRuns(life).size > 0); i++) await cluster.run(250)
  for (const { life } of endpoints) cluster.fleet.end(life)
}

const countRuns = (cluster: TestCluster, endpoints: readonly EndpointRecord[]): number =>
  endpoints.reduce((sum, { life }) => sum + cluster.state.jobs.listRuns(life).size, 0)

t.test('a job that waits when its queue is sent to another service runs there once the old service is empty', async (t) => {
  // It kept the service of its acceptance and waited for ever, with all endpoints of its queue's service idle (review/8).
  for (const isRecovered of [false, true]) {
    const runMs = 4_000
    const cluster = createCluster(1, runMs)
    submit(cluster, 'a1', [createStep({ count: 16 })])
    await cluster.run(500)
    submit(cluster, 'a2', [createStep({ count: 4 })])
    await cluster.run(500)
    t.equal(cluster.statusOf('a2'), 'queued')
    move(cluster, 3)
    if (isRecovered) cluster.recover()
    await empty(cluster, OLD)
    // The runs that leaving endpoints stopped fill the new service once more before it is the turn of the other job.
    await cluster.run(PATIENCE_MS + 2 * runMs)
    t.equal(cluster.statusOf('a2'), 'completed', isRecovered ? 'after a restart of the leader from its snapshot' : 'with the same leader')
    t.same(cluster.fleet.violations, [])
  }
})

const JOBS: Readonly<Record<string, readonly StepSpec[]>> = {
  'later steps': [createStep(), createStep({ count: 3, dependsOn: [0] }), createStep({ dependsOn: [1] })],
  'the rest of a step': [createStep({ count: 64 })],
  'a gang': [createStep(), createStep({ count: 4, gang: true, dependsOn: [0] })],
  'tightly coupled tasks': [createStep(), createStep({ count: 4, tightlyCoupled: true, dependsOn: [0] })]
}

for (const [name, steps] of Object.entries(JOBS)) {
  t.test(`${name} of a job that has begun run on the new service of its queue`, async (t) => {
    const cluster = createCluster(2)
    submit(cluster, 'a1', steps)
    await cluster.run(500)
    t.ok(countRuns(cluster, OLD) > 0)
    move(cluster, 3)
    await empty(cluster, OLD)
    await cluster.run(PATIENCE_MS + 8 * RUN_MS)
    t.equal(cluster.statusOf('a1'), 'completed')
    t.same(cluster.fleet.violations, [])
  })
}

t.test('a task that has to be started again, and one that lasts, start on the new service of their queue', async (t) => {
  const cluster = createCluster(3, 60_000)
  submit(cluster, 'a1', [createStep({ count: 4, longRunning: true })])
  submit(cluster, 'a2', [createStep({ count: 4 })])
  await cluster.run(1_000)
  t.equal(countRuns(cluster, OLD), 8)
  move(cluster, 3)
  await cluster.run(1_000)
  t.equal(countRuns(cluster, OLD), 8, 'what runs stays')
  for (const { life } of OLD) cluster.fleet.restartUnderId(life)
  await cluster.run(PATIENCE_MS)
  t.equal(countRuns(cluster, NEW), 8)
  t.same(cluster.fleet.violations, [])
})

t.test('capacity that was claimed on the old service is not used once the queue is sent to another one', async (t) => {
  const cluster = createCluster(4, 20_000)
  submit(cluster, 'b1', [createStep({ count: 16 })])
  await cluster.run(500)
  submit(cluster, 'a1', [createStep({ count: 16 })], { priority: 0, queue: 'urgent' })
  await cluster.run(30)
  cluster.configure(3, ['old', 'new'], [createQueue('old'), createQueue('new', { name: 'urgent', pathPrefix: '/u/', priority: 0 })])
  await cluster.run(PATIENCE_MS)
  t.equal(countRuns(cluster, NEW), 16)
  t.same(cluster.fleet.violations, [])
})

t.test('accepted work of a queue that is gone ends on the service that the queue had last', async (t) => {
  const cluster = createCluster(5, 2_000)
  submit(cluster, 'a1', [createStep({ count: 40 }), createStep({ dependsOn: [0] })])
  await cluster.run(500)
  move(cluster, 3)
  cluster.configure(4, ['other'], [createQueue('other', { name: 'p', pathPrefix: '/p/' })])
  await empty(cluster, OLD)
  // The endpoints of a service that no configuration names are still needed, also in a new life.
  cluster.fleet.restartUnderId(NEW[0]!.life)
  await cluster.run(20_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.same(cluster.fleet.violations, [])
})

t.test('work that waits is ordered by the priority that its queue has now', async (t) => {
  const cluster = createCluster(6, 2_000)
  submit(cluster, 'a1', [createStep({ count: 16 })])
  await cluster.run(500)
  submit(cluster, 'b1', [createStep({ count: 16 })], { queue: 'other' })
  submit(cluster, 'c1', [createStep({ count: 16 })], { priority: 3 })
  cluster.configure(3, ['old', 'new'], [createQueue('old', { priority: 0 }), createQueue('old', { name: 'other', pathPrefix: '/o/', priority: 2 })])
  await cluster.run(2_500)
  t.equal(cluster.statusOf('c1'), 'running')
  t.equal(cluster.statusOf('b1'), 'queued')
  t.equal(cluster.state.jobs.get(asId<JobId>('c1'))!.policy.priority, 0)
})
