import { asId, type TaskId } from '@ibisstair/common'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

const toTask = (index: number): TaskId => asId<TaskId>(`feed.0.0.${index}`)

t.test('a job that cannot be planned does not end one leader after the other', async (t) => {
  // The state is replicated, so that each later leader would fail in the same way.
  const cluster = new TestCluster(1)
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 2 })])
  await cluster.run(100)
  // Submissions are checked before they are replicated; this one stands for what a check may miss.
  cluster.submit('bad', [createStep({ dependsOn: [7] })])
  await cluster.run(5_000)
  t.ok((cluster.metrics.read().counters['planner.failures'] ?? 0) > 0)
  t.ok((cluster.metrics.read().counters['planner.failures'] ?? 0) <= 6, 'failed passes are not repeated without a pause')
  t.equal(cluster.statusOf('a1'), 'completed', 'runs in progress are served')
  cluster.elect()
  await cluster.run(2_000)
  t.ok(cluster.logLines.some(({ message }) => message.startsWith('planning pass failed')))
})

t.test('an endpoint that reports very many runs is not sent as many orders', async (t) => {
  const cluster = new TestCluster(2, { runMs: 20_000 })
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(100)
  cluster.fleet.faults.strayRuns = Array.from({ length: 20_000 }, (_, index) => ({ task: toTask(index), run: 1, percent: 0 }))
  await cluster.run(400)
  t.ok(cluster.fleet.mostStopsAtOnce <= 64, `${cluster.fleet.mostStopsAtOnce} stops at once`)
  t.ok(cluster.fleet.stops > 0)
})
