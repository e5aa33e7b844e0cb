import { asId, type CustomerId, type DomainId, type EndpointId, type JobId, type RackId } from '@ibisstair/common'
import { SchedulingState, toEndpointIncarnation, type StepSpec } from '@ibisstair/jobs'
import { RandomSource } from '@ibisstair/timers'

const RACK_SIZE = 12
const ENDPOINT = { cpuMilli: 32_000, memMb: 131_072, accelerators: 8 }

const createStep = (random: RandomSource, i: number): StepSpec => ({
  count: random.int(1, 8),
  resources: { cpuMilli: 3_700, memMb: 11_000, accelerators: random.pick([1, 2, 4, 8])! },
  estimateMs: 5_000,
  dependsOn: [],
  checkpointing: false,
  gang: i % 3 !== 2,
  tightlyCoupled: i % 2 === 0,
  requiredLabel: null,
  dataRack: null,
  maxPerEndpoint: null,
  longRunning: false
})

const registerEndpoint = (state: SchedulingState, i: number): void => {
  const id = asId<EndpointId>(`w${i}`)
  const endpoint = {
    life: toEndpointIncarnation(id, 1),
    id,
    bornMs: 1,
    address: `10.0.${i >> 8}.${i & 255}:1`,
    domain: asId<DomainId>('z'),
    service: 's',
    rack: asId<RackId>(`r${Math.floor(i / RACK_SIZE)}`),
    labels: ['a'],
    capacity: ENDPOINT,
    draining: false,
    sequence: 0
  }
  state.apply({ type: 'register-endpoint', atMs: 0, endpoint })
}

/** Returns the state of a fleet with more jobs, of all priorities, than it can run at a time. */
export const createLargeFleet = (endpoints: number, jobs: number): SchedulingState => {
  const random = new RandomSource(5)
  const state = new SchedulingState()
  for (let i = 0; i < endpoints; i++) registerEndpoint(state, i)
  for (let i = 0; i < jobs; i++) {
    const spec = {
      id: asId<JobId>(i.toString(16)), queue: 'q', service: 's', customer: asId<CustomerId>('c'), priority: i % 3, maxAttempts: 3, stretch: 3, targetLatencyMs: 1_000, payload: '', steps: [createStep(random, i)], recurrence: null
    }
    state.apply({ type: 'accept', atMs: i, spec })
  }
  return state
}
