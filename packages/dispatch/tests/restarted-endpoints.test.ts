import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

/** All tasks of a job that fills the fleet of `TestCluster`. */
const FLEET_TASKS = 32

t.test('a task that ended done in the new life of an endpoint is not started again', async (t) => {
  // The report of the new life was dropped together with the end; the run counted as lost with the earlier life.
  for (let delayMs = 0; delayMs < 450; delayMs += 10) {
    const cluster = new TestCluster(1, { runMs: 150 })
    cluster.elect()
    cluster.submit('a1', [createStep({ count: FLEET_TASKS })])
    await cluster.run(1_010)
    cluster.fleet.restartUnderId(cluster.endpoints[0]!.life)
    await cluster.run(delayMs)
    cluster.submit('a2', [createStep({ count: FLEET_TASKS })])
    await cluster.run(15_000)
    t.equal(cluster.statusOf('a1'), 'completed')
    t.equal(cluster.statusOf('a2'), 'completed')
    t.same(cluster.fleet.violations, [], `order ${delayMs} ms after the restart`)
  }
})

t.test('random restarts under the same id, lost calls and changes of leader start no task twice', async (t) => {
  // Without an answer to the stop of a run, the hand-over went on as if the run had ended.
  const violations: string[] = []
  for (let seed = 1; seed <= 80; seed++) {
    const runMs = [150, 600, 1_500, 3_000][seed % 4]!
    const cluster = new TestCluster(seed, { runMs, lostShare: [0, 0.1, 0.3][seed % 3]! })
    cluster.elect()
    for (let round = 0; round < 12; round++) {
      cluster.submit(`a${round}`, [createStep({ count: cluster.random.int(1, 16) })])
      await cluster.run(cluster.random.int(10, 1_200))
      if (cluster.random.float() < 0.5) cluster.fleet.restartUnderId(cluster.random.pick(cluster.fleet.listRecords())!.life)
      if (cluster.random.float() < 0.1) cluster.elect()
    }
    cluster.fleet.faults.lostShare = 0
    await cluster.run(60_000)
    violations.push(...cluster.fleet.violations.map((violation) => `seed ${seed}, tasks of ${runMs} ms: ${violation}`))
    for (let round = 0; round < 12; round++) t.match(cluster.statusOf(`a${round}`), /completed|failed/, `seed ${seed}, job ${round}`)
  }
  t.same(violations, [])
})

t.test('an acknowledgement for the earlier life of an endpoint does not reach an end of the new one', async (t) => {
  // Both lives number their ends from 1, and a renewal is addressed by the id, which they share.
  for (let delayMs = 0; delayMs < 200; delayMs += 5) {
    const cluster = new TestCluster(2, { runMs: 60 })
    cluster.commitMs = 20
    cluster.elect()
    for (let i = 0; i < 5; i++) cluster.submit(`a${i}`, [createStep({ count: FLEET_TASKS / 4 })])
    await cluster.run(100 + delayMs)
    cluster.fleet.restartUnderId(cluster.endpoints[0]!.life)
    for (let i = 5; i < 10; i++) cluster.submit(`a${i}`, [createStep({ count: FLEET_TASKS / 4 })])
    await cluster.run(15_000)
    for (let i = 0; i < 10; i++) t.equal(cluster.statusOf(`a${i}`), 'completed', `job ${i}`)
    t.same(cluster.fleet.violations, [], `restart after ${delayMs} ms`)
  }
})
