import { LEARNER_SILENCE_MS, VOTER_SILENCE_MS } from './constants.ts'
import { listVoters, withLearner, withoutNode, withVoter } from './members.ts'
import type { Member } from './types.ts'

/** Another member of the group, as the leader sees it. */
export interface Peer {
  readonly member: Member
  /** Send time of the newest message that it answered; -Infinity if it has answered none. */
  readonly lastContactAt: number
  /** Time since it was last heard of; for a peer that has not answered this leader, since the election, or since its last message as the leader before. */
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

/**
 * Returns the next configuration of a group that keeps the given number of voters by itself; null to keep the present one.
 * A silent or leaving voter gives its vote up only after its substitute has one: with a voter less, the group would not survive
 * the loss of as many disks, not even while the change is not yet committed.
 */
export const planMembers = (members: readonly Member[], peers: readonly Peer[], maxVoters: number): MemberPlan | null => {
  const voterCount = listVoters(members).length
  if (voterCount > maxVoters) return demoteVoter(members, peers)
  return addVoter(members, peers, maxVoters) ?? removeSilentLearner(members, peers)
}

const addVoter = (members: readonly Member[], peers: readonly Peer[], maxVoters: number): MemberPlan | null => {
  if (listVoters(members).length < maxVoters) return promoteLearner(members, peers, 'voter-missing')
  const voters = peers.filter(({ member }) => member.role === 'voter')
  if (voters.some(({ isLeaving }) => isLeaving)) return promoteLearner(members, peers, 'voter-leaves')
  if (voters.some(({ silentMs }) => silentMs >= VOTER_SILENCE_MS)) return promoteLearner(members, peers, 'voter-silent')
  return null
}

/** Demotes a voter that leaves, or else the one that has been silent for the longest time. */
const demoteVoter = (members: readonly Member[], peers: readonly Peer[]): MemberPlan | null => {
  const voters = peers.filter(({ member }) => member.role === 'voter')
  const [longestSilent] = voters.sort((a, b) => a.lastContactAt - b.lastContactAt)
  const demoted = voters.find(({ isLeaving }) => isLeaving) ?? longestSilent
  return demoted ? { members: withLearner(members, demoted.member), reason: 'voter-surplus' } : null
}

const removeSilentLearner = (members: readonly Member[], peers: readonly Peer[]): MemberPlan | null => {
  const silent = peers.find(({ member, silentMs }) => member.role === 'learner' && silentMs >= LEARNER_SILENCE_MS)
  return silent ? { members: withoutNode(members, silent.member.node), reason: 'learner-silent' } : null
}
