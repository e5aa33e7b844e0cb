import { asId, IbisError, type NodeId } from '@ibisstair/common'
import type { EndpointPort } from '@ibisstair/dispatch'
import type { EndpointRecord } from '@ibisstair/jobs'
import { Metrics } from '@ibisstair/telemetry'
import { ManualTimerService } from '@ibisstair/timers'
import t from 'tap'
import { createEndpoint, createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from '../../dispatch/tests/support/test-cluster.ts'
import { RelayDirectory, RelayingEndpointPort, RelayOfferer, type RelayOffer } from '../src/index.ts'
import { RelayedPaths, type TestRelay } from './support/cut-paths.ts'

const DOMAINS = ['cr-sj', 'cr-al', 'cr-he']
const RENEWAL = { fencingToken: 1, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 }
const LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

const cutAll = (cluster: TestCluster, { direct }: RelayedPaths): void => { for (const { life } of cluster.fleet.listRecords()) direct.cut.add(life) }

/** Lets the endpoints hold back renewals as long as asked; otherwise they do so for 0.2 s at most. Clock and lists are those at the time of the answer. */
const useTrueWaits = ({ fleet, timers }: TestCluster): void => {
  const renew = fleet.renew.bind(fleet)
  fleet.renew = async (endpoint, order, timeoutMs) => {
    const result = await renew(endpoint, { ...order, waitMs: 0 }, timeoutMs)
    if (order.waitMs === 0 || result.type !== 'report' || result.report.ended.length > 0) return result
    await timers.delay(order.waitMs)
    return await renew(endpoint, { ...order, ackedUpto: 0, leaseUntilMs: null, waitMs: 0 }, timeoutMs)
  }
}

const recordOf = (cluster: TestCluster, { id }: EndpointRecord): EndpointRecord => cluster.fleet.listRecords().find((record) => record.id === id)!

/** Cuts each endpoint off from the relay that is its first choice. */
const cutFirstRelays = (cluster: TestCluster, paths: RelayedPaths): void => {
  for (const endpoint of cluster.fleet.listRecords()) {
    const [first] = paths.directory.listFor(endpoint, cluster.timers.now())
    paths.relays.find(({ node }) => node === first!.node)!.port.cut.add(endpoint.life)
  }
}

t.test('the handover of an endpoint that is cut off, and from one relay, too, takes another path', async (t) => {
  for (const delayMs of [1_000, 1_200, 1_400]) {
    const cluster = new TestCluster(51, { runMs: 2_000 })
    const paths = new RelayedPaths(cluster, DOMAINS)
    cluster.elect()
    await cluster.run(1_000)
    cluster.submit('a1', [createStep({ count: 4, maxPerEndpoint: 1 })])
    await cluster.run(1_000)
    // The next leader has not called any endpoint yet when they are cut off and reborn.
    cutAll(cluster, paths)
    cutFirstRelays(cluster, paths)
    cluster.elect()
    await cluster.run(delayMs)
    for (const { life } of cluster.endpoints) cluster.fleet.restartUnderId(life)
    cutAll(cluster, paths)
    cutFirstRelays(cluster, paths)
    await cluster.run(12_000)
    t.equal(cluster.statusOf('a1'), 'completed', `reborn ${delayMs} ms after the change of the leader`)
    t.same(cluster.fleet.violations, [])
  }
})

/** Makes the relays keep calls until they are thawed, as stopped processes do, and then pass them on. */
const freeze = (relays: readonly TestRelay[], cluster: TestCluster): (() => Promise<void>) => {
  const kept: Array<() => Promise<unknown>> = []
  const thawed = new Set<TestRelay>()
  for (const relay of relays) {
    const { server } = relay
    const handle = server.handle.bind(server)
    server.handle = async (req) => {
      if (thawed.has(relay)) return await handle(req)
      const copy = JSON.parse(JSON.stringify(req))
      kept.push(() => handle(copy).catch(() => {}))
      await cluster.timers.delay(copy.timeoutMs + 150)
      throw new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } })
    }
  }
  return async () => {
    for (const relay of relays) thawed.add(relay)
    const passedOn = Promise.all(kept.map((pass) => pass()))
    await cluster.run(3_000)
    await passedOn
  }
}

t.test('a relay that stood still passes on no start whose time has passed', async (t) => {
  for (const [frozenMs, isReborn] of [[7_000, false], [7_000, true], [12_000, true]] as const) {
    const cluster = new TestCluster(52, { runMs: 60_000 }, [createEndpoint('w1', { address: '10.0.0.1:1' }), createEndpoint('w2', { address: '10.0.0.2:1' })])
    const paths = new RelayedPaths(cluster, ['cr-sj'])
    const [w1, w2] = cluster.endpoints
    cluster.elect()
    await cluster.run(1_000)
    // A run on each keeps the sessions busy, so that the calls of w1 are relayed before its relay stands still.
    cluster.submit('a0', [createStep({ count: 2, maxPerEndpoint: 1 })])
    await cluster.run(1_000)
    paths.direct.cut.add(w1!.life)
    await cluster.run(4_000)
    cluster.fleet.faults.refusingStarts.add(w2!.life)
    const thaw = freeze(paths.relays, cluster)
    cluster.submit('a1', [createStep()])
    await cluster.run(2_000)
    paths.direct.cut.clear()
    cluster.fleet.faults.refusingStarts.clear()
    await cluster.run(4_000)
    if (isReborn) cluster.fleet.restartUnderId(w1!.life)
    await cluster.run(frozenMs - 6_000)
    await thaw()
    await cluster.run(500)
    t.same(cluster.fleet.violations, [], `${frozenMs} ms, the endpoint ${isReborn ? 'is born anew meanwhile' : 'lives on'}`)
  }
})

t.test('a relay that stood still acknowledges no ends of an endpoint that has been born anew', async (t) => {
  const cluster = new TestCluster(53, { runMs: 100 }, [createEndpoint('w1', { address: '10.0.0.1:1' })])
  const paths = new RelayedPaths(cluster, ['cr-sj'])
  const [w1] = cluster.endpoints
  const thaw = freeze(paths.relays, cluster)
  const kept = paths.relays[0]!.server.handle({ endpoint: w1, call: { type: 'renew', order: { ...RENEWAL, ackedUpto: 50 } }, timeoutMs: 700 }).catch(() => {})
  await cluster.run(1_000)
  await kept
  cluster.fleet.restartUnderId(w1!.life)
  const successor = recordOf(cluster, w1!)
  const start = cluster.fleet.start(successor, { task: 'a1.0.0.0' as never, run: 1, payload: '', checkpoint: '', fencingToken: 1, leaseUntilMs: 6_000 }, 700)
  cluster.submit('a1', [createStep()])
  await cluster.run(1_000)
  await start
  await thaw()
  const report = cluster.fleet.renew(successor, RENEWAL, 700)
  await cluster.run(100)
  t.match(await report, { type: 'report', report: { ended: [{ number: 1 }] } }, 'the end is still listed')
})

t.test('runs keep their lease when one relay of the endpoint is cut off as well', async (t) => {
  for (const areFirstRelaysCut of [false, true]) {
    for (const cutAfterMs of [1_000, 1_300, 1_600, 1_900]) {
      const cluster = new TestCluster(54, { runMs: 20_000 })
      const paths = new RelayedPaths(cluster, DOMAINS)
      useTrueWaits(cluster)
      cluster.elect()
      await cluster.run(1_000)
      cluster.submit('a1', [createStep({ count: 4, maxPerEndpoint: 1 })])
      await cluster.run(cutAfterMs)
      cutAll(cluster, paths)
      if (areFirstRelaysCut) cutFirstRelays(cluster, paths)
      await cluster.run(30_000)
      t.equal([...cluster.fleet.startsByTask.values()].reduce((sum, starts) => sum + starts, 0), 4, `no task has run twice, ${areFirstRelaysCut ? 'one relay' : 'no relay'} cut after ${cutAfterMs} ms`)
    }
  }
})

t.test('an answer of a relay that is none is no answer', async (t) => {
  const answers: Array<[string, unknown]> = [
    ['a report without its content', { type: 'answered', result: { type: 'report' } }],
    ['an unknown type', { type: 'answered', result: { type: 'accepted' } }],
    ['an answer without a clock', { type: 'answered', result: { type: 'ok' } }]
  ]
  for (const [name, answer] of answers) {
    const timers = new ManualTimerService()
    const relays = new RelayDirectory()
    const endpoint = createEndpoint('w1')
    relays.record({ node: asId<NodeId>('e1'), domain: endpoint.domain, announceAddress: null }, 0)
    const fail = async (): Promise<never> => { throw new IbisError('unreachable', 'no answer') }
    const direct: EndpointPort = { start: fail, stop: fail, renew: fail, closeConnections: () => {} }
    const port = new RelayingEndpointPort({ direct, relays, callRelay: async () => answer, timers, logger: LOGGER, metrics: new Metrics({ node: 'n' }) })
    await port.renew(endpoint, RENEWAL, 700).catch(() => {})
    const call: Promise<unknown> = name.includes('clock') ? port.stop(endpoint, { task: 'a1.0.0.0' as never, run: 1, fencingToken: 1 }, 700) : port.renew(endpoint, RENEWAL, 700)
    t.match(await call.catch((err: unknown) => err), { kind: 'unreachable' }, name)
  }
})

t.test('the error code of a relay that refuses connections is not that of the endpoint', async (t) => {
  const timers = new ManualTimerService()
  const relays = new RelayDirectory()
  const endpoint = createEndpoint('w1')
  relays.record({ node: asId<NodeId>('e1'), domain: endpoint.domain, announceAddress: null }, 0)
  const fail = async (): Promise<never> => { throw new IbisError('unreachable', 'no answer') }
  const direct: EndpointPort = { start: fail, stop: fail, renew: fail, closeConnections: () => {} }
  const callRelay = async (): Promise<never> => { throw new IbisError('unreachable', 'connection refused', { info: { reason: 'connect', code: 'ECONNREFUSED' } }) }
  const port = new RelayingEndpointPort({ direct, relays, callRelay, timers, logger: LOGGER, metrics: new Metrics({ node: 'n' }) })
  await port.renew(endpoint, RENEWAL, 700).catch(() => {})
  const err = await port.renew(endpoint, RENEWAL, 700).catch((err: unknown) => err) as IbisError
  t.match(err.message, /relay e1/)
  t.equal(err.details?.code, undefined)
})

t.test('an offer that falls into one on its way to the earlier leader is sent afterwards', async (t) => {
  const timers = new ManualTimerService()
  const sent: number[] = []
  let settle = (): void => {}
  const offer = { node: asId<NodeId>('e1'), domain: asId('d1'), announceAddress: null } as RelayOffer
  const offerer = new RelayOfferer({
    offer,
    withdraw: async () => {},
    send: async () => {
      sent.push(timers.now())
      await new Promise<void>((resolve) => { settle = resolve })
    },
    timers,
    logger: LOGGER
  })
  offerer.start()
  offerer.offer()
  settle()
  for (let i = 0; i < 10; i++) await Promise.resolve()
  t.equal(sent.length, 2)
  offerer.stop()
})

t.test('the number of relays counts no offer that is void', async (t) => {
  const relays = new RelayDirectory()
  relays.record({ node: asId<NodeId>('e1'), domain: asId('d1'), announceAddress: null }, 0)
  t.same(relays.listFor(createEndpoint('w1'), 60_000), [])
  t.equal(relays.count(60_000), 0)
})

t.test('more endpoints than the limit of relayed calls keep their runs', async (t) => {
  const endpoints = Array.from({ length: 800 }, (_, i) => createEndpoint(`w${i}`, { address: `10.1.${i >> 8}.${i & 255}:1` }))
  const cluster = new TestCluster(58, { runMs: 15_000 }, endpoints)
  const paths = new RelayedPaths(cluster, Array.from({ length: 30 }, (_, i) => DOMAINS[i % 3]!))
  useTrueWaits(cluster)
  cluster.elect()
  await cluster.run(1_000)
  cluster.submit('a1', [createStep({ count: 800, maxPerEndpoint: 1 })])
  await cluster.run(1_500)
  t.equal(cluster.fleet.starts, 800)
  cutAll(cluster, paths)
  await cluster.run(12_000)
  t.equal(cluster.logLines.filter(({ message, fields }) => message === 'run ended' && fields.outcome !== 'done').length, 0, 'no run was lost')
})
