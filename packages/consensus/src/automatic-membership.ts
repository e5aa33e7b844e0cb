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

/** Returns the configuration in which a learner that can vote at once has become a voter; null if there is none. */
export const promoteLearner = (members: readonly Member[], peers: readonly Peer[]): readonly Member[] | null => {
  const learner = peers.find(({ isPromotable }) => isPromotable)
  return learner ? withVoter(members, learner.member.node) : null
}

/**
 * Returns the next configuration of a group that keeps the given number of voters by itself; null to keep the present one.
 * A silent voter gives its vote up only after its substitute has one: with a voter less, the group would not survive
 * the loss of as many disks, not even while the change is not yet committed.
 */
export const planMembers = (members: readonly Member[], peers: readonly Peer[], maxVoters: number): readonly Member[] | null => {
  const voterCount = listVoters(members).length
  if (voterCount > maxVoters) return demoteLongestSilent(members, peers)
  const hasSilentVoter = peers.some(({ member, silentMs }) => member.role === 'voter' && silentMs >= VOTER_SILENCE_MS)
  const promoted = voterCount < maxVoters || hasSilentVoter ? promoteLearner(members, peers) : null
  return promoted ?? removeSilentLearner(members, peers)
}

const demoteLongestSilent = (members: readonly Member[], peers: readonly Peer[]): readonly Member[] | null => {
  const [longestSilent] = peers.filter(({ member }) => member.role === 'voter').sort((a, b) => a.lastContactAt - b.lastContactAt)
  return longestSilent ? withLearner(members, longestSilent.member) : null
}

const removeSilentLearner = (members: readonly Member[], peers: readonly Peer[]): readonly Member[] | null => {
  const silent = peers.find(({ member, silentMs }) => member.role === 'learner' && silentMs >= LEARNER_SILENCE_MS)
  return silent ? withoutNode(members, silent.member.node) : null
}
