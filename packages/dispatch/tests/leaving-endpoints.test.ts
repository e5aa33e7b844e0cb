import type { EndpointRecord } from '@ibisstair/jobs'
import { asId, type RackId } from '@ibisstair/common'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { LEASE_END_MARGIN_MS, MAX_CLOCK_DRIFT, SESSION_TICK_MS } from '../src/constants.ts'
import { LEASE_MAX_MS } from './support/fake-fleet.ts'
import { TestCluster } from './support/test-cluster.ts'

const RUN_MS = 12_000
const TASKS = 8

/** Starts as many tasks as fit on one endpoint, and returns the endpoint on which a part of them runs. */
const startTasks = async (seed: number, runMs = RUN_MS): Promise<{ cluster: TestCluster, endpoint: EndpointRecord }> => {
  const cluster = new TestCluster(seed, { runMs })
  cluster.elect()
  cluster.submit('a1', [createStep({ count: TASKS, dataRack: asId<RackId>('r1') })])
  await cluster.run(500)
  const endpoint = cluster.endpoints.find(({ life }) => cluster.state.jobs.listRuns(life).size > 0)!
  return { cluster, endpoint }
}

t.test('a run on an endpoint that has said it leaves is not started again while it may still be active', async (t) => {
  // The message was taken as proof that the endpoint had ended; one without an answer runs on for some seconds.
  for (const linger of [1_000, 2_500, 4_000, 8_000]) {
    for (const isReachable of [true, false]) {
      const { cluster, endpoint } = await startTasks(1)
      if (!isReachable) cluster.fleet.faults.unreachable.add(endpoint.life)
      cluster.leave(endpoint.id, endpoint.bornMs)
      await cluster.run(linger)
      cluster.fleet.end(endpoint.life)
      cluster.fleet.faults.unreachable.delete(endpoint.life)
      await cluster.run(40_000)
      t.same(cluster.fleet.violations, [], `${isReachable ? 'reachable' : 'cut off'} for ${linger} ms`)
      t.equal(cluster.statusOf('a1'), 'completed')
      t.notOk(cluster.state.endpoints.get(endpoint.life), 'the endpoint is removed')
    }
  }
})

t.test('a hand-over of the leadership while an endpoint leaves starts no run twice', async (t) => {
  for (let delayMs = 0; delayMs < 3_000; delayMs += 250) {
    const { cluster, endpoint } = await startTasks(2)
    cluster.fleet.faults.unreachable.add(endpoint.life)
    cluster.leave(endpoint.id, endpoint.bornMs)
    await cluster.run(delayMs)
    cluster.elect()
    await cluster.run(3_000)
    cluster.fleet.end(endpoint.life)
    await cluster.run(40_000)
    t.same(cluster.fleet.violations, [], `elected after ${delayMs} ms`)
    t.equal(cluster.statusOf('a1'), 'completed')
  }
})

t.test('a run on an endpoint that leaves behind a partition that refuses connections is not started again before its lease ends', async (t) => {
  // Guards against a refused connection that counts as proof that the endpoint has ended.
  for (const cutBeforeMs of [0, 300, 2_000]) {
    for (const lingerMs of [1_000, 5_000, 9_000]) {
      const { cluster, endpoint } = await startTasks(5)
      cluster.fleet.faults.refusingConnections.add(endpoint.life)
      await cluster.run(cutBeforeMs)
      cluster.leave(endpoint.id, endpoint.bornMs).catch(() => {})
      await cluster.run(lingerMs)
      cluster.fleet.end(endpoint.life)
      await cluster.run(40_000)
      t.same(cluster.fleet.violations, [], `cut off ${cutBeforeMs} ms before its message, runs on for ${lingerMs} ms`)
      t.equal(cluster.statusOf('a1'), 'completed')
      t.notOk(cluster.state.endpoints.get(endpoint.life), 'the endpoint is removed')
    }
  }
})

t.test('the runs of an endpoint that leaves and ends when it gets the answer start elsewhere within 1.5 s of its message', async (t) => {
  // Guards against an answer that lets the endpoint end before its runs are known to have ended: they would wait for their leases.
  const ANSWER_TIMEOUT_MS = 1_000
  for (let seed = 1; seed <= 10; seed++) {
    const { cluster, endpoint } = await startTasks(seed)
    let answeredAtMs = Infinity
    const leftAtMs = cluster.timers.now()
    cluster.leave(endpoint.id, endpoint.bornMs).then(() => {
      answeredAtMs = cluster.timers.now()
      cluster.fleet.end(endpoint.life)
    }).catch(() => {})
    await cluster.run(1_500)
    t.ok(answeredAtMs - leftAtMs < ANSWER_TIMEOUT_MS, `answered in time, seed ${seed}`)
    t.equal(cluster.state.jobs.listRuns(endpoint.life).size, 0)
    t.equal(cluster.fleet.starts, 2 * TASKS, 'all tasks run again')
    t.same(cluster.fleet.violations, [])
  }
})

t.test('the message of an endpoint that answers no call is answered within a second', async (t) => {
  for (const fault of ['unreachable', 'refusingConnections', 'hanging'] as const) {
    const { cluster, endpoint } = await startTasks(6)
    cluster.fleet.faults[fault].add(endpoint.life)
    let isAnswered = false
    cluster.leave(endpoint.id, endpoint.bornMs).then(() => { isAnswered = true }).catch(() => {})
    await cluster.run(999)
    t.ok(isAnswered, fault)
  }
})

t.test('the runs of an endpoint that ends without an answer to its message start elsewhere once their lease has ended', async (t) => {
  const { cluster, endpoint } = await startTasks(3)
  cluster.leave(endpoint.id, endpoint.bornMs).catch(() => {})
  cluster.fleet.end(endpoint.life)
  await cluster.run(LEASE_MAX_MS / (1 - MAX_CLOCK_DRIFT) + LEASE_END_MARGIN_MS + SESSION_TICK_MS + 100)
  t.equal(cluster.state.jobs.listRuns(endpoint.life).size, 0)
  t.equal(cluster.fleet.starts, 2 * TASKS, 'all tasks run again')
  t.same(cluster.fleet.violations, [])
})

t.test('an endpoint that leaves gets no order that was committed before', async (t) => {
  for (let delayMs = 0; delayMs < 30; delayMs++) {
    const cluster = new TestCluster(4)
    cluster.elect()
    await cluster.run(100)
    cluster.submit('a1', [createStep({ count: 32 })])
    await cluster.run(delayMs)
    const endpoint = cluster.endpoints[0]!
    cluster.leave(endpoint.id, endpoint.bornMs)
    await cluster.run(400)
    cluster.fleet.end(endpoint.life)
    await cluster.run(10_000)
    t.equal(cluster.statusOf('a1'), 'completed', `left after ${delayMs} ms`)
    t.same(cluster.fleet.violations, [])
  }
})
