import { asId, type JobId, type TaskId } from '@ibisstair/common'
import type { StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

const toTask = (job: string, index = 0): TaskId => asId<TaskId>(`${job}.0.0.${index}`)

const single = (count: number, accelerators: number, part: Partial<StepSpec> = {}): StepSpec =>
  createStep({ count, resources: { cpuMilli: 1_000, memMb: 1, accelerators }, ...part })

/** Endpoints that one task may take down while nothing else fails. */
const MAX_CRASHES = 3

t.test('a task that crashes every endpoint that starts it is given up', async (t) => {
  // It was started again without a bound, and took down one endpoint after another.
  const cluster = new TestCluster(1, { crashingTasks: new Set([toTask('a1')]) })
  cluster.elect()
  cluster.submit('a1', [single(1, 1)])
  await cluster.run(30_000)
  t.equal(cluster.statusOf('a1'), 'failed')
  t.ok(cluster.fleet.crashes.length <= MAX_CRASHES, `${cluster.fleet.crashes.length} endpoints crashed`)
  t.same(cluster.fleet.violations, [])
})

t.test('a crash counts across hand-overs and restarts of the scheduler', async (t) => {
  for (const changeLeader of ['elect', 'recover'] as const) {
    for (let delayMs = 0; delayMs < 4_000; delayMs += 500) {
      const cluster = new TestCluster(2, { crashingTasks: new Set([toTask('a1')]) })
      cluster.elect()
      cluster.submit('a1', [single(1, 1)])
      await cluster.run(delayMs)
      for (let i = 0; i < 6; i++) {
        cluster[changeLeader]()
        await cluster.run(3_700)
      }
      await cluster.run(10_000)
      t.equal(cluster.statusOf('a1'), 'failed', `${changeLeader} from ${delayMs} ms`)
      t.ok(cluster.fleet.crashes.length <= 5, `${changeLeader} from ${delayMs} ms: ${cluster.fleet.crashes.length} endpoints crashed`)
    }
  }
})

t.test('a member that crashes its endpoint ends its gang, and with it the job', async (t) => {
  // The fake endpoints know no gangs, so that the other members must run longer than the leader needs to stop them.
  const cluster = new TestCluster(3, { crashingTasks: new Set([toTask('a1', 1)]), runMs: 20_000 })
  cluster.elect()
  cluster.submit('a1', [single(4, 4, { gang: true })])
  await cluster.run(30_000)
  t.equal(cluster.statusOf('a1'), 'failed')
  t.ok(cluster.fleet.crashes.length <= MAX_CRASHES, `${cluster.fleet.crashes.length} endpoints crashed`)
})

t.test('tasks that ran beside a crashing task complete and are hit by few crashes', async (t) => {
  const cluster = new TestCluster(4, { crashingTasks: new Set([toTask('bad')]), runMs: 2_000 })
  cluster.elect()
  cluster.submit('good1', [single(12, 1)])
  cluster.submit('bad', [single(1, 1)])
  cluster.submit('good2', [single(12, 1)])
  await cluster.run(40_000)
  t.equal(cluster.statusOf('bad'), 'failed')
  t.equal(cluster.statusOf('good1'), 'completed')
  t.equal(cluster.statusOf('good2'), 'completed')
  const innocent = cluster.fleet.crashes.flat().filter((task) => !task.startsWith('bad.'))
  t.ok(innocent.length <= 7, `${innocent.length} innocent runs lost`)
  t.same(cluster.fleet.violations, [])
})

t.test('a job whose endpoint was only cut off is not given up', async (t) => {
  const cluster = new TestCluster(6, { runMs: 20_000 })
  cluster.elect()
  cluster.submit('a1', [single(1, 1)])
  for (let round = 0; round < 5; round++) {
    await cluster.run(300)
    const { life } = cluster.fleet.listRecords()[round % 4]!
    cluster.fleet.faults.unreachable.add(life)
    await cluster.run(9_000)
    cluster.fleet.faults.unreachable.delete(life)
  }
  await cluster.run(30_000)
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('a job that is given up says why in log and metrics', async (t) => {
  const cluster = new TestCluster(7, { crashingTasks: new Set([toTask('a1')]) })
  cluster.elect()
  cluster.submit('a1', [single(1, 1)])
  await cluster.run(30_000)
  const line = cluster.logLines.find(({ message }) => message === 'job given up because its task crashes endpoints')
  t.match(line?.fields, { job: 'a1' as JobId, task: toTask('a1') })
  t.equal(cluster.metrics.read().counters['jobs.given-up'], 1)
  t.ok((cluster.metrics.read().counters['endpoints.crashed'] ?? 0) >= 2)
})
