import type { CallerId, CustomerId, DomainId, EndpointId, JobId, KindOfWork, RackId, RequestKey } from '@ibisstair/common'
import { asId } from '@ibisstair/common'
import type { CustomerShare, DomainShare, EndpointInfo, JobMetadata, KindConfig, Shape, Urgency } from '@ibisstair/model'
import type { Decision, FinishResult, SchedulerEvent } from '../src/index.ts'
import { Scheduler } from '../src/index.ts'

export const DOMAIN = asId<DomainId>('d1')

export const endpoint = (name: string, fields: Partial<EndpointInfo> = {}): EndpointInfo => ({
  id: asId<EndpointId>(name),
  incarnation: 1,
  sequence: 1,
  address: '127.0.0.1',
  port: 1,
  domain: DOMAIN,
  rack: asId<RackId>('r1'),
  slots: 8,
  connections: 64,
  accelerators: 8,
  leaving: false,
  ...fields
})

export const shape = (tasks: number, acceleratorsPerTask: number, adjacency: Shape['adjacency'] = 'any', slotsPerTask = 1): Shape =>
  ({ tasks, acceleratorsPerTask, slotsPerTask, adjacency })

export interface JobFields extends Partial<Omit<JobMetadata, 'customer' | 'caller' | 'kind'>> {
  readonly customer?: string
  readonly caller?: string
  readonly kind?: string
}

export const metadata = (fields: JobFields = {}): JobMetadata => ({
  key: asId<RequestKey>('k'),
  urgency: 'normal',
  shape: shape(1, 1),
  deadlineMs: 3_600_000,
  expectedRunMs: 1000,
  idempotent: true,
  ...fields,
  customer: asId<CustomerId>(fields.customer ?? 'a'),
  caller: asId<CallerId>(fields.caller ?? 'caller'),
  kind: asId<KindOfWork>(fields.kind ?? 'kind')
})

export const customer = (name: string, fields: Partial<CustomerShare> = {}): CustomerShare =>
  ({ id: asId<CustomerId>(name), priority: 1, maxQueued: 100_000, guarantees: [], ...fields })

export const kind = (name: string, urgency: Urgency, expectedRunMs = 1000): KindConfig =>
  ({ kind: asId<KindOfWork>(name), urgency, idempotent: true, expectedRunMs, objective: { startWithinMs: 1000, target: 0.99 } })

export const share = (customers: readonly CustomerShare[], kinds: readonly KindConfig[] = []): DomainShare =>
  ({ version: 1, domain: DOMAIN, customers, kinds, drains: [] })

/** Drives a scheduler with a manual clock and records its decisions. */
export class Harness {
  nowMs = 0
  readonly decisions: Decision[] = []
  #serial = 0

  constructor (readonly scheduler = new Scheduler(), customers: readonly CustomerShare[] = [customer('a'), customer('b'), customer('c')], kinds: readonly KindConfig[] = []) {
    this.send({ type: 'config', share: share(customers, kinds) })
  }

  send (event: SchedulerEvent): Decision[] {
    const decisions = this.scheduler.handle(event, this.nowMs)
    this.decisions.push(...decisions)
    return decisions
  }

  advance (ms: number): Decision[] {
    this.nowMs += ms
    return this.send({ type: 'tick' })
  }

  up (...names: string[]): void {
    for (const name of names) this.send({ type: 'endpoint-up', endpoint: endpoint(name, { rack: asId<RackId>(name.split('-')[0]!) }) })
  }

  submit (fields: JobFields = {}, name = `j${this.#serial++}`): JobId {
    const jobId = asId<JobId>(name)
    this.send({ type: 'submit', jobId, job: metadata({ key: asId<RequestKey>(name), ...fields }) })
    return jobId
  }

  start (jobId: JobId): void {
    this.send({ type: 'started', jobId })
  }

  finish (jobId: JobId, result: FinishResult = 'ok', runMs = 1000): Decision[] {
    const place = this.lastPlace(jobId)
    const tasks = (place?.assignments ?? []).map(({ index, endpointId }) => ({ index, endpointId, ok: result === 'ok', runMs }))
    return this.send({ type: 'finished', jobId, result, tasks })
  }

  lastPlace (jobId: JobId): Extract<Decision, { type: 'place' }> | undefined {
    return this.decisions.findLast((d) => d.type === 'place' && d.jobId === jobId) as Extract<Decision, { type: 'place' }> | undefined
  }

  placedCount (jobIds: readonly JobId[]): number {
    return jobIds.filter((id) => ['starting', 'running'].includes(this.scheduler.explain(id).state)).length
  }

  find<T extends Decision['type']>(type: T, jobId?: JobId): Extract<Decision, { type: T }>[] {
    return this.decisions.filter((d): d is Extract<Decision, { type: T }> => d.type === type && (jobId === undefined || d.jobId === jobId))
  }
}
