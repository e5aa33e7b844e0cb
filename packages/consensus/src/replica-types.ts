import type { NodeId } from '@ibisstair/common'
import type { RandomSource } from '@ibisstair/timers'
import type { MemberPlan, Peer } from './automatic-membership.ts'
import type { Message } from './messages.ts'
import type { EncodedSnapshot, HardState, LogEntry } from './types.ts'

/** Safety mechanisms that tests switch off to show that the randomised tests detect their absence. */
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
  /** Nodes that this one sends join requests to while it is in no configuration. */
  readonly peers: readonly NodeId[]
  readonly random: RandomSource
  /**
   * Number of voters that the group has if it has as many members; two more vote while enough members answer. Enables
   * automatic membership: nodes outside the configuration are admitted as learners, and a learner that has caught up
   * replaces a voter that no longer answers.
   */
  readonly minVoters?: number
  readonly trailingEntries?: number
  readonly snapshotChunkChars?: number
  readonly maxBatchEntries?: number
  /** Mechanisms that are switched off; for tests only. */
  readonly disabled?: readonly Mechanism[]
}

/** The persisted state that a replica starts with; empty for a new incarnation. */
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
  /** Transfers leadership to a voter that has caught up, for example before a shutdown. */
  | { readonly type: 'transfer' }
  /** Asks the leader to give this replica's vote to a learner, before a shutdown. */
  | { readonly type: 'resign' }
  /** All `append` effects up to the sequence number are on disk. */
  | { readonly type: 'persisted', readonly sequence: number }
  /** Entries that were not reported as persisted are not on disk and will not be written. */
  | { readonly type: 'append-failed' }
  | { readonly type: 'disk-writable' }
  | { readonly type: 'snapshot-saved', readonly snapshot: EncodedSnapshot }
  | { readonly type: 'snapshot-failed' }

/** Effects are executed in order. A message is sent only after the storage effects before it are synced. */
export type Effect =
  | { readonly type: 'save-hard-state', readonly state: HardState }
  /** Replaces the log from the first entry's index on. */
  | { readonly type: 'append', readonly entries: readonly LogEntry[], readonly sequence: number }
  /** Removes the stored log, which a saved snapshot has made obsolete. */
  | { readonly type: 'reset-log', readonly index: number }
  | { readonly type: 'save-snapshot', readonly snapshot: EncodedSnapshot }
  | { readonly type: 'restore', readonly snapshot: EncodedSnapshot }
  | { readonly type: 'commit', readonly index: number }
  | { readonly type: 'send', readonly to: NodeId, readonly message: Message }
  | { readonly type: 'accepted', readonly id: number, readonly index: number, readonly term: number }
  | { readonly type: 'refused', readonly id: number, readonly reason: RefusalReason }
  /** The entries from the index on were removed from the log; they were never stored or sent. */
  | { readonly type: 'dropped', readonly fromIndex: number }
  /** This leader has appended another configuration; `peers` is what it knew of the other members when it decided. */
  | { readonly type: 'members-appended', readonly index: number, readonly plan: MemberPlan, readonly peers: readonly Peer[] }

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
