import { asId, IbisError, type CustomerId } from '@ibisstair/common'
import t from 'tap'
import { createStep, orderDrain } from '../../jobs/tests/support/samples.ts'
import type { EndpointPort, OrderResult } from '../src/index.ts'
import { getDeferrableBudget } from '../src/deferrable-limits.ts'
import { Zones } from './support/zones.ts'

/** No task starts in a domain later than this after the acknowledgement of its drain. */
const EVACUATE_MS = 5_000
/** All tasks of a guaranteed job start within this time. */
const RECLAIM_MS = 2_900

t.test('nothing starts in a drained domain, whatever its runs, until it is restored', async (t) => {
  const cluster = new Zones(1, { runMs: 700 })
  cluster.submitWave('a1')
  await cluster.run(1_000)
  const before = cluster.countRunsIn('z1')
  t.ok(before > 0)
  orderDrain(cluster.state, 'z1', true)
  const drainedAtMs = cluster.timers.now()
  const stops = cluster.fleet.stops
  await cluster.run(6_000)
  t.ok(cluster.lastStartIn('z1') <= drainedAtMs + 1, 'no order follows the drain')
  t.equal(cluster.countRunsIn('z1'), 0)
  t.equal(cluster.fleet.stops, stops, 'runs that end by themselves are not stopped')
  t.ok(cluster.lastStartIn('z2') > drainedAtMs, 'the rest of the fleet goes on')
  t.equal(cluster.metrics.read().gauges['endpoints.out-of-use.domain-drained'], 2)
  cluster.submitWave('a2')
  orderDrain(cluster.state, 'z1', false)
  await cluster.run(2_000)
  t.ok(cluster.lastStartIn('z1') > drainedAtMs + 6_000, 'work returns')
})

t.test('no start follows a drain by 5 s while orders are carried out late and leaders replace each other', async (t) => {
  // Guards against late orders, deposed leaders and adopted runs: whatever path leads to the start (hard-load section 3).
  for (let seed = 1; seed <= 12; seed++) {
    const cluster = new Zones(seed, { runMs: 600, lostShare: 0.3 })
    cluster.submitWave('a1')
    await cluster.run(1_000 + 37 * seed)
    orderDrain(cluster.state, 'z1', true)
    const drainedAtMs = cluster.timers.now()
    if (seed % 2 === 0) cluster.elect()
    await cluster.run(300)
    if (seed % 3 === 0) cluster.recover()
    await cluster.run(20_000)
    t.ok(cluster.lastStartIn('z1') <= drainedAtMs + EVACUATE_MS, `seed ${seed}: last start after ${cluster.lastStartIn('z1') - drainedAtMs} ms`)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
  }
})

t.test('a leader that is elected right after the acknowledgement starts nothing in the domain', async (t) => {
  // Guards against a successor whose first pass knows nothing of the drain.
  const cluster = new Zones(3)
  await cluster.run(1_000)
  orderDrain(cluster.state, 'z1', true)
  cluster.recover()
  cluster.submitWave('a1')
  await cluster.run(5_000)
  t.equal(cluster.lastStartIn('z1'), -Infinity)
  t.ok(cluster.lastStartIn('z2') > 0)
})

t.test('a start that is committed and waits for a call to its endpoint is withheld when the domain is drained', async (t) => {
  // Guards against an order after the drain: a start is ordered only once each of its endpoints has answered.
  const cluster = new Zones(4)
  const { fleet } = cluster
  let isSlow = false
  const renew: EndpointPort['renew'] = async (endpoint, order, timeoutMs) => {
    if (isSlow && order.leaseUntilMs === null) await cluster.timers.delay(300)
    return await fleet.renew(endpoint, order, timeoutMs)
  }
  const ordered: string[] = []
  const start: EndpointPort['start'] = async (endpoint, order, timeoutMs): Promise<OrderResult> => {
    ordered.push(endpoint.domain)
    return await fleet.start(endpoint, order, timeoutMs)
  }
  cluster.port = { start, renew, stop: fleet.stop.bind(fleet), closeConnections: () => {} }
  cluster.elect()
  await cluster.run(1_000)
  isSlow = true
  // The start is committed by an earlier leader's pass, so that this leader has had no contact for a while.
  cluster.submit('g1', [createStep({ count: 6, gang: true, maxPerEndpoint: 1 })])
  const members = cluster.endpoints.map(({ life }, index) => ({ index, endpoint: life }))
  cluster.state.apply({ type: 'start', groups: [{ job: asId('g1'), occurrence: 0, step: 0, run: 1, members }], atMs: cluster.timers.now() })
  await cluster.run(50)
  orderDrain(cluster.state, 'z1', true)
  await cluster.run(3_000)
  t.same(ordered, [], 'no member of the gang is ordered')
  t.equal(cluster.state.jobs.get(asId('g1'))!.activeRuns, 0)
  t.ok(cluster.logLines.some(({ message, fields }) => message === 'start withheld' && fields.reason === 'domain-drained'))
})

t.test('an order that a partition held back for 5 s after the drain starts nothing', async (t) => {
  // Guards against the longest lease in the order of a start, by which it started up to 5.8 s after the drain.
  const cluster = new Zones(5)
  const { fleet } = cluster
  let held = 0
  const start: EndpointPort['start'] = async (endpoint, order, timeoutMs) => {
    if (endpoint.domain !== 'z1') return await fleet.start(endpoint, order, timeoutMs)
    held += 1
    fleet.faults.unreachable.add(endpoint.life)
    cluster.timers.subscribe(EVACUATE_MS + 100, () => {
      fleet.faults.unreachable.delete(endpoint.life)
      fleet.start(endpoint, order, timeoutMs).catch(() => {})
    })
    await cluster.timers.delay(timeoutMs)
    throw new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } })
  }
  cluster.port = { start, renew: fleet.renew.bind(fleet), stop: fleet.stop.bind(fleet), closeConnections: () => {} }
  cluster.elect()
  await cluster.run(1_000)
  cluster.submitWave('a1')
  await cluster.run(30)
  t.ok(held > 0)
  orderDrain(cluster.state, 'z1', true)
  await cluster.run(15_000)
  t.equal(cluster.lastStartIn('z1'), -Infinity)
  t.same(fleet.violations, [])
})

t.test('at the height of a wave a third of the fleet is drained, and guaranteed and urgent work starts on the rest in time', async (t) => {
  // Guards against claims and victims in a domain that is drained while guaranteed work waits for them.
  const customer = asId<CustomerId>('c1')
  for (let delayMs = 0; delayMs <= 1_400; delayMs += 200) {
    const cluster = new Zones(6, { runMs: 8_000 })
    cluster.state.apply({ type: 'configure', config: { version: 2, queues: [], services: ['s'], customers: [{ name: customer, keys: [], guaranteedAccelerators: 16 }], document: '' }, atMs: 0 })
    for (let i = 0; i < 12; i++) cluster.submit(`w${i}`, [createStep({ count: 8, gang: i % 2 === 0, estimateMs: 8_000 })], 1 + i % 2)
    await cluster.run(3_000)
    cluster.submit('g1', [createStep({ count: 2, gang: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: 8 } })], 0, { customer })
    await cluster.run(delayMs)
    orderDrain(cluster.state, 'z1', true)
    const drainedAtMs = cluster.timers.now()
    cluster.submit('u1', [createStep({ count: 5, estimateMs: 8_000 })], 0)
    await cluster.run(RECLAIM_MS - delayMs)
    const activeRuns = (id: string): number => cluster.state.jobs.get(asId(id))!.activeRuns
    t.equal(activeRuns('g1'), 2, `guaranteed, drained after ${delayMs} ms`)
    t.equal(activeRuns('u1'), 5, `urgent, drained after ${delayMs} ms`)
    t.ok(cluster.lastStartIn('z1') <= drainedAtMs + 1)
    t.same(cluster.fleet.violations, [])
  }
})

t.test('deferrable work keeps its share of the rest while its runs in a drained domain end', async (t) => {
  // Guards against a share from which the runs of a domain are taken whose capacity does not count.
  const cluster = new Zones(9, { runMs: 60_000 })
  cluster.submit('d1', [createStep({ count: 16 })], 2)
  await cluster.run(1_000)
  const zone = cluster.zoneWithMostRuns
  const runs = cluster.countRunsIn(zone)
  const getBudget = (): number => getDeferrableBudget(cluster.state, cluster.endpoints.filter(({ domain }) => domain !== zone).map((endpoint) => ({ endpoint, free: endpoint.capacity, penalty: 0 })))
  const before = getBudget()
  orderDrain(cluster.state, zone, true)
  t.equal(getBudget(), before + runs)
})

t.test('operators are told of drains, outdated orders and guarantees that no longer fit', async (t) => {
  const cluster = new Zones(7, { runMs: 2_000 })
  cluster.state.apply({ type: 'configure', config: { version: 2, queues: [], services: ['s'], customers: [{ name: asId('c1'), keys: [], guaranteedAccelerators: 40 }], document: '' }, atMs: 0 })
  cluster.submitWave('a1')
  await cluster.run(1_000)
  const runs = cluster.countRunsIn('z1')
  orderDrain(cluster.state, 'z1', true, undefined, cluster.timers.wallClock())
  await cluster.run(500)
  t.match(cluster.metrics.read().gauges, { 'domains.drained': 1, 'domains.drained-runs': runs, 'domains.guarantee-shortage': 8 })
  await cluster.run(3_000)
  t.match(cluster.metrics.read().gauges, { 'domains.drained-runs': 0 })
  t.ok(cluster.metrics.read().gauges['domains.drain-age-ms']! >= 3_000)
  t.equal(cluster.metrics.read().counters['domains.finished'], runs)
  orderDrain(cluster.state, 'z1', false)
  orderDrain(cluster.state, 'z1', true, 0)
  await cluster.run(500)
  t.match(cluster.metrics.read().gauges, { 'domains.drained': 0, 'domains.guarantee-shortage': 0, 'domains.drain-age-ms': 0 })
  const lines = cluster.logLines.map(({ message }) => message)
  for (const line of ['failure domain drained', 'failure domain restored', 'failure domain drain order outdated', 'guarantees of all customers exceed the fleet without its drained failure domains']) {
    t.equal(lines.filter((message) => message === line).length, 1, line)
  }
})

t.test('endpoints that are cold after a restoration are used after warm ones', async (t) => {
  const cluster = new Zones(8, { runMs: 60_000 })
  await cluster.run(1_000)
  for (const endpoint of cluster.listIn('z1')) cluster.coldLeftMs.set(endpoint.life, 60_000)
  await cluster.run(1_000)
  cluster.submit('a1', [createStep({ count: 32 })])
  await cluster.run(1_000)
  t.equal(cluster.countRunsIn('z1'), 0)
  cluster.submit('a2', [createStep({ count: 8 })])
  await cluster.run(1_000)
  t.equal(cluster.countRunsIn('z1'), 8, 'cold endpoints are better than none')
  cluster.coldLeftMs.clear()
  await cluster.run(1_000)
  cluster.submit('a3', [createStep({ count: 8 })])
  await cluster.run(1_000)
  t.equal(cluster.countRunsIn('z1'), 16)
})
