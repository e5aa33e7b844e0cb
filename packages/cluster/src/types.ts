import type { NodeId } from '@ibisstair/common'
import type { EndpointRecord, JobStatus, Recurrence, ServiceConfig, StepSpec } from '@ibisstair/jobs'

/** What a control process says of the cluster. */
export interface ClusterView {
  /** The leader as this process sees it; itself only while it has a quorum. */
  readonly leader: NodeId | null
  readonly term: number
  /** Control processes that belong to the group. */
  readonly members: readonly NodeId[]
}

/** Which queue a call addresses, and with which key. */
export interface QueueAddress {
  readonly host: string
  readonly path: string
  readonly credential: string | null
}

export interface JobSubmission {
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly recurrence: Recurrence | null
}

export interface SubmitParams extends QueueAddress {
  readonly submission: JobSubmission
}

export interface AnnounceParams {
  readonly endpoint: EndpointRecord
  readonly clockMs: number
}

export interface LeaveParams {
  readonly endpointId: string
}

export interface ConfigureParams {
  readonly config: ServiceConfig
}

export interface JobAnswer {
  readonly status: JobStatus
}

export interface PendingAnswer {
  readonly pending: number
}

export interface ConfigAnswer {
  readonly document: string
  readonly version: number
}

/** Calls that only the leader answers. */
export type LeaderMethod =
  | 'job.submit' | 'job.status' | 'job.cancel' | 'queue.pending'
  | 'config.put' | 'config.get'
  | 'endpoint.announce' | 'endpoint.leave'
