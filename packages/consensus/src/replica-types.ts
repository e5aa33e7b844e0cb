import type { NodeId } from '@ibisstair/common'
import type { RandomSource } from '@ibisstair/timers'
import type { Message } from './messages.ts'
import type { EncodedSnapshot, HardState, LogEntry } from './types.ts'

/** Safety mechanisms that tests switch off to show that the randomised runs depend on them. */
export type Mechanism =
  | 'pre-vote'
  | 'lease-check'
  | 'single-vote'
  | 'log-check'
  | 'current-term-commit'
  | 'quorum-check'
  | 'incarnation-check'
  | 'single-change'
  | 'persisted-commit'
  | 'sync-first'
  | 'freeze-check'

export interface ReplicaOptions {
  readonly group: string
  readonly node: NodeId
  readonly incarnation: string
  /** Nodes that are asked to admit this one while it is in no configuration. */
  readonly peers: readonly NodeId[]
  readonly random: RandomSource
  /**
   * Turns on automatic membership: nodes that nobody configured are admitted as learners, at most this
   * many members vote, and a learner that has caught up takes the place of a silent voter.
   */
  readonly maxVoters?: number
  readonly trailingEntries?: number
  readonly snapshotChunkChars?: number
  readonly maxBatchEntries?: number
  /** Test option. */
  readonly disabled?: readonly Mechanism[]
}

/** What a replica starts from: empty for a new incarnation. */
export interface ReplicaState {
  readonly hardState: HardState
  readonly snapshot: EncodedSnapshot
  /** The entries after the snapshot. */
  readonly entries: readonly LogEntry[]
}

export type MemberChange =
  | { readonly type: 'add', readonly node: NodeId, readonly incarnation: string, readonly witness: boolean }
  | { readonly type: 'remove', readonly node: NodeId }

export type RefusalReason = 'not-leader' | 'no-quorum' | 'disk-full' | 'overloaded' | 'change-in-flight' | 'invalid-change'

export type ReplicaEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'message', readonly from: NodeId, readonly message: Message }
  | { readonly type: 'propose', readonly id: number, readonly command: unknown }
  | { readonly type: 'change', readonly id: number, readonly change: MemberChange }
  /** Hands leadership to a caught-up voter, for example before a shutdown. */
  | { readonly type: 'transfer' }
  /** All `append` effects up to the sequence number are on the disk. */
  | { readonly type: 'persisted', readonly sequence: number }
  /** Nothing that is not reported as persisted is or will be on the disk. */
  | { readonly type: 'append-failed' }
  | { readonly type: 'disk-writable' }
  | { readonly type: 'snapshot-saved', readonly snapshot: EncodedSnapshot }
  | { readonly type: 'snapshot-failed' }

/** Effects are executed in order; a message is sent only after the storage effects before it are synced. */
export type Effect =
  | { readonly type: 'save-hard-state', readonly state: HardState }
  /** Replaces the log from the first entry's index on. */
  | { readonly type: 'append', readonly entries: readonly LogEntry[], readonly sequence: number }
  /** The stored log is obsolete: a saved snapshot takes its place. */
  | { readonly type: 'reset-log', readonly index: number }
  | { readonly type: 'save-snapshot', readonly snapshot: EncodedSnapshot }
  | { readonly type: 'restore', readonly snapshot: EncodedSnapshot }
  | { readonly type: 'commit', readonly index: number }
  | { readonly type: 'send', readonly to: NodeId, readonly message: Message }
  | { readonly type: 'accepted', readonly id: number, readonly index: number, readonly term: number }
  | { readonly type: 'refused', readonly id: number, readonly reason: RefusalReason }
  /** Entries from the index on were never stored or sent and are gone. */
  | { readonly type: 'dropped', readonly fromIndex: number }

export interface ReplicaCounters {
  elections: number
  preVotes: number
  elected: number
  steppedDown: number
  staleMessages: number
  wrongIncarnation: number
  ignoredVotes: number
  rejectedAppends: number
  lostBatches: number
  snapshotsSent: number
  snapshotsInstalled: number
  memberChanges: number
  refusedProposals: number
  refusedJoins: number
  replacedVoters: number
  droppedEntries: number
  transfers: number
}
