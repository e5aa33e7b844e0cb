import type { EndpointId, NodeId } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'

export type EndpointEvent =
  | { readonly type: 'announce', readonly info: EndpointInfo }
  | { readonly type: 'call-ok', readonly endpointId: EndpointId }
  /** No answer, as opposed to a refusal. */
  | { readonly type: 'call-failed', readonly endpointId: EndpointId }
  | { readonly type: 'tick' }

export type EndpointDownReason = 'expired' | 'left' | 'restarted' | 'unreachable'

export type EndpointChange =
  /** New, changed, leaving, restarted or reachable again. */
  | { readonly type: 'up', readonly info: EndpointInfo }
  /** `inMass`: one of many at once; see `mass-expiry`. */
  | { readonly type: 'down', readonly endpointId: EndpointId, readonly incarnation: number, readonly reason: EndpointDownReason, readonly inMass: boolean }
  /** Precedes the single expiries: so many endpoints are overdue that this observer may be the one cut off. */
  | { readonly type: 'mass-expiry', readonly overdue: readonly EndpointId[], readonly known: number }
  /** Call an unreachable endpoint once, to learn whether it answers again. */
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
  /** Announcements that were turned away because the directory is full. */
  readonly rejected: number
}

export type ForwardEvent =
  /** The control processes of the domain. */
  | { readonly type: 'targets', readonly targets: readonly NodeId[] }
  | { readonly type: 'announce', readonly info: EndpointInfo }
  | { readonly type: 'acknowledged', readonly target: NodeId, readonly endpointId: EndpointId, readonly incarnation: number, readonly sequence: number }
  | { readonly type: 'tick' }

export interface Forward {
  readonly target: NodeId
  readonly info: EndpointInfo
}

export type PeerEvent =
  | { readonly type: 'peers', readonly peers: readonly NodeId[] }
  | { readonly type: 'call-started', readonly peer: NodeId }
  /** Bytes or a ping answer arrived. */
  | { readonly type: 'progress', readonly peer: NodeId }
  /** Not reported for calls that a reset of the connections ended. */
  | { readonly type: 'call-ended', readonly peer: NodeId, readonly ok: boolean }
  | { readonly type: 'tick' }

export type PeerChange =
  | { readonly type: 'peer-up', readonly peer: NodeId }
  | { readonly type: 'peer-down', readonly peer: NodeId, readonly retryAtMs: number }
  /** No progress within the deadline: destroy the pooled connections and ask again on new ones. */
  | { readonly type: 'reset-connections', readonly peer: NodeId }
