import { asId, type CustomerId, type DomainId, type EndpointId, type JobId, type RackId } from '@ibisstair/common'
import { toEndpointIncarnation, toTaskId, type EndpointRecord, type JobSpec, type RunEnd, type RunOutcome, type SchedulingState, type StateCommand, type StateResult, type StepSpec } from '../../src/index.ts'

export const createStep = (overrides: Partial<StepSpec> = {}): StepSpec => ({
  count: 1,
  resources: { cpuMilli: 1_000, memMb: 100, accelerators: 1 },
  estimateMs: 1_000,
  dependsOn: [],
  checkpointing: false,
  gang: false,
  tightlyCoupled: false,
  requiredLabel: null,
  dataRack: null,
  maxPerEndpoint: null,
  longRunning: false,
  ...overrides
})

export const createSpec = (id: string, steps: readonly StepSpec[], overrides: Partial<JobSpec> = {}): JobSpec => ({
  id: asId<JobId>(id),
  queue: 'q',
  service: 's',
  customer: asId<CustomerId>('clinics'),
  priority: 1,
  maxAttempts: 2,
  stretch: 2,
  targetLatencyMs: 1_000,
  payload: 'p',
  steps,
  recurrence: null,
  ...overrides
})

export const createEndpoint = (id: string, overrides: Partial<EndpointRecord> = {}): EndpointRecord => {
  const bornMs = overrides.bornMs ?? 1
  return {
    life: toEndpointIncarnation(asId<EndpointId>(id), bornMs),
    id: asId<EndpointId>(id),
    bornMs,
    address: `10.0.0.${id.length}:${8000 + [...id].reduce((sum, char) => sum + char.charCodeAt(0), 0)}`,
    domain: asId<DomainId>('cr-sj'),
    service: 's',
    rack: asId<RackId>('r1'),
    labels: ['a', 'r1'],
    capacity: { cpuMilli: 32_000, memMb: 131_072, accelerators: 8 },
    draining: false,
    sequence: 0,
    ...overrides
  }
}

export const accept = (spec: JobSpec, atMs = 0): StateCommand => ({ type: 'accept', spec, atMs })

export const register = (endpoint: EndpointRecord, atMs = 0): StateCommand => ({ type: 'register-endpoint', endpoint, atMs })

/** Drains a failure domain, or restores it; an order without a revision names the present one. */
export const orderDrain = (state: SchedulingState, domain: string, isDrained: boolean, revision?: number, atMs = 0): StateResult => {
  const id = asId<DomainId>(domain)
  return state.apply({ type: isDrained ? 'drain-domain' : 'restore-domain', domain: id, expectedRevision: revision ?? state.domainDrains.getRevision(id), atMs })
}

export const start = (job: string, step: number, run: number, endpoints: readonly EndpointRecord[], atMs = 0): StateCommand => ({
  type: 'start',
  groups: [{ job: asId<JobId>(job), occurrence: 0, step, run, members: endpoints.map(({ life: incarnation }, index) => ({ index, endpoint: incarnation })) }],
  atMs
})

export const toEnd = (job: string, step: number, index: number, run: number, outcome: RunOutcome, checkpoint = ''): RunEnd =>
  ({ task: toTaskId({ job: asId<JobId>(job), occurrence: 0, step, index }), run, outcome, checkpoint })

export const end = (endpoint: EndpointRecord, ends: readonly RunEnd[], atMs = 0): StateCommand => ({ type: 'end', endpoint: endpoint.life, ends, atMs })
