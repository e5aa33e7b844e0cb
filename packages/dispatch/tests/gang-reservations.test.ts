import { asId, type JobId } from '@ibisstair/common'
import t from 'tap'
import { ACCELERATORS, Fleet } from './support/planned-fleet.ts'

const PASS_MS = 100
const WHOLE_ENDPOINT = { cpuMilli: 1_000, memMb: 100, accelerators: ACCELERATORS }

/** Eight endpoints, of which five are in use for 10 s, two of them for the share of deferrable work; a gang waits for six. */
const createFleetWithWaitingGang = (): Fleet => {
  const fleet = new Fleet([4, 4], { endsRuns: true })
  fleet.submit('b1', { count: 3, resources: WHOLE_ENDPOINT, estimateMs: 10_000 }, { priority: 1 })
  fleet.submit('b2', { count: 2, resources: WHOLE_ENDPOINT, estimateMs: 10_000 }, { priority: 2 })
  fleet.run(PASS_MS)
  fleet.submit('g1', { count: 6, gang: true, resources: WHOLE_ENDPOINT, estimateMs: 2_000 }, { priority: 1 })
  fleet.run(PASS_MS)
  return fleet
}

t.test('deferrable work that ends before a gang can start uses the capacity that is reserved for it', async (t) => {
  const fleet = createFleetWithWaitingGang()
  fleet.submit('d1', { count: 1, resources: WHOLE_ENDPOINT, estimateMs: 2_000 }, { priority: 2 })
  fleet.submit('d2', { count: 30, estimateMs: 500 }, { priority: 2 })
  fleet.run(3_000)
  t.ok(fleet.state.jobs.get(asId<JobId>('d1'))!.hasBegun)
  t.ok(fleet.state.jobs.get(asId<JobId>('d2'))!.hasBegun)
  fleet.run(8_000)
  t.equal(fleet.countRunning('g1'), 6, 'the gang starts as soon as the others have ended')
})

t.test('deferrable work that ends later than a gang can start, or not by itself, does not use the capacity reserved for it', async (t) => {
  for (const step of [{ estimateMs: 20_000 }, { estimateMs: 500, gang: true, count: 7 }]) {
    const fleet = createFleetWithWaitingGang()
    fleet.submit('d1', { resources: WHOLE_ENDPOINT, ...step }, { priority: 2 })
    fleet.run(8_000)
    t.equal(fleet.state.jobs.get(asId<JobId>('d1'))!.hasBegun, false, `estimate ${step.estimateMs}`)
  }
})
