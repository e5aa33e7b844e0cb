import fc from 'fast-check'
import { SafetyError } from './history.ts'
import { ReplicaCluster } from './replica-cluster.ts'
import type { ClusterOptions } from './replica-cluster.ts'

export type Action =
  | { readonly type: 'run', readonly ms: number }
  | { readonly type: 'propose', readonly node: number, readonly count: number }
  | { readonly type: 'crash' | 'start' | 'lose' | 'fill' | 'free' | 'transfer' | 'remove' | 'add' | 'shut-down' | 'replace' | 'replace-warned', readonly node: number }
  | { readonly type: 'freeze', readonly node: number, readonly ms: number }
  | { readonly type: 'jump', readonly node: number, readonly ms: number }
  | { readonly type: 'partition', readonly parts: readonly number[] }
  | { readonly type: 'isolate-leader' | 'crash-leader' | 'restart-all' | 'heal-network' | 'heal' }
  | { readonly type: 'faults', readonly drop: number, readonly duplicate: number, readonly delayMs: number }

const node = fc.nat({ max: 6 })
const type = <T extends string>(name: T): fc.Arbitrary<T> => fc.constant(name)
const onNode = <T extends string>(name: T): fc.Arbitrary<{ type: T, node: number }> => fc.record({ type: type(name), node })

type Weights = Partial<Record<Action['type'] | 'run-short' | 'propose-one', number>>

/** Each profile provokes a different kind of fault. */
export type Profile = 'general' | 'churn' | 'changes' | 'automatic'

const WEIGHTS: Record<Profile, Weights> = {
  general: {
    'run-short': 5, run: 5, propose: 10, crash: 3, start: 4, lose: 3, fill: 1, free: 1, transfer: 1, remove: 1, add: 1, freeze: 2, jump: 1, partition: 3, 'isolate-leader': 2, 'crash-leader': 2, 'restart-all': 1, 'heal-network': 4, heal: 2, faults: 2
  },
  /** Leaders that fail early, so that logs hold conflicting entries of several terms. */
  churn: { 'run-short': 12, run: 4, 'propose-one': 8, 'crash-leader': 6, start: 12, partition: 6, 'heal-network': 4 },
  /** Many membership changes by leaders that lose contact. */
  changes: { 'run-short': 6, run: 3, 'propose-one': 4, remove: 12, add: 8, 'isolate-leader': 3, 'heal-network': 3, crash: 1, start: 2, 'restart-all': 1 },
  /** Silent voters, lost disks and replaced nodes that overlap, in a group that replaces voters by itself. */
  automatic: { 'run-short': 6, run: 6, 'propose-one': 6, lose: 6, freeze: 6, crash: 3, start: 6, partition: 2, 'isolate-leader': 1, 'heal-network': 3, 'restart-all': 1, transfer: 1, 'shut-down': 2, replace: 2, 'replace-warned': 1 }
}

const ARBITRARIES: Record<keyof Required<Weights>, fc.Arbitrary<Action>> = {
  'run-short': fc.record({ type: type('run'), ms: fc.integer({ min: 1, max: 300 }) }),
  run: fc.record({ type: type('run'), ms: fc.integer({ min: 300, max: 6000 }) }),
  'propose-one': fc.record({ type: type('propose'), node, count: fc.constant(1) }),
  propose: fc.record({ type: type('propose'), node, count: fc.integer({ min: 1, max: 8 }) }),
  crash: onNode('crash'),
  start: onNode('start'),
  lose: onNode('lose'),
  fill: onNode('fill'),
  free: onNode('free'),
  transfer: onNode('transfer'),
  remove: onNode('remove'),
  add: onNode('add'),
  'shut-down': onNode('shut-down'),
  replace: onNode('replace'),
  'replace-warned': onNode('replace-warned'),
  freeze: fc.record({ type: type('freeze'), node, ms: fc.integer({ min: 100, max: 8000 }) }),
  jump: fc.record({ type: type('jump'), node, ms: fc.integer({ min: -100_000, max: 100_000 }) }),
  partition: fc.record({ type: type('partition'), parts: fc.array(fc.nat({ max: 1 }), { minLength: 5, maxLength: 5 }) }),
  'isolate-leader': fc.record({ type: type('isolate-leader') }),
  'crash-leader': fc.record({ type: type('crash-leader') }),
  'restart-all': fc.record({ type: type('restart-all') }),
  'heal-network': fc.record({ type: type('heal-network') }),
  heal: fc.record({ type: type('heal') }),
  faults: fc.record({ type: type('faults'), drop: fc.double({ min: 0, max: 0.4, noNaN: true }), duplicate: fc.double({ min: 0, max: 0.4, noNaN: true }), delayMs: fc.integer({ min: 0, max: 800 }) })
}

const createActionArbitrary = (profile: Profile): fc.Arbitrary<Action> => {
  const entries = Object.entries(WEIGHTS[profile]) as [keyof Weights, number][]
  return fc.oneof(...entries.map(([name, weight]) => ({ weight, arbitrary: ARBITRARIES[name] })))
}

let proposalCount = 0

const proposeMany = (cluster: ReplicaCluster, index: number, count: number): void => {
  // Proposes to a leader if there is one; otherwise to any node, which refuses.
  const target = cluster.leaders[index % Math.max(1, cluster.leaders.length)] ?? cluster.node(index)
  for (let i = 0; i < count; i++) {
    proposalCount += 1
    cluster.propose(target, `c${proposalCount}`)
  }
}

export const performAction = (cluster: ReplicaCluster, action: Action): void => {
  switch (action.type) {
    case 'run': return cluster.run(action.ms)
    case 'propose': return proposeMany(cluster, action.node, action.count)
    case 'crash': return cluster.crash(cluster.node(action.node))
    case 'start': return cluster.start(cluster.node(action.node))
    case 'lose': {
      const target = cluster.node(action.node)
      if (!cluster.canLoseDisk(target)) return
      cluster.loseDisk(target)
      return cluster.start(target)
    }
    case 'fill': return cluster.setFull(cluster.node(action.node), true)
    case 'free': return cluster.setFull(cluster.node(action.node), false)
    case 'transfer': return cluster.transfer(cluster.node(action.node))
    case 'shut-down': return cluster.shutDown(cluster.node(action.node))
    case 'replace': return cluster.replace(cluster.node(action.node), false)
    case 'replace-warned': return cluster.replace(cluster.node(action.node), true)
    case 'remove': {
      if (!cluster.canRemove(cluster.node(action.node))) return
      for (const leader of cluster.leaders) cluster.change(leader, { type: 'remove', node: cluster.node(action.node).id })
      return
    }
    case 'add': {
      const target = cluster.node(action.node)
      for (const leader of cluster.leaders) cluster.change(leader, { type: 'add', node: target.id, incarnation: target.incarnation, witness: false })
      return
    }
    case 'freeze': return cluster.freeze(cluster.node(action.node), action.ms)
    case 'jump': return cluster.jumpClock(cluster.node(action.node), action.ms)
    case 'partition': return cluster.partition(action.parts)
    case 'isolate-leader': {
      const leader = cluster.leaders[0]
      return cluster.partition(cluster.nodes.map((node) => node === leader ? 1 : 0))
    }
    case 'crash-leader': {
      for (const leader of cluster.leaders) cluster.crash(leader)
      return
    }
    case 'restart-all': {
      for (const node of cluster.nodes) cluster.crash(node)
      for (const node of cluster.nodes) cluster.start(node)
      return
    }
    case 'heal-network': return cluster.healNetwork()
    case 'heal': return cluster.heal()
    case 'faults': return cluster.setFaults(action)
  }
}

/** A group that decides about its voters by itself has two more of them if it has the members. */
const countExpectedVoters = (members: number, minVoters = Infinity): number =>
  members >= minVoters + 2 ? minVoters + 2 : Math.min(minVoters, members)

/** Ends all faults, then checks that the group has one leader, has lost no entry, and commits again. */
export const checkRecovery = (cluster: ReplicaCluster, minVoters?: number): void => {
  cluster.heal()
  cluster.run(30_000)
  const [leader, second] = cluster.leaders
  if (!leader || second) throw new SafetyError(`${cluster.leaders.length} leaders 30 s after all faults ended`)
  const before = cluster.history.acknowledgedCount
  proposeMany(cluster, 0, 1)
  cluster.run(2000)
  if (cluster.history.acknowledgedCount !== before + 1) throw new SafetyError('no commit 30 s after all faults ended')
  const status = cluster.statusOf(leader)!
  cluster.history.checkComplete(status.commitIndex)
  cluster.history.checkAbsent(cluster.refused)
  const expectedVoters = countExpectedVoters(status.members.length, minVoters)
  if (status.members.filter(({ role }) => role === 'voter').length !== expectedVoters) throw new SafetyError(`the group does not have ${expectedVoters} voters: ${JSON.stringify(status.members)}`)
  if (minVoters !== undefined && status.members.length !== cluster.nodes.length) throw new SafetyError(`the group has not admitted all nodes: ${JSON.stringify(status.members)}`)
  for (const member of status.members) {
    const node = cluster.nodes.find((node) => node.id === member.node)!
    if (member.incarnation !== node.incarnation) throw new SafetyError(`${node.id} did not return to the group: ${JSON.stringify(member)}`)
    if (cluster.statusOf(node)!.commitIndex !== status.commitIndex) throw new SafetyError(`${node.id} has not caught up`)
  }
  const leaderMember = status.members.find((member) => member.node === leader.id)
  if (leaderMember?.witness && status.members.some((member) => !member.witness)) throw new SafetyError('a witness leads a group that has other voters')
}

/** Lengths of the action list of a case. */
export const SHORT = { minLength: 5, maxLength: 60 }
export const LONG = { minLength: 100, maxLength: 300 }

/** Numbers of voters and witnesses: the config group, a domain group, and others. */
const SHAPES = [[5, 0], [2, 1], [3, 0], [4, 1]] as const

export interface ReplicaCase {
  readonly seed: number
  readonly voters: number
  readonly witnesses: number
  readonly maxBatchEntries: number
  readonly actions: readonly Action[]
  /** Nodes that join by themselves; the group then replaces voters by itself, too. */
  readonly joiners?: number
}

export const createCaseArbitrary = (profile: Profile, shapes: readonly (readonly [number, number])[] = SHAPES, length = SHORT): fc.Arbitrary<ReplicaCase> => fc.record({
  seed: fc.nat(),
  shape: fc.constantFrom(...shapes),
  maxBatchEntries: fc.constantFrom(1, 4, 64),
  actions: fc.array(createActionArbitrary(profile), { ...length, size: 'max' })
}).map(({ shape, ...rest }) => ({ ...rest, voters: shape[0], witnesses: shape[1] }))

/** Numbers of voters and of nodes that join: one and two disks may be lost at a time. */
const AUTOMATIC_SHAPES = [[3, 1], [3, 2], [5, 2], [5, 3]] as const

export const createAutomaticCaseArbitrary = (length = SHORT): fc.Arbitrary<ReplicaCase> => fc.record({
  seed: fc.nat(),
  shape: fc.constantFrom(...AUTOMATIC_SHAPES),
  maxBatchEntries: fc.constantFrom(1, 4, 64),
  actions: fc.array(createActionArbitrary('automatic'), { ...length, size: 'max' })
}).map(({ shape, ...rest }) => ({ ...rest, voters: shape[0], witnesses: 0, joiners: shape[1] }))

export const runReplicaCase = (replicaCase: ReplicaCase, options: Partial<ClusterOptions> = {}): ReplicaCluster => {
  const { seed, voters, witnesses, maxBatchEntries, actions, joiners } = replicaCase
  const membership = joiners === undefined ? {} : { joiners, minVoters: voters }
  const cluster = new ReplicaCluster({ seed, voters, witnesses, maxBatchEntries, ...membership, ...options })
  cluster.run(3000)
  for (const action of actions) performAction(cluster, action)
  checkRecovery(cluster, membership.minVoters)
  return cluster
}
