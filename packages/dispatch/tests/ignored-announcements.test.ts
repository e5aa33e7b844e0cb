import { asId, type EndpointId } from '@ibisstair/common'
import { toEndpointIncarnation, type EndpointRecord } from '@ibisstair/jobs'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

const RUN_MS = 4_000
const TASKS = 2

/** Starts tasks that fill a part of one endpoint, and returns that endpoint. */
const startTasks = async (): Promise<{ cluster: TestCluster, endpoint: EndpointRecord }> => {
  const cluster = new TestCluster(1, { runMs: RUN_MS })
  cluster.elect()
  await cluster.run(1_000)
  cluster.submit('a1', [createStep({ count: TASKS })])
  await cluster.run(1_500)
  const endpoint = cluster.endpoints.find(({ life }) => cluster.state.jobs.listRuns(life).size > 0)!
  return { cluster, endpoint }
}

const createLife = (endpoint: EndpointRecord, id: string, bornMs: number): EndpointRecord =>
  ({ ...endpoint, id: asId<EndpointId>(id), bornMs, life: toEndpointIncarnation(asId<EndpointId>(id), bornMs) })

const FOREIGN = { service: 'backups', capacity: { cpuMilli: 1_000, memMb: 1_000, accelerators: 0 } }

/** What another writer may announce about a sound endpoint; each variant for itself. */
const VARIANTS: ReadonlyArray<readonly [string, (endpoint: EndpointRecord, cluster: TestCluster) => EndpointRecord]> = [
  ['under an id of its own at the address of the endpoint', (endpoint, { timers }) => ({ ...createLife(endpoint, 'agent', timers.wallClock()), ...FOREIGN })],
  ['under the id of the endpoint and a later start', (endpoint, { timers }) => ({ ...createLife(endpoint, endpoint.id, timers.wallClock()), ...FOREIGN })],
  ['under the id of the endpoint and a later start at another address', (endpoint, { timers }) => ({ ...createLife(endpoint, endpoint.id, timers.wallClock()), ...FOREIGN, address: '10.9.9.9:1' })],
  ['under the same incarnation, that it drains', (endpoint) => ({ ...endpoint, ...FOREIGN, draining: true, sequence: 1_000_000 })],
  ['under the same incarnation and for the same service at another address', (endpoint) => ({ ...endpoint, address: '10.9.9.9:1', sequence: 1_000_000 })]
]

for (const [name, toForeign] of VARIANTS) {
  t.test(`an announcement of another writer ${name} changes nothing about a sound endpoint`, async (t) => {
    // One for a service that no configuration names ended a sound endpoint: its tasks ran twice, and it got no more work.
    for (const isRepeated of [false, true]) {
      const { cluster, endpoint } = await startTasks()
      const before = JSON.stringify(cluster.state.endpoints.get(endpoint.life))
      const foreign = toForeign(endpoint, cluster)
      for (let i = 0; i < (isRepeated ? 6 : 1); i++) {
        cluster.announce({ ...foreign, sequence: foreign.sequence + i }, 500_000)
        await cluster.run(300)
      }
      t.equal(JSON.stringify({ ...cluster.state.endpoints.get(endpoint.life), sequence: endpoint.sequence }), JSON.stringify({ ...JSON.parse(before), sequence: endpoint.sequence }))
      t.equal(cluster.state.endpoints.size, cluster.endpoints.length, 'no endpoint is added')
      await cluster.run(RUN_MS)
      t.equal(cluster.statusOf('a1'), 'completed')
      t.equal(cluster.fleet.starts, TASKS, 'each task runs once')
      t.same(cluster.fleet.violations, [])
      cluster.submit('a2', [createStep({ count: 32 })])
      await cluster.run(1_000)
      t.equal(cluster.state.jobs.listRuns(endpoint.life).size, 8, 'the endpoint still gets work')
    }
  })
}

t.test('the announcements of a sound endpoint still count after one of another writer under the same incarnation', async (t) => {
  // Its higher number made the true ones outdated, and the endpoint was removed as a silent one.
  const { cluster, endpoint } = await startTasks()
  cluster.announce({ ...endpoint, ...FOREIGN, sequence: 1_000_000 }, 1)
  await cluster.run(1_000)
  cluster.setCapacity(endpoint.id, { accelerators: 4 })
  await cluster.run(1_000)
  t.equal(cluster.state.endpoints.get(endpoint.life)?.capacity.accelerators, 4)
})

t.test('a message that an endpoint leaves stops nothing there if another writer sent it', async (t) => {
  // It was believed for any endpoint that drains, whatever service or address it named; all runs there were stopped.
  for (const claims of [{ service: 'backups' }, { address: '10.9.9.9:1' }, { bornMs: 77 }]) {
    const { cluster, endpoint } = await startTasks()
    cluster.mutedAnnouncements.add(endpoint.life)
    cluster.announce({ ...endpoint, draining: true, sequence: 1_000_000 }, 1)
    await cluster.run(500)
    t.ok(cluster.state.endpoints.get(endpoint.life)?.draining)
    cluster.leave(endpoint.id, null, claims)
    await cluster.run(RUN_MS)
    t.equal(cluster.statusOf('a1'), 'completed', JSON.stringify(claims))
    t.equal(cluster.fleet.starts, TASKS)
    t.ok(cluster.state.endpoints.get(endpoint.life))
  }
})

t.test('an endpoint that announces itself before the configuration names its service is used once it does', async (t) => {
  const cluster = new TestCluster(1)
  cluster.elect()
  const early = { ...createLife(cluster.endpoints[0]!, 'early', 7), service: 'next', address: '10.1.1.1:1' }
  cluster.fleet.add(early)
  await cluster.run(2_000)
  t.equal(cluster.state.endpoints.get(early.life), undefined)
  cluster.configure(2, ['s', 'next'])
  await cluster.run(1_000)
  cluster.submit('a1', [createStep()], 1, { service: 'next' })
  await cluster.run(3_000)
  t.equal(cluster.statusOf('a1'), 'completed')
})

t.test('endpoints of a service that the configuration has dropped finish the work that was accepted for it, also after a restart', async (t) => {
  const cluster = new TestCluster(1, { runMs: 2_000 })
  cluster.elect()
  await cluster.run(1_000)
  cluster.submit('a1', [createStep({ count: 64 })])
  await cluster.run(500)
  cluster.configure(2, ['other'])
  cluster.fleet.restartUnderId(cluster.endpoints[0]!.life)
  await cluster.run(20_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.same(cluster.fleet.violations, [])
})
