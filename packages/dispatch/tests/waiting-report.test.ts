import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { EXAMINATION_PERIOD_MS, MAX_EXAMINED_WORK, MIN_EXAMINED_WAIT_MS } from '../src/waiting-work.ts'
import { COMMIT_TIMEOUT_MS } from '../src/constants.ts'
import { NO_SCHEDULING_POLICY } from '../src/index.ts'
import { TestCluster } from './support/test-cluster.ts'

const WHOLE_ENDPOINT = { cpuMilli: 1_000, memMb: 1, accelerators: 8 }

const listLines = ({ logLines }: TestCluster, message: string) => logLines.filter((line) => line.message === message).map(({ fields }) => fields)

const readGauges = ({ metrics }: TestCluster) => metrics.read().gauges

t.test('the dispatcher tells what waiting work waits for, in a bounded number of lines', async (t) => {
  const SECONDS = 12
  const WAITING = 40
  const cluster = new TestCluster(1, { runMs: 60_000 })
  cluster.elect()
  cluster.submit('ff', [createStep({ count: 4, resources: WHOLE_ENDPOINT })])
  await cluster.run(500)
  for (let i = 0; i < WAITING; i++) cluster.submit(`a${i}`, [createStep({ resources: WHOLE_ENDPOINT })])
  await cluster.run(SECONDS * 1_000)
  const lines = listLines(cluster, 'work waits')
  t.ok(lines.length >= WAITING, 'each job has a line')
  t.ok(lines.length <= MAX_EXAMINED_WORK * SECONDS * 1_000 / EXAMINATION_PERIOD_MS)
  t.equal(new Set(lines.map(({ job }) => job)).size, WAITING)
  t.ok(listLines(cluster, 'more work waits; its lines are left out').length > 0)
  const [line] = lines
  t.match(line, { job: 'a0', work: 'a0.0.0', reason: 'no-capacity', priority: 1, tasksWaiting: 1, tasks: 1, fittingTasks: 0, runsOfJob: 0, isStalled: false, usable: { endpoints: 4, free: { accelerators: 0 } }, registered: { endpoints: 4 }, outOfUse: {} })
  t.ok(Number(line!.waitedMs) >= MIN_EXAMINED_WAIT_MS)
  t.match(readGauges(cluster), { 'work.waiting': WAITING, 'work.waiting.no-capacity': WAITING, 'work.waiting.one-rack': 0, 'endpoints.in-use': 4 })
  t.ok(readGauges(cluster)['work.longest-wait-ms']! > 11_000)
  cluster.depose()
  t.match(readGauges(cluster), { 'work.waiting': 0, 'work.waiting.no-capacity': 0, 'work.longest-wait-ms': 0, 'endpoints.in-use': 0 }, 'a leader that was deposed reports nothing')
})

t.test('no line is written about work that starts at once', async (t) => {
  const cluster = new TestCluster(2)
  cluster.elect()
  cluster.submit('a1', [createStep({ count: 8 }), createStep({ dependsOn: [0] })])
  await cluster.run(6_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.same(listLines(cluster, 'work waits'), [])
  t.same(listLines(cluster, 'run unsettled'), [])
})

t.test('work that waits for endpoints out of use names their number by reason', async (t) => {
  const cluster = new TestCluster(3)
  cluster.elect()
  for (const { life } of cluster.endpoints) cluster.fleet.faults.unreachable.add(life)
  await cluster.run(5_000)
  cluster.submit('a1', [createStep()])
  await cluster.run(4_000)
  t.match(listLines(cluster, 'endpoints out of use'), [{ reason: 'unannounced', count: 4, endpoints: 'w1 w2 w3 w4' }])
  t.match(listLines(cluster, 'work waits')[0], { job: 'a1', reason: 'endpoints-out-of-use', fits: 'free', outOfUse: { unannounced: 4 }, usable: { endpoints: 0 }, registered: { endpoints: 4 } })
  t.match(readGauges(cluster), { 'endpoints.in-use': 0, 'endpoints.out-of-use.unannounced': 4, 'work.waiting.endpoints-out-of-use': 1 })
  cluster.fleet.faults.unreachable.clear()
  await cluster.run(3_000)
  t.match(listLines(cluster, 'endpoints back in use'), [{ reason: 'unannounced', count: 4 }])
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('an endpoint that becomes suspect is logged when it goes out of use and when it is back', async (t) => {
  const cluster = new TestCluster(4, { failingShare: 1 })
  cluster.elect()
  // Tasks of both jobs fail on each endpoint.
  for (const id of ['a1', 'a2']) {
    cluster.submit(id, [createStep({ count: 32 })], 1, { maxAttempts: 1 })
    await cluster.run(2_000)
  }
  const out = listLines(cluster, 'endpoints out of use')
  t.ok(out.length > 0)
  t.ok(out.every(({ reason }) => reason === 'suspect'))
  await cluster.run(8_000)
  const sumOf = (message: string): number => listLines(cluster, message).reduce((sum, { count }) => sum + Number(count), 0)
  t.equal(sumOf('endpoints back in use'), sumOf('endpoints out of use'))
})

t.test('a run whose endpoint does not confirm it is reported, and counts among the runs of its job', async (t) => {
  const cluster = new TestCluster(5, { runMs: 60_000 })
  cluster.elect()
  await cluster.run(100)
  // The endpoints answer a call before the starts are committed, and the orders after that get no answer.
  cluster.commitMs = 1_000
  cluster.submit('a1', [createStep({ count: 6, resources: WHOLE_ENDPOINT })])
  await cluster.run(500)
  for (const { life } of cluster.endpoints) cluster.fleet.faults.unreachable.add(life)
  await cluster.run(5_000)
  const unsettled = listLines(cluster, 'run unsettled')
  t.ok(unsettled.length > 0)
  t.match(unsettled[0], { cause: 'unconfirmed', run: 1, phase: 'unconfirmed' })
  t.ok(Number(unsettled[0]!.failures) > 0)
  t.equal(readGauges(cluster)['runs.unsettled.unconfirmed'], 4)
  t.match(listLines(cluster, 'work waits')[0], { job: 'a1', tasksWaiting: 2, tasks: 6, runsOfJob: 4, runsOfStep: 4, runsUnconfirmed: 4, runsOnSilentEndpoints: 4, outOfUse: { unanswered: 4 } })
})

t.test('starts that are not committed are counted, and so are passes that wait for a commit', async (t) => {
  const cluster = new TestCluster(6)
  cluster.commitMs = 1_000
  cluster.elect()
  cluster.submit('a1', [createStep()])
  await cluster.run(800)
  cluster.hasQuorum = false
  await cluster.run(COMMIT_TIMEOUT_MS)
  t.equal(cluster.metrics.counter('starts.uncommitted'), 1)
  t.ok(cluster.metrics.counter('planner.awaits-commit') > 0)
  t.equal(cluster.metrics.read().timings['starts.commit']?.count, 1)
})

t.test('with fair shares the log and the metrics tell what customers use and wait for, and a deposed leader nothing', async (t) => {
  const cluster = new TestCluster(4, { runMs: 60_000 })
  cluster.policy = { ...NO_SCHEDULING_POLICY, fairShares: true }
  cluster.elect()
  cluster.submit('ff', [createStep({ count: 4, resources: WHOLE_ENDPOINT })])
  await cluster.run(500)
  cluster.submit('a0', [createStep({ resources: WHOLE_ENDPOINT, estimateMs: 2_000 })])
  await cluster.run(4_000)
  t.match(listLines(cluster, 'work waits')[0], { job: 'a0', customer: 'clinics', customerShare: 1 })
  t.match(readGauges(cluster), { 'customers.share-percent.clinics': 100, 'customers.backlog-core-s.clinics': 130 })
  cluster.depose()
  t.match(readGauges(cluster), { 'customers.share-percent.clinics': 0, 'customers.backlog-core-s.clinics': 0 })
})
