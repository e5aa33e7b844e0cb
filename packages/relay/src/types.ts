import type { DomainId, NodeId } from '@ibisstair/common'
import type { RenewOrder, StartOrder, StopOrder } from '@ibisstair/dispatch'
import type { EndpointRecord } from '@ibisstair/jobs'

/** A process that passes calls on to endpoints which the leader does not reach. */
export interface RelayOffer {
  readonly node: NodeId
  readonly domain: DomainId
  /** IP:PORT at which the process takes announcements of endpoints; null if it takes none. */
  readonly announceAddress: string | null
}

/** How calls reach an endpoint. */
export type Path =
  | { readonly type: 'direct' }
  | { readonly type: 'relayed', readonly relay: NodeId }

/** A call to an endpoint that is passed on as it is. It carries the leader's fencing token, so that the endpoint decides. */
export type EndpointCall =
  | { readonly type: 'start', readonly order: StartOrder }
  | { readonly type: 'stop', readonly order: StopOrder }
  | { readonly type: 'renew', readonly order: RenewOrder }

export interface RelayRequest {
  readonly endpoint: EndpointRecord
  readonly call: EndpointCall
  /** Time that the endpoint has to answer the relay, in milliseconds. */
  readonly timeoutMs: number
}

/** What became of a relayed call; `unreachable` stands for a call without an answer, which may still be carried out. */
export type RelayAnswer =
  | { readonly type: 'answered', readonly result: unknown }
  | { readonly type: 'unreachable', readonly detail: string, readonly code: string | null }
