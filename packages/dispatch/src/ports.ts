import type { TaskId } from '@ibisstair/common'
import type { EndpointRecord, RunOutcome } from '@ibisstair/jobs'

/** Answer of an endpoint to an order. A missing answer is an `IbisError` of kind `unreachable`. */
export type OrderResult =
  | { readonly type: 'ok', readonly clockMs: number }
  /** The endpoint has received orders of a newer leader. */
  | { readonly type: 'fenced' }
  /** The address belongs to another incarnation of an endpoint. */
  | { readonly type: 'wrong-incarnation' }
  /** The order was not and will not be carried out. */
  | { readonly type: 'refused', readonly reason: string }

export interface StartOrder {
  readonly task: TaskId
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  /** Fencing token: the term of the leader. */
  readonly fencingToken: number
  /** End of the lease on the endpoint's clock. */
  readonly leaseUntilMs: number
}

export interface StopOrder {
  readonly task: TaskId
  readonly run: number
  readonly fencingToken: number
}

export interface RenewOrder {
  readonly fencingToken: number
  /** Reports up to this number are committed, and the endpoint may delete them. */
  readonly ackedUpto: number
  /** Null when no lease is renewed. */
  readonly leaseUntilMs: number | null
  /** Whole milliseconds that the answer may wait for the end of a run. */
  readonly waitMs: number
}

export interface RunReport {
  readonly task: TaskId
  readonly run: number
  /** Share of the work that is done, 0 to 100. */
  readonly percent: number
}

export interface EndReport {
  readonly number: number
  readonly task: TaskId
  readonly run: number
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

export interface EndpointReport {
  readonly clockMs: number
  readonly running: readonly RunReport[]
  /** Ends that are not acknowledged yet; only the oldest when there are many. */
  readonly ended: readonly EndReport[]
  /** More reports follow once these are acknowledged. */
  readonly hasMore: boolean
}

export type RenewResult =
  | { readonly type: 'report', readonly report: EndpointReport }
  /** Another incarnation has answered. One under the same id tells what it runs; that is absent when it has another id. */
  | { readonly type: 'wrong-incarnation', readonly successorReport?: EndpointReport }
  | Extract<OrderResult, { type: 'fenced' | 'refused' }>

/**
 * Calls to endpoints. They reject with `unreachable` when no answer arrives within the timeout; the order may still be
 * carried out. The detail `code` of the error is ECONNREFUSED when nothing listens at the address.
 */
export interface EndpointPort {
  start (endpoint: EndpointRecord, order: StartOrder, timeoutMs: number): Promise<OrderResult>
  stop (endpoint: EndpointRecord, order: StopOrder, timeoutMs: number): Promise<OrderResult>
  /** Extends the lease of all runs of the endpoint and returns its report of running and ended runs. */
  renew (endpoint: EndpointRecord, order: RenewOrder, timeoutMs: number): Promise<RenewResult>
  /** Closes the connections to an endpoint that is gone. */
  closeConnections (endpoint: EndpointRecord): void
}
