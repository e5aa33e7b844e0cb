import type { NodeId } from '@ibisstair/common'

/** Where a process listens. */
export interface Target {
  readonly address: string
  readonly port: number
}

export interface CallContext {
  readonly from: NodeId
  /** Milliseconds that the client still waits; a handler hands on no more than this. */
  readonly remainingMs: number
}

export type Handler = (params: unknown, ctx: CallContext) => Promise<unknown> | unknown

/** What identifies this process to the others of its deployment. */
export interface Identity {
  readonly deployment: string
  readonly node: NodeId
  readonly secret: string
}

/** Counters of the transport; the owner publishes them as metrics. */
export interface TransportCounters {
  calls: number
  timeouts: number
  connectionsDropped: number
  messagesDropped: number
  bytesSent: number
  bytesReceived: number
}
