import type { EndpointId, NodeId } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'

export type EndpointEvent =
  | { readonly type: 'announce', readonly info: EndpointInfo }
  | { readonly type: 'call-ok', readonly endpointId: EndpointId }
  /** The call got no answer; an error answer is not a failed call. */
  | { readonly type: 'call-failed', readonly endpointId: EndpointId }
  | { readonly type: 'tick' }

export type EndpointDownReason = 'expired' | 'left' | 'restarted' | 'unreachable'

export type EndpointChange =
  /** New, changed, leaving, restarted or reachable again. */
  | { readonly type: 'up', readonly info: EndpointInfo }
  /** `inMass` is true for an expiry that is part of a `mass-expiry`. */
  | { readonly type: 'down', readonly endpointId: EndpointId, readonly incarnation: number, readonly reason: EndpointDownReason, readonly inMass: boolean }
  /** Precedes the individual expiries: so many endpoints are overdue that the observer itself may be partitioned. */
  | { readonly type: 'mass-expiry', readonly overdue: readonly EndpointId[], readonly known: number }
  /** Asks for one call to an unreachable endpoint, to find out whether it answers again. */
  | { readonly type: 'probe', readonly endpointId: EndpointId }

export interface EndpointDirectoryOptions {
  readonly expiryMs?: number
  readonly overdueMs?: number
  readonly maxEndpoints?: number
}

export interface EndpointDirectoryStats {
  readonly up: number
  readonly leaving: number
  readonly unreachable: number
  readonly stale: number
  readonly expired: number
  readonly restarted: number
  /** Announcements that were rejected because the directory is full. */
  readonly rejected: number
}

export type ForwardEvent =
  /** Replaces the list of control processes to forward to. */
  | { readonly type: 'targets', readonly targets: readonly NodeId[] }
  | { readonly type: 'announce', readonly info: EndpointInfo }
  | { readonly type: 'acknowledged', readonly target: NodeId, readonly endpointId: EndpointId, readonly incarnation: number, readonly sequence: number }
  | { readonly type: 'tick' }

/** An announcement to send to one control process. */
export interface Forward {
  readonly target: NodeId
  readonly info: EndpointInfo
}

export type PeerEvent =
  | { readonly type: 'peers', readonly peers: readonly NodeId[] }
  | { readonly type: 'call-started', readonly peer: NodeId }
  /** Data or a ping response arrived from the peer. */
  | { readonly type: 'progress', readonly peer: NodeId }
  /** Not sent for calls that ended because their connection was reset. */
  | { readonly type: 'call-ended', readonly peer: NodeId, readonly ok: boolean }
  | { readonly type: 'tick' }

export type PeerChange =
  | { readonly type: 'peer-up', readonly peer: NodeId }
  | { readonly type: 'peer-down', readonly peer: NodeId, readonly retryAtMs: number }
  /** No progress within the timeout: destroy the pooled connections and retry on new ones. */
  | { readonly type: 'reset-connections', readonly peer: NodeId }
