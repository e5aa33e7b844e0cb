import type { DomainId, NodeId } from '@ibisstair/common'
import type { LeaveNotice } from '@ibisstair/dispatch'
import type { EndpointRecord, JobStatus, Recurrence, ServiceConfig, StepSpec } from '@ibisstair/jobs'

/** The cluster as one control process sees it. */
export interface ClusterView {
  /** Null if no leader is known. A process names itself only while it leads with a quorum. */
  readonly leader: NodeId | null
  readonly term: number
  /** Control processes that are members of the consensus group. */
  readonly members: readonly NodeId[]
}

/** Identifies the queue, or a job of it, that a call addresses, and carries the caller's credential. */
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
  /** How much longer the endpoint stays slow after its start; absent in calls of earlier builds. */
  readonly coldLeftMs?: number
}

/** Earlier builds send neither service nor address. */
export type LeaveParams = Pick<LeaveNotice, 'endpointId'> & Partial<LeaveNotice>

export interface AnnounceAnswer {
  /** IP:PORT at which the endpoint's next announcements are preferred; null for any control process. */
  readonly announceTo: string | null
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

export interface DomainOrderParams {
  readonly domain: DomainId
  /** Revision of the failure domain that the process at which the order arrived had applied. */
  readonly expectedRevision: number
  /** Whether the settings of that process name the failure domain. */
  readonly isConfigured?: boolean
}

export interface DomainAnswer {
  readonly domain: DomainId
  readonly isDrained: boolean
  readonly revision: number
}

export interface DomainStatus extends DomainAnswer {
  /** Unix milliseconds of the last drain or restoration; null if there was none. */
  readonly sinceMs: number | null
  /** Registered endpoints. */
  readonly endpoints: number
  readonly runs: number
}

export interface DomainListAnswer {
  readonly domains: readonly DomainStatus[]
}

/** Calls that only the leader handles. */
export type LeaderMethod =
  | 'job.submit' | 'job.status' | 'job.cancel' | 'queue.pending'
  | 'config.put' | 'config.get'
  | 'endpoint.announce' | 'endpoint.leave'
  | 'domain.drain' | 'domain.restore' | 'domain.list'
  | 'relay.offer' | 'relay.withdraw'
