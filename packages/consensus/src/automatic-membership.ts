import { EXTRA_VOTERS, LEARNER_SILENCE_MS, VOTER_SILENCE_MS } from './constants.ts'
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

const isSilentVoter = ({ member, silentMs }: Peer): boolean => member.role === 'voter' && silentMs >= VOTER_SILENCE_MS

const isLeavingVoter = ({ member, isLeaving }: Peer): boolean => member.role === 'voter' && isLeaving

/** Whether it votes, or could at once, and is expected to go on doing so. */
const isSound = (peer: Peer): boolean => peer.isPromotable || (peer.member.role === 'voter' && !isSilentVoter(peer) && !isLeavingVoter(peer))

/** Returns how many voters the group should have: an odd number, so that one half of an even split keeps a majority. */
export const getVoterTarget = (peers: readonly Peer[], minVoters: number): number => {
  const soundMembers = 1 + peers.filter(isSound).length
  return soundMembers >= minVoters + EXTRA_VOTERS ? minVoters + EXTRA_VOTERS : minVoters
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

/** Demotes a voter that leaves, or else the one that has been silent for the longest time. */
const demoteVoter = (members: readonly Member[], peers: readonly Peer[]): MemberPlan | null => {
  const voters = peers.filter(({ member }) => member.role === 'voter')
  const [longestSilent] = voters.sort((a, b) => a.lastContactAt - b.lastContactAt)
  const demoted = voters.find(isLeavingVoter) ?? longestSilent
  return demoted ? { members: withLearner(members, demoted.member), reason: 'voter-surplus' } : null
}

const removeSilentLearner = (members: readonly Member[], peers: readonly Peer[]): MemberPlan | null => {
  const silent = peers.find(({ member, silentMs }) => member.role === 'learner' && silentMs >= LEARNER_SILENCE_MS)
  return silent ? { members: withoutNode(members, silent.member.node), reason: 'learner-silent' } : null
}
