import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

/** Runs a job of one task whose endpoint refuses every call for a while, beginning 1 s after the job. */
const runRefused = async (refusedMs: number) => {
  const cluster = new TestCluster(1, { runMs: 10_000 })
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  const { record: { life } } = cluster.fleet.listViews().find(({ tasks }) => tasks.length > 0)!
  cluster.fleet.faults.refusing.add(life)
  await cluster.run(refusedMs)
  cluster.fleet.faults.refusing.delete(life)
  await cluster.run(30_000)
  return cluster
}

t.test('a run goes on when its endpoint refuses calls for less than the lease', async (t) => {
  for (const refusedMs of [100, 1_000, 3_000]) {
    const cluster = await runRefused(refusedMs)
    t.equal(cluster.statusOf('a1'), 'completed')
    t.equal(cluster.fleet.starts, 1, `refused for ${refusedMs} ms`)
    t.same(cluster.fleet.violations, [])
  }
})

t.test('a task whose endpoint refuses calls for longer than the lease runs elsewhere, never at two places', async (t) => {
  for (const refusedMs of [6_000, 6_300, 6_600, 7_000, 20_000]) {
    const cluster = await runRefused(refusedMs)
    t.equal(cluster.statusOf('a1'), 'completed')
    t.same(cluster.fleet.violations, [], `refused for ${refusedMs} ms`)
  }
})

t.test('an endpoint that refuses renewals gets no new work until it answers one', async (t) => {
  const cluster = new TestCluster(1, { runMs: 20_000 })
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  const { record: { life, id } } = cluster.fleet.listViews().find(({ tasks }) => tasks.length > 0)!
  cluster.fleet.faults.refusing.add(life)
  await cluster.run(1_000)
  cluster.submit('a2', [createStep({ count: 4 })])
  await cluster.run(500)
  const isOrderedThere = (job: string): boolean => cluster.logLines.some(({ message, fields }) => message === 'run ordered' && fields.endpoint === id && String(fields.task).startsWith(`${job}.`))
  t.equal(isOrderedThere('a2'), false)
  cluster.fleet.faults.refusing.delete(life)
  await cluster.run(1_500)
  cluster.submit('a3', [createStep({ count: 28 })])
  await cluster.run(500)
  t.equal(isOrderedThere('a3'), true)
})
