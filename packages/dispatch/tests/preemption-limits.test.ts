import { asId, type CustomerId } from '@ibisstair/common'
import { mustParseTaskId, type StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { NO_SCHEDULING_POLICY, type SchedulingPolicy } from '../src/index.ts'
import { PlanningPass } from '../src/planning-pass.ts'
import { createFleetView } from './support/fleet-view.ts'
import { ACCELERATORS, Fleet } from './support/planned-fleet.ts'

const LIMITS = { ...NO_SCHEDULING_POLICY, limitPreemption: true }
const WHOLE_ENDPOINT = { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS }
const WHOLE_FLEET: Partial<StepSpec> = { count: 8, gang: true, resources: WHOLE_ENDPOINT, estimateMs: 2_500 }
const LABEL = 'special'
const guaranteed = asId<CustomerId>('guaranteed')

/** A fleet of eight endpoints, of which one has the label that the work needs. */
const createFleet = (policy = LIMITS): Fleet => {
  const fleet = new Fleet([4, 4], { endsRuns: true, policy })
  const customers = [{ name: guaranteed, keys: [], guaranteedAccelerators: 8 * ACCELERATORS }]
  fleet.state.apply({ type: 'configure', config: { version: 1, queues: [], services: [], customers, document: '' } })
  fleet.changeLabels(fleet.endpoints[0]!, [LABEL])
  return fleet
}

/** Lower work takes the endpoint; urgent gangs that need it arrive one after the other, each once the lower work runs again. */
const alternate = (fleet: Fleet, gangs: number, afterEach = (): void => {}): void => {
  fleet.submit('d1', { resources: WHOLE_ENDPOINT, requiredLabel: LABEL, estimateMs: 9_500 }, { priority: 1, stretch: 100 })
  fleet.run(500)
  for (let i = 0; i < gangs; i++) {
    fleet.submit(`u${i}`, { resources: WHOLE_ENDPOINT, requiredLabel: LABEL, gang: true, estimateMs: 1_500 }, { priority: 0, stretch: 20 })
    fleet.run(4_000)
    afterEach()
  }
}

const getMaxStops = ({ stops }: Fleet): number => Math.max(0, ...stops.values())

t.test('urgent gangs that arrive one after the other stop the same task a bounded number of times', async (t) => {
  const limited = createFleet()
  alternate(limited, 8)
  t.equal(getMaxStops(limited), 3)
  t.ok(limited.limited > 0, 'which is counted')
  t.equal(limited.state.jobs.get(asId('d1'))!.status, 'completed', 'after that it runs to its end')
  const unlimited = createFleet(NO_SCHEDULING_POLICY)
  alternate(unlimited, 8)
  t.equal(getMaxStops(unlimited), 8, 'without the rule each of them stops it')
})

t.test('a new leader continues to count the stops', async (t) => {
  const fleet = createFleet()
  alternate(fleet, 8, () => fleet.changeLeader())
  t.equal(getMaxStops(fleet), 3)
})

t.test('guaranteed work stops protected work, too', async (t) => {
  const fleet = createFleet()
  alternate(fleet, 3)
  t.equal(getMaxStops(fleet), 3, 'the task is protected')
  fleet.submit('g1', WHOLE_FLEET, { customer: guaranteed, priority: 0, stretch: 20 })
  fleet.run(1_000)
  t.equal(fleet.countRunning('g1'), 8, 'within the reclaim bound')
})

/** Returns the job of each victim of an urgent job, in the order in which they are taken. */
const listVictims = (fleet: Fleet, checkpointIntervalMs: number): string[] => {
  const input = { state: fleet.state, fleet: createFleetView(), nowMs: fleet.nowMs, wallMs: fleet.nowMs, mayPreempt: true }
  const { victims } = new PlanningPass(input, checkpointIntervalMs)
  return victims.listFor(fleet.state.jobs.get(asId('u1'))!).map(({ runs }) => mustParseTaskId(runs[0]!.task).job)
}

t.test('runs that save checkpoints lose at most the work of one interval', async (t) => {
  const fleet = createFleet()
  fleet.submit('c1', { resources: WHOLE_ENDPOINT, estimateMs: 60_000, checkpointing: true }, { priority: 2 })
  fleet.run(3_000)
  fleet.submit('d1', { resources: WHOLE_ENDPOINT, estimateMs: 60_000 }, { priority: 2 })
  fleet.run(2_500)
  fleet.submit('u1', WHOLE_FLEET, { priority: 0 })
  t.same(listVictims(fleet, 2_000), ['c1', 'd1'])
  t.same(listVictims(fleet, 5_000), ['d1', 'c1'])
})

t.test('deferrable work is not started in capacity that the next urgent gangs take back', async (t) => {
  // Racks were filled with deferrable work between two gangs, which each gang then stopped again.
  const countStops = (policy: SchedulingPolicy): number => {
    const fleet = createFleet(policy)
    for (let i = 0; i < 20; i++) {
      fleet.submit(`u${i}`, { count: 3, gang: true, tightlyCoupled: true, resources: WHOLE_ENDPOINT, estimateMs: 2_500 }, { priority: 0, stretch: 20 })
      fleet.submit(`d${i}`, { count: 8, estimateMs: 9_500 }, { priority: 2, stretch: 100 })
      fleet.run(2_000)
    }
    return [...fleet.stops.values()].reduce((sum, stops) => sum + stops, 0)
  }
  const limited = countStops(LIMITS)
  const unlimited = countStops(NO_SCHEDULING_POLICY)
  t.ok(limited < unlimited / 2, `${limited} stops in place of ${unlimited}`)
})
