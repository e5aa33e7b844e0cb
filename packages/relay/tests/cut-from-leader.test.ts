import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { FleetStallObserver } from '../../dispatch/tests/support/fleet-stall-observer.ts'
import { TestCluster } from '../../dispatch/tests/support/test-cluster.ts'
import { RelayedPaths, type TestRelay } from './support/cut-paths.ts'

const DOMAINS = ['cr-sj', 'cr-al', 'cr-he']
/** A lease and some margin. */
const LONG_MS = 15_000

const wholeEndpoint = { cpuMilli: 1_000, memMb: 1, accelerators: 8 }

/** Cuts the leader off from the endpoints, of which there are four, but for the first `spared`. */
const cutFromLeader = (cluster: TestCluster, { direct }: RelayedPaths, spared: number): void => {
  for (const { life } of cluster.endpoints.slice(spared)) direct.cut.add(life)
}

const countStarts = (cluster: TestCluster): number => [...cluster.fleet.startsByTask.values()].reduce((sum, starts) => sum + starts, 0)

t.test('work starts on endpoints that the entries reach and the leader does not (issue 36, LOST)', async (t) => {
  const cluster = new TestCluster(36, { runMs: 30_000 })
  const paths = new RelayedPaths(cluster, DOMAINS)
  const observer = new FleetStallObserver(cluster)
  cluster.elect()
  await cluster.run(2_000)
  cutFromLeader(cluster, paths, 1)
  observer.recordFault()
  cluster.submit('a1', [createStep({ resources: wholeEndpoint })])
  await cluster.run(1_000)
  cluster.submit('a2', [createStep({ resources: wholeEndpoint })])
  await cluster.run(LONG_MS)
  t.same(observer.describe(), [])
  t.equal(cluster.statusOf('a2'), 'running')
  t.same(cluster.fleet.violations, [])
})

t.test('runs on endpoints that the leader no longer reaches keep their lease', async (t) => {
  const cluster = new TestCluster(37, { runMs: 20_000 })
  const paths = new RelayedPaths(cluster, DOMAINS)
  cluster.elect()
  await cluster.run(1_000)
  cluster.submit('a1', [createStep({ count: 4, maxPerEndpoint: 1 })])
  await cluster.run(1_000)
  cutFromLeader(cluster, paths, 0)
  await cluster.run(25_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.equal(countStarts(cluster), 4, 'no task has run twice')
})

t.test('an endpoint whose answers alone are lost is reached through a relay, and its task runs once', async (t) => {
  const cluster = new TestCluster(38, { runMs: 3_000 })
  const paths = new RelayedPaths(cluster, DOMAINS)
  cluster.elect()
  await cluster.run(1_000)
  for (const { life } of cluster.endpoints) paths.direct.deaf.add(life)
  cluster.submit('a1', [createStep()])
  await cluster.run(8_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.same(cluster.fleet.violations, [])
})

t.test('relays that are cut off, too, or do not answer are passed over', async (t) => {
  const faults: Array<[string, (relay: TestRelay, cluster: TestCluster) => void]> = [
    ['cut off from the endpoints', ({ port }, { endpoints }) => { for (const { life } of endpoints) port.cut.add(life) }],
    ['not answering', (relay) => { relay.isUp = false }]
  ]
  for (const [name, injectFault] of faults) {
    const cluster = new TestCluster(39, { runMs: 1_000 })
    const paths = new RelayedPaths(cluster, DOMAINS)
    cluster.elect()
    await cluster.run(1_000)
    cutFromLeader(cluster, paths, 0)
    for (const relay of paths.relays.slice(0, 2)) injectFault(relay, cluster)
    cluster.submit('a1', [createStep()])
    await cluster.run(LONG_MS)
    t.equal(cluster.statusOf('a1'), 'completed', name)
  }
})

t.test('calls go the direct way again after the cut', async (t) => {
  const cluster = new TestCluster(40, { runMs: 60_000 })
  const paths = new RelayedPaths(cluster, DOMAINS)
  cluster.elect()
  await cluster.run(1_000)
  cluster.submit('a1', [createStep({ count: 4, maxPerEndpoint: 1 })])
  cutFromLeader(cluster, paths, 0)
  await cluster.run(10_000)
  const countRelayed = (): number => paths.relays.reduce((sum, { port }) => sum + port.calls, 0)
  t.ok(countRelayed() > 0)
  paths.direct.cut.clear()
  await cluster.run(20_000)
  const relayed = countRelayed()
  await cluster.run(10_000)
  t.equal(countRelayed(), relayed)
  t.same(cluster.fleet.violations, [])
})

t.test('while calls are relayed, a direct call grants and acknowledges nothing', async (t) => {
  const cluster = new TestCluster(45, { runMs: 2_000 })
  const paths = new RelayedPaths(cluster, DOMAINS)
  cluster.elect()
  await cluster.run(1_000)
  cluster.submit('a1', [createStep({ count: 600 })])
  cutFromLeader(cluster, paths, 0)
  await cluster.run(6_000)
  const before = paths.direct.renewals.length
  await cluster.run(20_000)
  const probes = paths.direct.renewals.slice(before)
  t.ok(probes.length >= 4 && probes.length <= 4 * 12, `${probes.length} probes`)
  t.same(new Set(probes.map((order) => JSON.stringify(order))), new Set([JSON.stringify({ fencingToken: 1, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 })]))
})

t.test('a deposed leader does nothing through a relay', async (t) => {
  const cluster = new TestCluster(41, { runMs: 5_000 })
  const paths = new RelayedPaths(cluster, DOMAINS)
  cluster.elect()
  await cluster.run(1_000)
  cutFromLeader(cluster, paths, 0)
  cluster.submit('a1', [createStep({ count: 4, maxPerEndpoint: 1 })])
  for (let i = 0; i < 4; i++) {
    await cluster.run(900)
    cluster.elect()
  }
  await cluster.run(40_000)
  t.equal(cluster.statusOf('a1'), 'completed')
  t.same(cluster.fleet.violations, [])
})

t.test('a refused connection of a relay does not pass for one of the endpoint', async (t) => {
  const cluster = new TestCluster(42)
  const paths = new RelayedPaths(cluster, ['cr-sj'])
  const [endpoint] = cluster.endpoints
  const renew = async () => await paths.port.renew(endpoint!, { fencingToken: 1, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 }, 700).then(() => null, (err: unknown) => err)
  const run = async () => {
    const done = renew()
    await cluster.run(2_000)
    return await done
  }
  paths.direct.cut.add(endpoint!.life)
  await run()
  cluster.fleet.end(endpoint!.life)
  t.match(await run(), { kind: 'unreachable', details: { code: 'ECONNREFUSED' } }, 'the endpoint is gone')
  paths.relays[0]!.isUp = false
  await run()
  await cluster.run(1_000)
  const err = await run() as { kind: string, details: Record<string, unknown> }
  t.equal(err.kind, 'unreachable')
  t.equal(err.details.code, undefined)
})

t.test('a relay closes its connections to an endpoint that has had no call for a while', async (t) => {
  const cluster = new TestCluster(43)
  const paths = new RelayedPaths(cluster, ['cr-sj'])
  const [endpoint] = cluster.endpoints
  const [relay] = paths.relays
  const answer = relay!.server.handle({ endpoint, call: { type: 'renew', order: { fencingToken: 1, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 } }, timeoutMs: 700 })
  await cluster.run(100)
  t.match(await answer, { type: 'answered', result: { type: 'report' } })
  await cluster.run(20_000)
  t.same(relay!.port.closed, [endpoint!.life])
})

t.test('a relay refuses malformed requests, and more calls at a time than its limit', async (t) => {
  const cluster = new TestCluster(44)
  const paths = new RelayedPaths(cluster, ['cr-sj'])
  const [endpoint] = cluster.endpoints
  const [relay] = paths.relays
  await t.rejects(relay!.server.handle({ endpoint, call: { type: 'delete' }, timeoutMs: 700 }), /relayed call/)
  await t.rejects(relay!.server.handle(null), /relayed call/)
  const req = { endpoint, call: { type: 'renew', order: { fencingToken: 1, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 } }, timeoutMs: 700 }
  const results = Promise.allSettled(Array.from({ length: 80 }, () => relay!.server.handle(req)))
  await cluster.run(1_000)
  const rejected = (await results).filter(({ status }) => status === 'rejected')
  t.equal(rejected.length, 16)
  t.match(rejected[0], { reason: { kind: 'overloaded' } })
})
