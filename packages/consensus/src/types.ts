import type { NodeId } from '@ibisstair/common'

/** A node in one incarnation; a node that lost its state returns as a different member. */
export interface Member {
  readonly node: NodeId
  readonly incarnation: string
  readonly role: 'voter' | 'learner'
  /** A witness votes and stores the log, but transfers leadership away as soon as it can. */
  readonly witness: boolean
}

export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly body:
    | { readonly type: 'noop' }
    | { readonly type: 'members', readonly members: readonly Member[] }
    | { readonly type: 'command', readonly command: unknown }
}

export interface HardState {
  readonly term: number
  readonly votedFor: NodeId | null
  /** Incarnation of the candidate; absent in files written without this field. */
  readonly votedIncarnation?: string | null
}

export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly members: readonly Member[]
  readonly state: unknown
}

/** A snapshot with its state as base64 text, the form in which it is stored and sent in parts. */
export interface EncodedSnapshot {
  readonly index: number
  readonly term: number
  readonly members: readonly Member[]
  readonly data: string
}

export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

export interface ReplicaStatus {
  readonly group: string
  readonly node: NodeId
  readonly incarnation: string
  readonly role: Role
  readonly term: number
  readonly leader: NodeId | null
  readonly commitIndex: number
  readonly lastIndex: number
  readonly members: readonly Member[]
  /** Whether this replica is the leader and heard from a majority within the minimum election timeout. */
  readonly hasQuorum: boolean
  /** Time since this replica last heard from another one that led; Infinity if it has not since its start. */
  readonly sinceOtherLeaderMs: number
}

/** A replicated state machine. `apply` must be deterministic; its result is returned to the proposer. */
export interface StateMachine<Command, Result> {
  apply (command: Command, index: number): Result
  toSnapshot (): unknown
  restore (snapshot: unknown): void
}

/** One replica of a Raft group, as other packages use it. */
export interface Group<Command, Result> {
  /**
   * Resolves once the command is committed and applied here. Rejects with `not-leader`, `no-quorum`,
   * `disk-full`, `overloaded` or `body-too-large` when the command was not and will not be committed,
   * and with `outcome-unknown` when it may be.
   */
  propose (command: Command, timeoutMs: number): Promise<Result>
  getStatus (): ReplicaStatus
  /** Calls the listener when role, leader or quorum changes; returns a function that unsubscribes it. */
  onStatus (listener: (status: ReplicaStatus) => void): () => void
  /** Handles a message from another replica of the same group. */
  handleMessage (from: NodeId, message: unknown): void
  stop (): Promise<void>
}

/** Sends one message without blocking. Messages may be lost. */
export interface GroupTransport {
  send (group: string, to: NodeId, message: unknown): void
}
