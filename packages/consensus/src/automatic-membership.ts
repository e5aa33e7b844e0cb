import { EXTRA_VOTER_SILENCE_MS, EXTRA_VOTERS, LEARNER_SILENCE_MS, VOTER_SILENCE_MS } from './constants.ts'
import { listVoters, withLearner, withoutNode, withVoter } from './members.ts'
import type { Member } from './types.ts'

/** Another member of the group, as the leader sees it. */
export interface Peer {
  readonly member: Member
  /** Send time of the newest message that it answered; -Infinity if it has answered none. */
  readonly lastContactAt: number
  /** Time since it was last heard of; for a peer that has not answered this leader, since its admission, the election, or its last message as the leader before. */
  readonly silentMs: number
  /** Whether it has asked to give up its vote, as it shuts down. */
  readonly isLeaving: boolean
  /** Whether it is a learner that answers and holds the log, so that it can vote at once. */
  readonly isPromotable: boolean
}

/** Why the leader changes the configuration. */
export type MemberChangeReason =
  | 'operator'
  | 'node-joins'
  | 'node-lost-its-state'
  | 'voter-missing'
  | 'voter-silent'
  | 'voter-leaves'
  | 'voter-surplus'
  | 'learner-silent'

export interface MemberPlan {
  readonly members: readonly Member[]
  readonly reason: MemberChangeReason
}

/** Returns the configuration in which a learner that can vote at once has become a voter; null if there is none. */
export const promoteLearner = (members: readonly Member[], peers: readonly Peer[], reason: MemberChangeReason): MemberPlan | null => {
  const learner = peers.find(({ isPromotable }) => isPromotable)
  return learner ? { members: withVoter(members, learner.member.node), reason } : null
}

const isVoter = ({ member }: Peer): boolean => member.role === 'voter'

const isSilentVoter = (peer: Peer): boolean => isVoter(peer) && peer.silentMs >= VOTER_SILENCE_MS

const isLeavingVoter = (peer: Peer): boolean => isVoter(peer) && peer.isLeaving

/**
 * Returns how many voters the group should have: an odd number, so that one half of an even split keeps a majority.
 * A voter that leaves or has just fallen silent counts: its disk may be needed if another one is lost.
 */
export const getVoterTarget = (peers: readonly Peer[], minVoters: number): number => {
  const others = peers.filter((peer) => peer.isPromotable || (isVoter(peer) && peer.silentMs < EXTRA_VOTER_SILENCE_MS))
  return 1 + others.length >= minVoters + EXTRA_VOTERS ? minVoters + EXTRA_VOTERS : minVoters
}

/**
 * Returns the next configuration of a group that decides about its voters by itself; null to keep the present one.
 * A silent or leaving voter gives its vote up only after its substitute has one: with a voter less, the group would not
 * survive the loss of as many disks, not even while the change is not yet committed.
 */
export const planMembers = (members: readonly Member[], peers: readonly Peer[], minVoters: number): MemberPlan | null => {
  const target = getVoterTarget(peers, minVoters)
  if (listVoters(members).length > target) return demoteVoter(members, peers)
  return addVoter(members, peers, target) ?? removeSilentLearner(members, peers)
}

const addVoter = (members: readonly Member[], peers: readonly Peer[], target: number): MemberPlan | null => {
  if (listVoters(members).length < target) return promoteLearner(members, peers, 'voter-missing')
  if (peers.some(isLeavingVoter)) return promoteLearner(members, peers, 'voter-leaves')
  if (peers.some(isSilentVoter)) return promoteLearner(members, peers, 'voter-silent')
  return null
}

/** Demotes the voter that has been silent for too long, else one that leaves, else the one with the oldest answer. */
const demoteVoter = (members: readonly Member[], peers: readonly Peer[]): MemberPlan | null => {
  const voters = peers.filter(isVoter).sort((a, b) => a.lastContactAt - b.lastContactAt)
  const demoted = voters.find(isSilentVoter) ?? voters.find(isLeavingVoter) ?? voters[0]
  return demoted ? { members: withLearner(members, demoted.member), reason: 'voter-surplus' } : null
}

const removeSilentLearner = (members: readonly Member[], peers: readonly Peer[]): MemberPlan | null => {
  const silent = peers.find(({ member, silentMs }) => member.role === 'learner' && silentMs >= LEARNER_SILENCE_MS)
  return silent ? { members: withoutNode(members, silent.member.node), reason: 'learner-silent' } : null
}
