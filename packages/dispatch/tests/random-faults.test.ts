import { asId, type RackId } from '@ibisstair/common'
import type { StepSpec } from '@ibisstair/jobs'
import type { RandomSource } from '@ibisstair/timers'
import t, { type Test } from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { NO_SCHEDULING_POLICY, type SchedulingPolicy } from '../src/index.ts'
import { TestCluster } from './support/test-cluster.ts'

const SEEDS = 40
const ROUNDS = 14
/** All work ends within this time after the last fault: it is a few times what the fleet can do. */
const SETTLE_MS = 90_000

/** Returns a step of one of the shapes whose placement differs; each fits the idle fleet. */
const createRandomStep = (random: RandomSource): StepSpec => {
  const resources = { cpuMilli: 1_000, memMb: 1, accelerators: random.pick([1, 2, 4])! }
  const count = random.int(1, 4)
  return random.pick([
    createStep({ count: 3 * count, resources }),
    createStep({ count, resources, gang: true }),
    createStep({ count, resources, gang: true, tightlyCoupled: true }),
    createStep({ count: 2 * count, resources, tightlyCoupled: true }),
    createStep({ count, resources, dataRack: asId<RackId>(random.pick(['r1', 'r2'])!) }),
    createStep({ count, resources, maxPerEndpoint: 1 }),
    createStep({ count: 20, tightlyCoupled: true })
  ])!
}

/** Faults that overlap: each goes on while later ones begin. */
const injectFault = (cluster: TestCluster): void => {
  const { fleet, random, timers } = cluster
  const endpoint = random.pick(fleet.listRecords())
  if (!endpoint) return
  switch (random.pick(['cut', 'restart', 'crash', 'leave', 'elect', 'recover', 'quorum', 'capacity'])) {
    case 'cut': {
      fleet.faults.unreachable.add(endpoint.life)
      timers.subscribe(random.int(200, 9_000), () => { fleet.faults.unreachable.delete(endpoint.life) })
      return
    }
    case 'restart': return fleet.restartUnderId(endpoint.life)
    case 'crash': return fleet.crash(endpoint.life)
    // The answer to the message is lost, so that the endpoint runs on for a while; another one takes its place.
    case 'leave': {
      const share = random.float()
      const cut = share < 0.5 ? fleet.faults.unreachable : share < 0.75 ? fleet.faults.refusingConnections : null
      cut?.add(endpoint.life)
      cluster.leave(endpoint.id, endpoint.bornMs).catch(() => {})
      timers.subscribe(random.int(500, 4_000), () => {
        fleet.crash(endpoint.life)
        cut?.delete(endpoint.life)
      })
      return
    }
    case 'elect': return cluster.elect()
    case 'recover': return cluster.recover()
    case 'quorum': {
      cluster.hasQuorum = false
      timers.subscribe(random.int(100, 2_500), () => { cluster.hasQuorum = true })
      return
    }
    case 'capacity': {
      cluster.setCapacity(endpoint.id, { accelerators: 5 })
      timers.subscribe(random.int(2_000, 8_000), () => cluster.setCapacity(endpoint.id, { accelerators: 8 }))
    }
  }
}

const playFaults = async (t: Test, seeds: number, policy: SchedulingPolicy): Promise<void> => {
  t.comment(`seeds 1 to ${seeds}`)
  for (let seed = 1; seed <= seeds; seed++) {
    const cluster = new TestCluster(seed, { runMs: [150, 900, 2_500][seed % 3]!, lostShare: [0, 0.1, 0.25][seed % 3]!, failingShare: seed % 2 === 0 ? 0.05 : 0 })
    cluster.policy = policy
    cluster.elect()
    for (let round = 0; round < ROUNDS; round++) {
      cluster.submit(`a${round}`, [createRandomStep(cluster.random), ...cluster.random.float() < 0.3 ? [createStep({ dependsOn: [0] })] : []], cluster.random.int(0, 2))
      await cluster.run(cluster.random.int(10, 1_500))
      injectFault(cluster)
    }
    cluster.fleet.faults.lostShare = 0
    await cluster.run(SETTLE_MS)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
    for (let round = 0; round < ROUNDS; round++) t.match(cluster.statusOf(`a${round}`), /completed|failed/, `seed ${seed}, job ${round}`)
  }
}

t.test('overlapping faults of endpoints and leaders start nothing twice, break no capacity and stall no work', async (t) => {
  await playFaults(t, SEEDS, NO_SCHEDULING_POLICY)
})

t.test('the same holds with fair shares and limits on stops', async (t) => {
  await playFaults(t, SEEDS, { ...NO_SCHEDULING_POLICY, fairShares: true, limitPreemption: true })
})
