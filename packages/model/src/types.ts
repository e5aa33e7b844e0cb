import type {
  CallerId, ChangeId, CustomerId, DomainId, EndpointId, ErrorBody, JobId, KindOfWork, RackId, RequestKey, TaskId
} from '@ibisstair/common'

/** Where the tasks of one gang must run: all on one worker, all in one rack, or anywhere in the domain. */
export type Adjacency = 'worker' | 'rack' | 'any'

/** Most urgent first. */
export type Urgency = 'urgent' | 'normal' | 'bulk'

/** The size of a gang: its number of tasks, what each task needs, and where they must run. */
export interface Shape {
  readonly tasks: number
  readonly acceleratorsPerTask: number
  readonly slotsPerTask: number
  readonly adjacency: Adjacency
}

export interface GuaranteedShape {
  readonly shape: Shape
  /** How many gangs of this shape the customer can run at the same time. */
  readonly count: number
  /** Pins the guarantee to one failure domain; otherwise it is split over all. */
  readonly domain?: DomainId
}

export interface ServiceObjective {
  /** A request meets the objective when it starts within this time of its arrival. */
  readonly startWithinMs: number
  /** Fraction of requests that must meet it, for example 0.99. */
  readonly target: number
}

export interface KindConfig {
  readonly kind: KindOfWork
  /** Also the highest urgency that a request of this kind may ask for. */
  readonly urgency: Urgency
  readonly idempotent: boolean
  readonly expectedRunMs: number
  readonly objective: ServiceObjective
}

export interface CustomerConfig {
  readonly id: CustomerId
  /** Weight in dominant-resource fairness for use above the guarantees; 1 is the usual value. */
  readonly priority: number
  readonly guarantees: readonly GuaranteedShape[]
  /** Maximum number of queued requests per urgency in one failure domain. */
  readonly maxQueued: number
}

export interface RackConfig {
  readonly id: RackId
  readonly workers: number
  readonly acceleratorsPerWorker: number
  readonly slotsPerWorker: number
}

export interface DomainConfig {
  readonly id: DomainId
  readonly region: string
  readonly racks: readonly RackConfig[]
}

export interface FleetConfig {
  readonly domains: readonly DomainConfig[]
}

export interface Config {
  readonly version: number
  readonly customers: readonly CustomerConfig[]
  readonly kinds: readonly KindConfig[]
  readonly fleet: FleetConfig
  /** Endpoints that an operator has taken out of service. */
  readonly drains: readonly EndpointId[]
}

/** The part of a configuration that the scheduler of one failure domain uses. */
export interface DomainShare {
  readonly version: number
  readonly domain: DomainId
  readonly customers: readonly CustomerShare[]
  readonly kinds: readonly KindConfig[]
  readonly drains: readonly EndpointId[]
}

export interface CustomerShare {
  readonly id: CustomerId
  readonly priority: number
  readonly maxQueued: number
  /** Guaranteed shapes of the customer inside this failure domain. */
  readonly guarantees: readonly GuaranteedShape[]
}

export interface JobRequest {
  readonly key: RequestKey
  readonly customer: CustomerId
  readonly caller: CallerId
  readonly kind: KindOfWork
  readonly urgency: Urgency
  readonly shape: Shape
  /** Time from arrival to the latest useful start. */
  readonly deadlineMs: number
  readonly expectedRunMs: number
  readonly idempotent: boolean
  readonly homeDomain?: DomainId
  /**
   * False: nothing was submitted under this key before, so a refusal can say "not run" even when the
   * job record cannot be read. True: the key was submitted before. Absent: not known.
   */
  readonly resend?: boolean
  readonly payload: unknown
}

/** The request fields that are sent with a reservation, so that a new leader can take over the job. */
export type JobMetadata = Omit<JobRequest, 'payload' | 'resend'>

export interface TaskAnswer {
  readonly index: number
  readonly body: unknown
}

export type JobOutcome =
  | { readonly state: 'done', readonly answers: readonly TaskAnswer[] }
  | { readonly state: 'failed', readonly error: ErrorBody }

export interface EndpointInfo {
  readonly id: EndpointId
  /** Increases with each restart of the endpoint. */
  readonly incarnation: number
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number
  readonly address: string
  readonly port: number
  readonly domain: DomainId
  readonly rack: RackId
  readonly slots: number
  readonly connections: number
  readonly accelerators: number
  readonly leaving: boolean
}

export interface EndpointUsage {
  readonly acceleratorsBusy: number
  /** Age of the measurement at the time it was sent. */
  readonly lagMs: number
}

export interface Announcement {
  readonly endpoint: EndpointInfo
  readonly usage?: EndpointUsage
}

export interface Assignment {
  readonly index: number
  readonly taskId: TaskId
  readonly endpointId: EndpointId
  readonly incarnation: number
}

export interface ConfigChange {
  readonly changeId: ChangeId
  readonly expectedVersion: number
  readonly delta: ConfigDeltaBody
}

/** One change of a configuration; `ConfigDelta` applies, inverts and merges lists of them. */
export type ConfigOperation =
  | { readonly op: 'put-customer', readonly customer: CustomerConfig }
  | { readonly op: 'remove-customer', readonly id: CustomerId }
  | { readonly op: 'put-kind', readonly kind: KindConfig }
  | { readonly op: 'remove-kind', readonly kind: KindOfWork }
  | { readonly op: 'put-domain', readonly domain: DomainConfig }
  | { readonly op: 'remove-domain', readonly id: DomainId }
  | { readonly op: 'drain', readonly endpointId: EndpointId }
  | { readonly op: 'undrain', readonly endpointId: EndpointId }

export type ConfigDeltaBody = readonly ConfigOperation[]

export type JobState = 'queued' | 'starting' | 'running' | 'done' | 'failed'

export interface JobStatus {
  readonly jobId: JobId
  readonly key: RequestKey
  readonly customer: CustomerId
  readonly state: JobState
  /** Milliseconds from arrival to the start of the gang, once it has started. */
  readonly startedAfterMs?: number
  readonly outcome?: JobOutcome
}
