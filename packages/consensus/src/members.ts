import type { NodeId } from '@ibisstair/common'
import type { Member } from './types.ts'

export const findMember = (members: readonly Member[], node: NodeId): Member | undefined =>
  members.find((member) => member.node === node)

export const isSameMember = (a: Member, b: Pick<Member, 'node' | 'incarnation'>): boolean =>
  a.node === b.node && a.incarnation === b.incarnation

export const listVoters = (members: readonly Member[]): Member[] =>
  members.filter((member) => member.role === 'voter')

export const isMajority = (count: number, members: readonly Member[]): boolean =>
  count * 2 > listVoters(members).length

/** Returns the highest value that a majority of the voters has reached. */
export const majorityValue = (members: readonly Member[], valueOf: (member: Member) => number): number => {
  const values = listVoters(members).map(valueOf).sort((a, b) => b - a)
  return values[Math.floor(values.length / 2)] ?? -Infinity
}

/** Adds a node as a learner, in place of its older incarnation, which loses its vote. */
export const withLearner = (members: readonly Member[], learner: Pick<Member, 'node' | 'incarnation' | 'witness'>): Member[] =>
  [...withoutNode(members, learner.node), { node: learner.node, incarnation: learner.incarnation, role: 'learner', witness: learner.witness }]

export const withVoter = (members: readonly Member[], node: NodeId): Member[] =>
  members.map((member) => member.node === node ? { ...member, role: 'voter' } : member)

export const withoutNode = (members: readonly Member[], node: NodeId): Member[] =>
  members.filter((member) => member.node !== node)

/** Returns the number of voters by which two configurations differ; above one, their majorities may be disjoint. */
export const countVoterChanges = (a: readonly Member[], b: readonly Member[]): number => {
  const countMissing = (from: readonly Member[], other: readonly Member[]): number =>
    listVoters(from).filter((member) => !listVoters(other).some((voter) => isSameMember(voter, member))).length
  return countMissing(a, b) + countMissing(b, a)
}
