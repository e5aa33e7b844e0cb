import type { CustomerId, DomainId, EndpointId, JobId, RackId, TaskId } from '@ibisstair/common'
import type { Blame, TaskCrash } from '@ibisstair/crashes'
import type { DrainChange } from './domain-drains.ts'

/** One incarnation of an endpoint, `ID@START`: its id and its start time in Unix milliseconds. */
export type EndpointIncarnation = string & { readonly _brand: 'EndpointIncarnation' }

export interface Resources {
  /** Thousandths of a processor core. */
  readonly cpuMilli: number
  readonly memMb: number
  readonly accelerators: number
}

export interface StepSpec {
  /** Number of tasks. */
  readonly count: number
  /** Resources that each task occupies. */
  readonly resources: Resources
  /** Run time of one task as estimated by the submitter; often wrong by half. */
  readonly estimateMs: number
  /** Indexes of earlier steps whose tasks must all be done first. */
  readonly dependsOn: readonly number[]
  readonly checkpointing: boolean
  /** The tasks make progress only while all of them run. */
  readonly gang: boolean
  /** The tasks are slower by a factor when they are spread over racks. */
  readonly tightlyCoupled: boolean
  readonly requiredLabel: string | null
  /** Rack that holds the data; tasks are slower by a factor on other racks. */
  readonly dataRack: RackId | null
  /** Largest number of tasks of the step that one endpoint runs in one occurrence. */
  readonly maxPerEndpoint: number | null
  /** The tasks run until the job is cancelled and are restarted however they end. */
  readonly longRunning: boolean
}

/** The steps run several times, each time due a fixed interval after the one before. */
export interface Recurrence {
  readonly occurrences: number
  /** Unix milliseconds at which occurrence 0 is due. */
  readonly startAtMs: number
  readonly intervalMs: number
}

/** How callers reach a queue; no two queues of a configuration share it. */
export interface QueueRoute {
  readonly host: string
  /** The queue with the longest matching prefix of the path is selected. */
  readonly pathPrefix: string
}

/** What a queue decides about its jobs. A configuration may change it while they wait or run. */
export interface QueuePolicy {
  /** Name of the queue. */
  readonly queue: string
  /** Absent in jobs that earlier builds accepted, until a configuration has their queue; it is found by its name. */
  readonly route?: QueueRoute
  /** Names the endpoints that run the tasks. */
  readonly service: string
  /** 0 is the most urgent and may preempt the others. */
  readonly priority: number
  /** Number of failed runs of one task, or of one gang, after which the job fails. */
  readonly maxAttempts: number
  /** Accepted ratio of the completion time to the run time of the longest chain of dependent steps. */
  readonly stretch: number
  readonly targetLatencyMs: number
}

/** A job as it was accepted; the policy of its queue is that of the moment. */
export interface JobSpec extends QueuePolicy {
  readonly id: JobId
  /** Null for a public queue. */
  readonly customer: CustomerId | null
  /** Passed to every task unchanged. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly recurrence: Recurrence | null
}

export type JobState = 'active' | 'completed' | 'failed' | 'cancelled'

/** Job status as callers see it. */
export type JobStatus = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** How a run ended. The scheduler concludes `not-started` and `lost`; the endpoint reports the others. */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'not-started' | 'lost'

export interface RunEnd {
  readonly task: TaskId
  readonly run: number
  readonly outcome: RunOutcome
  /** State from which a later run resumes; empty when there is none. */
  readonly checkpoint: string
}

/** A run that was ordered and is not known to have ended. It occupies resources of its endpoint. */
export interface ActiveRun {
  readonly task: TaskId
  readonly run: number
  readonly endpoint: EndpointIncarnation
  readonly startedAtMs: number
}

/** Tasks of one step that start together under one run number. The group is started completely or not at all. */
export interface StartGroup {
  readonly job: JobId
  readonly occurrence: number
  readonly step: number
  readonly run: number
  readonly members: ReadonlyArray<{ readonly index: number, readonly endpoint: EndpointIncarnation }>
}

export interface EndpointRecord {
  readonly life: EndpointIncarnation
  readonly id: EndpointId
  /** Start time in Unix milliseconds; orders the incarnations at one address. */
  readonly bornMs: number
  /** `IP:PORT` */
  readonly address: string
  readonly domain: DomainId
  readonly service: string
  readonly rack: RackId
  readonly labels: readonly string[]
  readonly capacity: Resources
  /** The endpoint has announced that it will leave and gets no new work. */
  readonly draining: boolean
  /** Number of the announcement, which rises within an incarnation; announcements may arrive late. */
  readonly sequence: number
}

export interface QueueConfig extends QueueRoute {
  readonly name: string
  readonly service: string
  readonly priority: number
  readonly maxAttempts: number
  readonly stretch: number
  readonly targetLatencyMs: number
  readonly timeoutMs: number
  /** Requests need no API key. */
  readonly isPublic: boolean
}

export interface CustomerConfig {
  readonly name: CustomerId
  readonly keys: readonly string[]
  /** Accelerators that are guaranteed to the customer's jobs of priority 0 at all times. */
  readonly guaranteedAccelerators: number
}

/** One version of the configuration by operators. The highest version is in force. */
export interface ServiceConfig {
  readonly version: number
  readonly queues: readonly QueueConfig[]
  readonly services: readonly string[]
  readonly customers: readonly CustomerConfig[]
  /** The text as the operator sent it, which a read returns unchanged. */
  readonly document: string
}

/** What a leader knows about an endpoint that does not answer. */
export interface Silence {
  readonly life: EndpointIncarnation
  /** Unix milliseconds of the first call without an answer; null if the leader has had no contact during its term. */
  readonly sinceMs: number | null
  /** Other endpoints that fell silent at about the same time. */
  readonly together: readonly EndpointIncarnation[]
}

/** Why an incarnation has ended: it has left in an orderly way, or another one has taken its id or address. */
export type IncarnationEnd = 'left' | 'replaced'

/** A run that went with its endpoint, and the part that it may have had in the crash; null if the endpoint did not crash. */
export interface LostRun {
  readonly task: TaskId
  readonly run: number
  /** Time from the start of the run until its endpoint fell silent; null when that is not known. */
  readonly ranMs: number | null
  readonly blame: Blame | null
}

/** A job that is not run any more, because endpoints crash under one of its tasks. */
export interface GivenUpJob {
  readonly job: JobId
  readonly task: TaskId
  readonly crashes: readonly TaskCrash[]
}

/** An incarnation that is gone for good, the runs that went with it, and the jobs that are given up for it. */
export interface EndedIncarnation {
  readonly endpoint: EndpointRecord
  readonly hasCrashed: boolean
  readonly lostRuns: readonly LostRun[]
  readonly givenUp: readonly GivenUpJob[]
}

export type StateCommand =
  /** Without `atMs`, as in commands of earlier builds, accepted jobs keep the number of attempts that they had. */
  | { readonly type: 'configure', readonly config: ServiceConfig, readonly atMs?: number }
  /** `configVersion` is the version from which the policy was taken; absent in commands of earlier builds. */
  | { readonly type: 'accept', readonly spec: JobSpec, readonly atMs: number, readonly configVersion?: number }
  | { readonly type: 'cancel', readonly job: JobId, readonly atMs: number }
  | { readonly type: 'start', readonly groups: readonly StartGroup[], readonly atMs: number }
  | { readonly type: 'end', readonly endpoint: EndpointIncarnation, readonly ends: readonly RunEnd[], readonly atMs: number, readonly silence?: Silence }
  /** `silences` are of the incarnations that the announced one replaces. */
  | { readonly type: 'register-endpoint', readonly endpoint: EndpointRecord, readonly atMs: number, readonly silences?: readonly Silence[] }
  /**
   * `hasEnded` is set when the incarnation has left or was replaced; one that was only silent may announce itself again.
   * Commands of earlier builds do not tell which of the two.
   */
  | { readonly type: 'remove-endpoint', readonly life: EndpointIncarnation, readonly atMs: number, readonly hasEnded?: boolean, readonly cause?: IncarnationEnd, readonly silence?: Silence }
  /** No work starts in the failure domain from now on. Written only for an order of an operator: earlier builds do not know it. */
  | { readonly type: 'drain-domain', readonly domain: DomainId, readonly expectedRevision: number, readonly atMs: number }
  | { readonly type: 'restore-domain', readonly domain: DomainId, readonly expectedRevision: number, readonly atMs: number }
  /** Changes nothing; a read that waits for it sees all earlier commands. */
  | { readonly type: 'barrier' }

/** What a configuration changed about jobs that were accepted before. */
export interface ConfigEffect {
  /** Jobs whose queue sends them to another service now. */
  readonly movedJobs: number
  /** Jobs with a task that has failed as often as the new configuration allows. */
  readonly failedJobs: readonly JobId[]
}

/** Limit on the stored jobs, or on their tasks, that refuses a job. */
export type JobLimit = 'too-many-jobs' | 'too-many-tasks'

export type StateResult =
  | { readonly type: 'configured', readonly version: number, readonly isChanged: boolean, readonly effect: ConfigEffect }
  | { readonly type: 'accepted', readonly isNew: boolean, readonly status: JobStatus }
  | { readonly type: 'refused', readonly reason: JobLimit }
  | { readonly type: 'cancelled', readonly status: JobStatus | null }
  | { readonly type: 'started', readonly groups: readonly StartGroup[] }
  | { readonly type: 'ended' }
  | { readonly type: 'registered', readonly isChanged: boolean, readonly replaced: readonly EndedIncarnation[] }
  | { readonly type: 'removed', readonly ended: EndedIncarnation | null }
  | DrainChange & { readonly type: 'domain-drain' }
  | { readonly type: 'passed' }
