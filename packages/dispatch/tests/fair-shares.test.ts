import { asId, type CustomerId, type JobId } from '@ibisstair/common'
import t from 'tap'
import { NO_SCHEDULING_POLICY } from '../src/index.ts'
import { ACCELERATORS, Fleet } from './support/planned-fleet.ts'

const FAIR_SHARES = { ...NO_SCHEDULING_POLICY, fairShares: true }
const WHOLE_ENDPOINT = { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS }
const flooding = asId<CustomerId>('flooding')
const small = asId<CustomerId>('small')

const createFleet = (policy = FAIR_SHARES): Fleet => new Fleet([4, 4], { endsRuns: true, policy })

const submitFlood = (fleet: Fleet, jobs: number, priority = 1): void => {
  for (let i = 0; i < jobs; i++) fleet.submit(`f${i}`, { resources: WHOLE_ENDPOINT, estimateMs: 2_000 }, { customer: flooding, priority, stretch: 20 })
}

/** Returns how long the job of the small customer waits behind the flood. */
const measureWait = (fleet: Fleet): number => {
  submitFlood(fleet, 60)
  fleet.run(500)
  fleet.submit('a1', { resources: WHOLE_ENDPOINT }, { customer: small, stretch: 20 })
  const submittedAtMs = fleet.nowMs
  while (!fleet.state.jobs.get(asId<JobId>('a1'))!.hasBegun) fleet.run(100)
  return fleet.nowMs - submittedAtMs
}

t.test('a customer that floods the fleet does not delay the others by its backlog', async (t) => {
  const withShares = measureWait(createFleet())
  const without = measureWait(createFleet(NO_SCHEDULING_POLICY))
  t.ok(withShares <= 2_000, `waits for one run, not for the backlog: ${withShares} ms`)
  t.ok(without > 10_000, `by age alone it waits for the flood: ${without} ms`)
})

t.test('a flood that arrives in one pass shares an idle fleet with the work of others', async (t) => {
  // Shares of running work say nothing yet; without a look ahead the older flood would take the whole fleet.
  const fleet = createFleet()
  submitFlood(fleet, 60)
  for (let i = 0; i < 4; i++) fleet.submit(`a${i}`, { resources: WHOLE_ENDPOINT }, { customer: small, stretch: 20 })
  fleet.run(100)
  t.same([0, 1, 2, 3].map((i) => fleet.countRunning(`a${i}`)), [1, 1, 1, 1])
})

t.test('a new leader in a flood knows the shares from the replicated state', async (t) => {
  const fleet = createFleet()
  submitFlood(fleet, 60)
  fleet.run(500)
  fleet.changeLeader()
  fleet.submit('a1', { resources: WHOLE_ENDPOINT }, { customer: small, stretch: 20 })
  fleet.run(2_100)
  t.ok(fleet.state.jobs.get(asId<JobId>('a1'))!.hasBegun)
})

t.test('guaranteed work is not put behind the work of customers that use less', async (t) => {
  const fleet = createFleet()
  const customers = [{ name: flooding, keys: [], guaranteedAccelerators: 4 * ACCELERATORS }]
  fleet.state.apply({ type: 'configure', config: { version: 1, queues: [], services: [], customers, document: '' } })
  submitFlood(fleet, 8)
  fleet.run(500)
  fleet.submit('a1', { count: 4, gang: true, resources: WHOLE_ENDPOINT }, { customer: small, priority: 0, stretch: 20 })
  fleet.submit('g1', { count: 4, gang: true, resources: WHOLE_ENDPOINT }, { customer: flooding, priority: 0, stretch: 20 })
  fleet.run(1_000)
  t.equal(fleet.countRunning('g1'), 4)
})

t.test('deferrable work goes by age, so that turns among customers don\'t let all of its jobs end late', async (t) => {
  const fleet = createFleet()
  submitFlood(fleet, 12, 2)
  fleet.submit('a1', { resources: WHOLE_ENDPOINT }, { customer: small, priority: 2, stretch: 20 })
  while (!fleet.state.jobs.get(asId<JobId>('a1'))!.hasBegun) fleet.run(100)
  t.ok(fleet.state.jobs.get(asId<JobId>('f11'))!.hasBegun)
})

t.test('work that is too late goes by age, whatever its customer uses', async (t) => {
  const fleet = createFleet()
  submitFlood(fleet, 8)
  fleet.submit('old', { resources: WHOLE_ENDPOINT, estimateMs: 100 }, { customer: flooding, stretch: 1, targetLatencyMs: 100 })
  fleet.run(1_000)
  for (let i = 0; i < 16; i++) fleet.submit(`a${i}`, { resources: WHOLE_ENDPOINT, estimateMs: 100 }, { customer: small, stretch: 1, targetLatencyMs: 100 })
  fleet.run(1_500)
  t.ok(fleet.state.jobs.get(asId<JobId>('old'))!.hasBegun)
})

t.test('the largest gangs start although small jobs of other customers keep arriving', async (t) => {
  const fleet = createFleet()
  fleet.submit('b1', { count: 3, resources: WHOLE_ENDPOINT, estimateMs: 4_000 }, { customer: flooding, stretch: 20 })
  fleet.run(200)
  fleet.submit('large', { count: 8, gang: true, resources: WHOLE_ENDPOINT, estimateMs: 2_000 }, { customer: flooding })
  let i = 0
  while (!fleet.state.jobs.get(asId<JobId>('large'))!.hasBegun && fleet.nowMs < 60_000) {
    fleet.submit(`s${i++}`, { estimateMs: 3_000, resources: WHOLE_ENDPOINT }, { customer: asId<CustomerId>(`c${i % 5}`) })
    fleet.run(600)
  }
  t.ok(fleet.nowMs < 30_000, `starts after ${fleet.nowMs} ms`)
})
