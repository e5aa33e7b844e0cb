// Cost of one planning pass by the size of the fleet and of the queue.
import { asId, type CustomerId, type DomainId, type EndpointId, type JobId, type RackId } from '@ibisstair/common'
import { Planner } from '@ibisstair/dispatch'
import { SchedulingState, toEndpointLife, type StepSpec } from '@ibisstair/jobs'
import { RandomSource } from '@ibisstair/timers'

const SIZES: ReadonlyArray<{ readonly endpoints: number, readonly queued: number }> = [
  { endpoints: 32, queued: 30 }, { endpoints: 246, queued: 200 }, { endpoints: 1_700, queued: 500 }
]
const PASSES = 10
const RACK_SIZE = 12

const createState = (endpoints: number, queued: number): SchedulingState => {
  const random = new RandomSource(5)
  const state = new SchedulingState()
  for (let i = 0; i < endpoints; i++) {
    const id = asId<EndpointId>(`w${i}`)
    state.apply({
      type: 'register-endpoint',
      atMs: 0,
      endpoint: {
        life: toEndpointLife(id, 1), id, bornMs: 1, address: `10.0.${i >> 8}.${i & 255}:1`, domain: asId<DomainId>('z'), service: 's', rack: asId<RackId>(`r${Math.floor(i / RACK_SIZE)}`), labels: ['a'], capacity: { cpuMilli: 32_000, memMb: 131_072, accelerators: 8 }, draining: false
      }
    })
  }
  const jobs = endpoints + queued
  for (let i = 0; i < jobs; i++) {
    const accelerators = random.pick([1, 2, 4, 8])!
    const step: StepSpec = {
      count: random.int(1, 8), resources: { cpuMilli: 3_700, memMb: 11_000, accelerators }, estimateMs: 5_000, dependsOn: [], checkpointing: false, gang: i % 3 !== 2, tightlyCoupled: i % 2 === 0, requiredLabel: null, dataRack: null, maxPerEndpoint: null, longRunning: false
    }
    state.apply({
      type: 'accept',
      atMs: i,
      spec: { id: asId<JobId>(i.toString(16)), queue: 'q', service: 's', customer: asId<CustomerId>('c'), priority: i % 3, maxAttempts: 3, stretch: 3, targetLatencyMs: 1_000, payload: '', steps: [step], recurrence: null }
    })
  }
  return state
}

for (const { endpoints, queued } of SIZES) {
  const state = createState(endpoints, queued)
  const planner = new Planner()
  const fleet = { isUsable: () => true, getPenalty: () => 0 }
  const times: number[] = []
  for (let pass = 0; pass < PASSES; pass++) {
    const began = performance.now()
    const { starts } = planner.plan({ state, fleet, nowMs: 10_000 + pass, wallMs: 10_000 + pass })
    times.push(performance.now() - began)
    state.apply({ type: 'start', groups: starts, atMs: 10_000 + pass })
  }
  const waiting = [...state.jobs.listActive()].filter((job) => job.activeRuns === 0).length
  console.log(`${endpoints} endpoints, ${waiting} jobs waiting: first pass ${times[0]!.toFixed(1)} ms, later ones ${(times.slice(1).reduce((a, b) => a + b, 0) / (PASSES - 1)).toFixed(1)} ms`)
}
