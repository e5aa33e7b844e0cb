import type { NodeId } from '@ibisstair/common'

/** The address and port on which a process listens. */
export interface Target {
  readonly address: string
  readonly port: number
}

/** What a handler learns about a call besides its parameters. */
export interface CallContext {
  readonly from: NodeId
  /** How long the client still waits, in milliseconds; the calls that a handler makes must not have a longer timeout. */
  readonly remainingMs: number
}

/** Handles one method; the result is sent as JSON, and a thrown error as a JSON-RPC error. */
export type Handler = (params: unknown, ctx: CallContext) => Promise<unknown> | unknown

/** How this process identifies itself to the other processes of its deployment. */
export interface Identity {
  readonly deployment: string
  readonly node: NodeId
  readonly secret: string
}

/** Transport counters of one client since its start; its owner publishes them. */
export interface TransportCounters {
  calls: number
  timeouts: number
  connectionsDropped: number
  messagesDropped: number
  bytesSent: number
  bytesReceived: number
}
