// Measures the time of one planning pass by the number of endpoints and queued jobs, with learned run times.
//   node --import=tsx scripts/measure-planner.ts --rules off|on
import { parseArgs } from 'node:util'
import { asId, type CustomerId } from '@ibisstair/common'
import { LearnedHistory, NO_SCHEDULING_POLICY, Planner } from '@ibisstair/dispatch'
import type { SharedRunTimes } from '@ibisstair/estimation'
import { Metrics } from '@ibisstair/telemetry'
import { createFleetView } from '../packages/dispatch/tests/support/fleet-view.ts'
import { createLargeFleet } from '../packages/dispatch/tests/support/large-fleet.ts'

const SIZES: ReadonlyArray<{ readonly endpoints: number, readonly queued: number }> = [
  { endpoints: 32, queued: 30 }, { endpoints: 246, queued: 200 }, { endpoints: 1_700, queued: 500 }
]
const PASSES = 10
const NO_LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

/** Run times of the customer and queue of all jobs. */
const RUN_TIMES: readonly SharedRunTimes[] = [
  { work: { customer: asId<CustomerId>('c'), queue: 'q', accelerators: 0 }, isWhole: true, samples: 20, runTimes: [3_000, 4_000, 5_000], estimates: [5_000], weight: 0.5 }
]

const { values } = parseArgs({ options: { rules: { type: 'string', default: 'off' } } })
const policy = values.rules === 'on' ? { ...NO_SCHEDULING_POLICY, fairShares: true, limitPreemption: true } : NO_SCHEDULING_POLICY

for (const { endpoints, queued } of SIZES) {
  const state = createLargeFleet(endpoints, endpoints + queued)
  const planner = new Planner()
  const fleet = createFleetView()
  const history = new LearnedHistory({ state, logger: NO_LOGGER, metrics: new Metrics({ node: 'bench' }), getSpeed: () => 1, runTimes: RUN_TIMES })
  const times: number[] = []
  for (let pass = 0; pass < PASSES; pass++) {
    const began = performance.now()
    const { starts } = planner.plan({ state, fleet, nowMs: 10_000 + pass, wallMs: 10_000 + pass, mayPreempt: true, history, policy })
    times.push(performance.now() - began)
    state.apply({ type: 'start', groups: starts, atMs: 10_000 + pass })
  }
  const waiting = [...state.jobs.listActive()].filter((job) => job.activeRuns === 0).length
  console.log(`${endpoints} endpoints, ${waiting} jobs waiting: first pass ${times[0]!.toFixed(1)} ms, later ones ${(times.slice(1).reduce((a, b) => a + b, 0) / (PASSES - 1)).toFixed(1)} ms`)
}
