import { asId, type RackId } from '@ibisstair/common'
import type { EndpointRecord, StepSpec } from '@ibisstair/jobs'
import type { RandomSource } from '@ibisstair/timers'
import t from 'tap'
import { createEndpoint, createStep } from '../../jobs/tests/support/samples.ts'
import { FleetStallObserver } from './support/fleet-stall-observer.ts'
import { TestCluster } from './support/test-cluster.ts'

/** Other seeds for a longer run by hand: IBIS_SEEDS=FIRST-LAST. */
const [FIRST_SEED, LAST_SEED] = (process.env.IBIS_SEEDS ?? '1-8').split('-').map(Number) as [number, number]
/** Faults to leave out by hand: IBIS_WITHOUT=NAME,NAME. */
const LEFT_OUT = (process.env.IBIS_WITHOUT ?? '').split(',')
const ROUNDS = 10
const RACKS = ['r1', 'r2', 'r3']
const ENDPOINTS_PER_RACK = 4
/** Small jobs that last through the whole run. */
const LASTING_JOBS = 4
/** Longest time between two faults, so that stalls show before the next one. */
const MAX_PAUSE_MS = 9_000
const SETTLE_MS = 45_000

const listEndpoints = (): EndpointRecord[] => RACKS.flatMap((rack, i) => Array.from({ length: ENDPOINTS_PER_RACK }, (_, k) =>
  createEndpoint(`w${i}${k}`, { address: `10.0.${i}.${k}:1`, rack: asId<RackId>(rack), labels: k % 2 === 0 ? ['a', rack] : ['a', 'b', rack] })))

const createRandomStep = (random: RandomSource): StepSpec => {
  const resources = { cpuMilli: 1_000, memMb: 1, accelerators: random.pick([1, 2, 4, 8])! }
  const count = random.int(1, 4)
  return createStep({
    count,
    resources,
    estimateMs: 2_000,
    ...random.pick<Partial<StepSpec>>([
      {},
      { count: 3 * count },
      { gang: true },
      { gang: true, maxPerEndpoint: 1 },
      { gang: true, tightlyCoupled: true },
      { tightlyCoupled: true },
      { dataRack: asId<RackId>(random.pick(RACKS)!) },
      { requiredLabel: 'b' },
      { maxPerEndpoint: 1 },
      { longRunning: true },
      { longRunning: true, maxPerEndpoint: 1 },
      { longRunning: true, dataRack: asId<RackId>(random.pick(RACKS)!) }
    ])!
  })
}

const FAULTS = ['crash', 'flap', 'restart', 'cut', 'cut and restart', 'hang', 'hang and restart', 'refuse', 'refuse starts', 'fail', 'leave', 'shrink', 'deadly', 'elect', 'elections', 'recover', 'quorum', 'slow commits', 'lost calls']

/** Begins a random fault. Faults end by themselves after a while, and may overlap. */
const injectFault = (cluster: TestCluster, observer: FleetStallObserver): string => {
  const { fleet, random, timers } = cluster
  const { faults } = fleet
  const endpoint = random.pick(fleet.listRecords())!
  const { life, id } = endpoint
  const after = (ms: number, act: () => void): void => {
    timers.subscribe(ms, () => {
      act()
      observer.recordFault()
    })
  }
  const during = <T>(set: Set<T>, value: T, ms: number): void => {
    set.add(value)
    after(ms, () => { set.delete(value) })
  }
  const restartIn = (set: Set<EndpointRecord['life']>): void => {
    const ms = random.int(500, 9_000)
    during(set, life, ms)
    after(random.int(0, ms - 100), () => {
      fleet.restartUnderId(life)
      const next = fleet.listRecords().find((record) => record.id === id)
      if (next && set.has(life)) {
        set.add(next.life)
        after(random.int(200, 9_000), () => { set.delete(next.life) })
      }
    })
  }
  const fault = random.pick(FAULTS.filter((name) => !LEFT_OUT.includes(name)))!
  observer.recordFault()
  switch (fault) {
    case 'crash': {
      fleet.crash(life)
      break
    }
    case 'flap': {
      for (let i = 0; i < 4; i++) {
        after(4_000 * i + random.int(0, 900), () => {
          const present = fleet.listRecords().find(({ address }) => address === endpoint.address)
          if (present) fleet.crash(present.life)
        })
      }
      break
    }
    case 'restart': {
      fleet.restartUnderId(life)
      break
    }
    case 'cut': {
      during(faults.unreachable, life, random.int(200, 12_000))
      break
    }
    case 'cut and restart': {
      restartIn(faults.unreachable)
      break
    }
    case 'hang': {
      during(faults.hanging, life, random.int(200, 25_000))
      break
    }
    case 'hang and restart': {
      restartIn(faults.hanging)
      break
    }
    case 'refuse': {
      during(faults.refusing, life, random.int(200, 25_000))
      break
    }
    case 'refuse starts': {
      during(faults.refusingStarts, life, random.int(200, 25_000))
      break
    }
    case 'fail': {
      for (const { life: other } of fleet.listRecords()) if (random.float() < 0.3) during(faults.failing, other, random.int(2_000, 20_000))
      break
    }
    case 'leave': {
      fleet.drain(life)
      after(random.int(100, 2_000), () => {
        if (random.float() < 0.7) cluster.leave(id, endpoint.bornMs)
        after(random.int(1, 5_000), () => fleet.crash(life))
      })
      break
    }
    case 'shrink': {
      // The fake endpoints hold a start against a capacity that has shrunk sooner than slow commits can tell the leader of it.
      if (cluster.areCommitsSlow) break
      for (const record of fleet.listRecords()) {
        if (random.float() > 0.3) continue
        cluster.setCapacity(record.id, { accelerators: 4 })
        after(random.int(4_000, 12_000), () => cluster.setCapacity(record.id, { accelerators: 8 }))
      }
      break
    }
    case 'deadly': {
      const task = random.pick(fleet.listViews().flatMap(({ tasks }) => tasks))
      if (task) during(faults.crashingTasks, task, random.int(3_000, 10_000))
      break
    }
    case 'elect': {
      cluster.elect()
      break
    }
    case 'elections': {
      for (let i = 1; i <= 4; i++) after(i * random.int(300, 2_500), () => cluster.elect())
      break
    }
    case 'recover': {
      cluster.recover()
      break
    }
    case 'quorum': {
      cluster.hasQuorum = false
      after(random.int(100, 4_000), () => { cluster.hasQuorum = true })
      break
    }
    case 'slow commits': {
      if (fleet.hasChangedCapacity) break
      cluster.slowCommitMs = random.int(2_000, 4_500)
      after(random.int(100, 4_000), () => { cluster.slowCommitMs = null })
      break
    }
    case 'lost calls': {
      faults.lostShare = 0.3
      after(random.int(500, 6_000), () => { faults.lostShare = 0 })
      break
    }
    default: throw new Error(`unknown fault ${fault}`)
  }
  return `${fault} of ${life} at ${timers.now()} ms`
}

t.test('overlapping faults stall no work for which there is room', async (t) => {
  t.setTimeout(0)
  t.comment(`seeds ${FIRST_SEED} to ${LAST_SEED}`)
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
    const cluster = new TestCluster(seed, { runMs: [300, 1_500, 4_000][seed % 3]!, crashAfterMs: [10, 400, 2_500][seed % 3]! }, listEndpoints())
    const observer = new FleetStallObserver(cluster)
    const faults: string[] = []
    cluster.elect()
    for (let i = 0; i < LASTING_JOBS; i++) cluster.submit(`b${i}`, [createStep({ count: cluster.random.int(1, 2), longRunning: true })], 1)
    for (let round = 0; round < ROUNDS; round++) {
      const { random } = cluster
      const steps = [createRandomStep(random), ...random.float() < 0.3 ? [createStep({ dependsOn: [0] })] : []].filter((_, i, all) => i === 0 || !all[0]!.longRunning)
      cluster.submit(`a${round}`, steps, random.int(0, 2))
      // Work that lasts would fill the fleet in the end.
      if (round >= 3) cluster.cancel(`a${round - 3}`)
      await cluster.run(random.int(10, 2_000))
      for (let i = random.int(1, 3); i > 0; i--) faults.push(injectFault(cluster, observer))
      await cluster.run(random.int(10, MAX_PAUSE_MS))
    }
    await cluster.run(SETTLE_MS)
    t.same(observer.describe(), [], `seed ${seed}: ${faults.join(', ')}`)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
  }
})
