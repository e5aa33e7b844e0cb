import { asId, type JobId, type RackId } from '@ibisstair/common'
import t from 'tap'
import { ACCELERATORS, Fleet } from './support/planned-fleet.ts'

const MAX_STALL_MS = 3_000
const PASS_MS = 100

/** Leaves nothing free on its endpoint, whatever is measured. */
const FULL_ENDPOINT = { cpuMilli: 32_000, memMb: 131_072, accelerators: ACCELERATORS }

t.test('a gang is not starved by deferrable jobs on a fleet whose accelerators are full and whose cores are not', async (t) => {
  // Cores alone make the service `partly` idle, so that each waiting deferrable job counts as stalled: it went before the
  // capacity that is reserved for the gang.
  const fleet = new Fleet([4, 4], { endsRuns: true })
  let id = 0
  const submitDeferrable = (): void => fleet.submit(`d${id++}`, { count: 1, estimateMs: 2_000 + 100 * (id % 10) }, { priority: 2 })
  for (let i = 0; i < 200; i++) submitDeferrable()
  fleet.run(4_000)
  fleet.submit('g1', { count: 24, gang: true }, { priority: 1 })
  for (let i = 0; i < 200; i++) {
    for (let j = 0; j < 4; j++) submitDeferrable()
    fleet.run(PASS_MS)
  }
  const hasBegun = fleet.state.jobs.get(asId<JobId>('g1'))!.hasBegun
  t.ok(hasBegun, 'the gang has begun within 20 s')
})

t.test('tightly coupled tasks start across racks on a fleet that is idle in cores and has room for most of them', async (t) => {
  // The service is `partly` idle, and the room for all tasks twice over is asked for though they may start one by one:
  // there is room for a task many times over.
  for (const priority of [1, 2]) {
    const fleet = new Fleet([4, 4, 4, 4])
    fleet.submit('b1', { count: 16, maxPerEndpoint: 1, longRunning: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: 6 } }, { priority: 1 })
    fleet.run(PASS_MS)
    fleet.submit('a1', { count: 20, tightlyCoupled: true }, { priority })
    fleet.run(10_000)
    t.ok(fleet.countRunning('a1') > 0, `priority ${priority}`)
  }
})

for (const isLingering of [false, true]) {
  t.test(`a step starts while a run of a task that is done has ${isLingering ? 'not ' : ''}ended in the state`, async (t) => {
  // All members of a gang are done with the first report; the run of a member on an endpoint that is silent stays active
  // until its lease has ended, and counts as work of the occurrence.
    const fleet = new Fleet([2, 4, 4])
    fleet.submit('b1', { count: 2, maxPerEndpoint: 1, longRunning: true, dataRack: asId<RackId>('r0'), resources: FULL_ENDPOINT }, { priority: 1 })
    fleet.run(PASS_MS)
    fleet.submitSteps('a1', [{ count: 2, gang: true, maxPerEndpoint: 1 }, { count: 1, dataRack: asId<RackId>('r0'), dependsOn: [0] }], { priority: 1 })
    fleet.run(PASS_MS)
    t.equal(fleet.countRunning('a1'), 2)
    const endpoint = fleet.findEndpointOf('a1')!
    const ends = [...fleet.state.jobs.listRuns(endpoint.life).values()].map(({ task, run }) => ({ task, run, outcome: 'done' as const, checkpoint: '' }))
    fleet.state.apply({ type: 'end', endpoint: endpoint.life, ends, atMs: fleet.nowMs })
    if (!isLingering) {
      const other = fleet.findEndpointOf('a1')!
      const rest = [...fleet.state.jobs.listRuns(other.life).values()].map(({ task, run }) => ({ task, run, outcome: 'done' as const, checkpoint: '' }))
      fleet.state.apply({ type: 'end', endpoint: other.life, ends: rest, atMs: fleet.nowMs })
    }
    fleet.run(MAX_STALL_MS)
    const [, second] = fleet.state.jobs.get(asId<JobId>('a1'))!.getOccurrence(0).steps
    t.equal(second!.activeTasks, 1)
  })
}

t.test('a gang with a limit for each endpoint starts far from its data on a fleet that is idle in cores', async (t) => {
  // There is room for two copies of it, each with its own limit; both were held to the limit of one.
  const fleet = new Fleet([4, 3, 3])
  fleet.submit('b0', { count: 4, longRunning: true, dataRack: asId<RackId>('r0'), resources: { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS } }, { priority: 1 })
  fleet.run(PASS_MS)
  fleet.submit('b1', { count: 6, maxPerEndpoint: 1, longRunning: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: 5 } }, { priority: 1 })
  fleet.run(PASS_MS)
  fleet.submit('a1', { count: 4, gang: true, maxPerEndpoint: 1, dataRack: asId<RackId>('r0') }, { priority: 1 })
  fleet.run(10_000)
  t.equal(fleet.countRunning('b0') + fleet.countRunning('b1'), 10)
  t.equal(fleet.countRunning('a1'), 4)
})

t.test('a gang waits for its data rack on a fleet in use that has room for it only once', async (t) => {
  // Far from its data it would take most of the free accelerators for a multiple of the time.
  const fleet = new Fleet([4, 4, 4, 4])
  fleet.submit('b1', { count: 16, maxPerEndpoint: 1, longRunning: true, resources: { cpuMilli: 1_000, memMb: 100, accelerators: 6 } }, { priority: 1 })
  fleet.run(PASS_MS)
  fleet.submit('a1', { count: 20, gang: true, dataRack: asId<RackId>('r0') }, { priority: 1 })
  fleet.run(2 * MAX_STALL_MS)
  t.equal(fleet.countRunning('a1'), 0)
})
