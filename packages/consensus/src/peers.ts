import type { NodeId } from '@ibisstair/common'
import type { Peer } from './automatic-membership.ts'
import { HEARTBEAT_MS } from './constants.ts'
import { isSameMember } from './members.ts'
import { Progress } from './progress.ts'
import type { Member } from './types.ts'

/** When this replica was elected, and which other replica it followed last. */
export interface ElectionView {
  readonly electedAt: number
  readonly formerLeader: NodeId | null
  /** When this replica last heard from the former leader. */
  readonly formerLeaderAt: number
}

/** The other members of the group as the leader sees them: one progress for each incarnation of a node. */
export class Peers {
  readonly #progress = new Map<NodeId, Progress>()

  get (node: NodeId): Progress | undefined {
    return this.#progress.get(node)
  }

  values (): IterableIterator<Progress> {
    return this.#progress.values()
  }

  clear (): void {
    this.#progress.clear()
  }

  /** Keeps the progress of each member, and creates a new one, which begins at `nextIndex`, for a new incarnation. */
  update (members: readonly Member[], self: NodeId, nextIndex: number, lastIndex: number, now: number): void {
    for (const [node, progress] of this.#progress) {
      if (!members.some((member) => isSameMember(member, progress.member))) this.#progress.delete(node)
    }
    for (const member of members) {
      const existing = this.#progress.get(member.node)
      if (existing) existing.member = member
      if (existing || member.node === self) continue
      this.#progress.set(member.node, new Progress(member, nextIndex, lastIndex, now))
    }
  }

  /** Returns the send time of the newest message that the node has answered; -Infinity if it has answered none. */
  getContactAt (node: NodeId): number {
    return this.#progress.get(node)?.lastContactAt ?? -Infinity
  }

  /** Returns a voter that can lead at once. */
  findNextLeader (lastIndex: number, now: number): Progress | undefined {
    return [...this.#progress.values()].find((progress) => progress.canLead(lastIndex, now))
  }

  /** Returns what decides about the votes of the members. */
  describe (election: ElectionView, now: number): Peer[] {
    return [...this.#progress.values()].map((progress) => ({
      member: progress.member,
      lastContactAt: progress.lastContactAt,
      silentMs: now - Math.max(progress.lastContactAt, getHeardAt(progress, election, now)),
      isLeaving: progress.isLeaving(now),
      isPromotable: progress.isPromotable(now)
    }))
  }
}

/**
 * Returns the time since which a peer that has not answered this leader counts as silent: the election, or its admission
 * if that came later. For the former leader, whose silence has led to the election, it is the last message from it.
 */
const getHeardAt = ({ member, addedAt }: Progress, { electedAt, formerLeader, formerLeaderAt }: ElectionView, now: number): number => {
  const hadTimeToAnswer = now - electedAt >= HEARTBEAT_MS
  return member.node === formerLeader && addedAt === electedAt && hadTimeToAnswer ? formerLeaderAt : addedAt
}
