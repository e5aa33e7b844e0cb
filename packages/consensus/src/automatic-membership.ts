import { LEARNER_SILENCE_MS, VOTER_SILENCE_MS } from './constants.ts'
import { listVoters, withLearner, withoutNode, withVoter } from './members.ts'
import type { Member } from './types.ts'

/** Another member of the group, as the leader sees it. */
export interface Peer {
  readonly member: Member
  /** Send time of the newest message that it answered; -Infinity if it has answered none. */
  readonly lastContactAt: number
  /** Time since its last answer, or since the election of a leader that it has not answered yet. */
  readonly silentMs: number
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
 * A silent voter gives its vote up only after its substitute has one: with a voter less, the group would not survive
 * the loss of as many disks, not even while the change is not yet committed.
 */
export const planMembers = (members: readonly Member[], peers: readonly Peer[], maxVoters: number): MemberPlan | null => {
  const voterCount = listVoters(members).length
  if (voterCount > maxVoters) return demoteLongestSilent(members, peers)
  return addVoter(members, peers, maxVoters) ?? removeSilentLearner(members, peers)
}

const addVoter = (members: readonly Member[], peers: readonly Peer[], maxVoters: number): MemberPlan | null => {
  if (listVoters(members).length < maxVoters) return promoteLearner(members, peers, 'voter-missing')
  const hasSilentVoter = peers.some(({ member, silentMs }) => member.role === 'voter' && silentMs >= VOTER_SILENCE_MS)
  return hasSilentVoter ? promoteLearner(members, peers, 'voter-silent') : null
}

const demoteLongestSilent = (members: readonly Member[], peers: readonly Peer[]): MemberPlan | null => {
  const [longestSilent] = peers.filter(({ member }) => member.role === 'voter').sort((a, b) => a.lastContactAt - b.lastContactAt)
  return longestSilent ? { members: withLearner(members, longestSilent.member), reason: 'voter-surplus' } : null
}

const removeSilentLearner = (members: readonly Member[], peers: readonly Peer[]): MemberPlan | null => {
  const silent = peers.find(({ member, silentMs }) => member.role === 'learner' && silentMs >= LEARNER_SILENCE_MS)
  return silent ? { members: withoutNode(members, silent.member.node), reason: 'learner-silent' } : null
}
