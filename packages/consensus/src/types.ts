import type { NodeId } from '@ibisstair/common'

/** A voter is a node in one incarnation; a node that lost its state comes back as another member. */
export interface Member {
  readonly node: NodeId
  readonly incarnation: string
  readonly role: 'voter' | 'learner'
  /** A witness votes and stores the log but hands leadership over as soon as it can. */
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
  /** Incarnation of the candidate; absent in files that do not have it. */
  readonly votedIncarnation?: string | null
}

export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly members: readonly Member[]
  readonly state: unknown
}

/** A snapshot whose state is base64 text, as it is stored and sent in parts. */
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
  /** A leader heard from a majority within the election timeout. */
  readonly hasQuorum: boolean
}

/** A replicated state machine; `apply` is deterministic and its result goes to the proposer. */
export interface StateMachine<Command, Result> {
  apply (command: Command, index: number): Result
  toSnapshot (): unknown
  restore (snapshot: unknown): void
}

/** What the processes use of one group. */
export interface Group<Command, Result> {
  /**
   * Resolves after the command was committed and applied here. Rejects with `not-leader`,
   * `no-quorum`, `disk-full`, `overloaded` or `body-too-large` when the command was not and will
   * not be committed, and with `outcome-unknown` otherwise.
   */
  propose (command: Command, timeoutMs: number): Promise<Result>
  getStatus (): ReplicaStatus
  /** Called when role, leader or quorum changes. */
  onStatus (listener: (status: ReplicaStatus) => void): () => void
  /** A message from the peer's replica of the same group. */
  handleMessage (from: NodeId, message: unknown): void
  stop (): Promise<void>
}

/** Sends one message; loss is allowed, waiting is not. */
export interface GroupTransport {
  send (group: string, to: NodeId, message: unknown): void
}
