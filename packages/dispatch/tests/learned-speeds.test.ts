import { asId, type EndpointId } from '@ibisstair/common'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

const SLOW = asId<EndpointId>('w2')
const SLOWNESS = 1.7
const RUN_MS = 2_000

/** Four endpoints, one of them slow, on which jobs with tasks for all of them run one after the other. */
const createCluster = async (jobs: number): Promise<TestCluster> => {
  const cluster = new TestCluster(1, { runMs: RUN_MS, slowness: new Map([[SLOW, SLOWNESS]]) })
  cluster.elect()
  for (let i = 0; i < jobs; i++) {
    cluster.submit(`b${i}`, [createStep({ count: 8, maxPerEndpoint: 2, estimateMs: RUN_MS })], 1)
    await cluster.run(4_000)
  }
  return cluster
}

const getSpeedOfLastOrder = (cluster: TestCluster, endpoint: EndpointId): unknown =>
  cluster.logLines.filter(({ message, fields }) => message === 'run ordered' && fields.endpoint === endpoint).at(-1)?.fields.speed

t.test('the leader learns a slow endpoint from its reports, logs it with orders and counts it', async (t) => {
  const cluster = await createCluster(4)
  const speed = Number(getSpeedOfLastOrder(cluster, SLOW))
  t.ok(speed < 0.77 && speed > 0.4, `${speed}`)
  t.equal(getSpeedOfLastOrder(cluster, asId('w1')), 1)
  t.equal(cluster.metrics.read().gauges['speeds.slow'], 1)
})

t.test('a new leader with a copy knows the slow endpoint at once, and one without learns it again', async (t) => {
  for (const isShared of [true, false]) {
    const cluster = await createCluster(4)
    cluster.shareSpeeds(isShared)
    cluster.elect()
    await cluster.run(500)
    t.equal(cluster.metrics.read().gauges['speeds.slow'], isShared ? 1 : 0)
    for (let i = 0; i < 4; i++) {
      cluster.submit(`c${i}`, [createStep({ count: 8, maxPerEndpoint: 2, estimateMs: RUN_MS })], 1)
      await cluster.run(4_000)
    }
    t.equal(cluster.metrics.read().gauges['speeds.slow'], 1)
  }
})

t.test('an endpoint that could not be reached during its runs does not count as slow', async (t) => {
  // Guards against a partition after which a whole failure domain is taken for slow.
  const cluster = await createCluster(0)
  const [cut] = cluster.endpoints
  for (let i = 0; i < 5; i++) {
    cluster.submit(`c${i}`, [createStep({ count: 8, maxPerEndpoint: 2, estimateMs: RUN_MS })], 1)
    await cluster.run(300)
    cluster.fleet.faults.unreachable.add(cut!.life)
    await cluster.run(4_000)
    cluster.fleet.faults.unreachable.delete(cut!.life)
    await cluster.run(4_000)
  }
  t.equal(getSpeedOfLastOrder(cluster, cut!.id), 1)
})
