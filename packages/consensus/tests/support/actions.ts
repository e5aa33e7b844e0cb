import fc from 'fast-check'
import type { ReplicaCluster } from './replica-cluster.ts'
import { SafetyError } from './history.ts'

export type Action =
  | { readonly type: 'run', readonly ms: number }
  | { readonly type: 'propose', readonly node: number, readonly count: number }
  | { readonly type: 'crash' | 'start' | 'lose' | 'fill' | 'free' | 'transfer' | 'remove' | 'add', readonly node: number }
  | { readonly type: 'freeze', readonly node: number, readonly ms: number }
  | { readonly type: 'jump', readonly node: number, readonly ms: number }
  | { readonly type: 'partition', readonly parts: readonly number[] }
  | { readonly type: 'isolate-leader' | 'crash-leader' | 'restart-all' | 'heal-network' | 'heal' }
  | { readonly type: 'faults', readonly drop: number, readonly duplicate: number, readonly delayMs: number }

const node = fc.nat({ max: 6 })
const type = <T extends string>(name: T): fc.Arbitrary<T> => fc.constant(name)
const onNode = <T extends string>(name: T): fc.Arbitrary<{ type: T, node: number }> => fc.record({ type: type(name), node })

/** Weighted so that most runs commit entries between faults. */
export const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  { weight: 10, arbitrary: fc.record({ type: type('run'), ms: fc.oneof(fc.integer({ min: 1, max: 300 }), fc.integer({ min: 300, max: 6000 })) }) },
  { weight: 10, arbitrary: fc.record({ type: type('propose'), node, count: fc.integer({ min: 1, max: 8 }) }) },
  { weight: 3, arbitrary: onNode('crash') },
  { weight: 4, arbitrary: onNode('start') },
  { weight: 3, arbitrary: onNode('lose') },
  { weight: 1, arbitrary: onNode('fill') },
  { weight: 1, arbitrary: onNode('free') },
  { weight: 1, arbitrary: onNode('transfer') },
  { weight: 1, arbitrary: onNode('remove') },
  { weight: 1, arbitrary: onNode('add') },
  { weight: 2, arbitrary: fc.record({ type: type('freeze'), node, ms: fc.integer({ min: 100, max: 8000 }) }) },
  { weight: 1, arbitrary: fc.record({ type: type('jump'), node, ms: fc.integer({ min: -100_000, max: 100_000 }) }) },
  { weight: 3, arbitrary: fc.record({ type: type('partition'), parts: fc.array(fc.nat({ max: 1 }), { minLength: 5, maxLength: 5 }) }) },
  { weight: 2, arbitrary: fc.record({ type: type('isolate-leader') }) },
  { weight: 2, arbitrary: fc.record({ type: type('crash-leader') }) },
  { weight: 1, arbitrary: fc.record({ type: type('restart-all') }) },
  { weight: 4, arbitrary: fc.record({ type: type('heal-network') }) },
  { weight: 2, arbitrary: fc.record({ type: type('heal') }) },
  { weight: 2, arbitrary: fc.record({ type: type('faults'), drop: fc.double({ min: 0, max: 0.4, noNaN: true }), duplicate: fc.double({ min: 0, max: 0.4, noNaN: true }), delayMs: fc.integer({ min: 0, max: 800 }) }) }
)

let proposals = 0

const proposeMany = (cluster: ReplicaCluster, index: number, count: number): void => {
  // Mostly to a leader; otherwise to any node, which refuses.
  const target = cluster.leaders[index % Math.max(1, cluster.leaders.length)] ?? cluster.node(index)
  for (let i = 0; i < count; i++) {
    proposals += 1
    cluster.propose(target, `c${proposals}`)
  }
}

export const perform = (cluster: ReplicaCluster, action: Action): void => {
  switch (action.type) {
    case 'run': return cluster.run(action.ms)
    case 'propose': return proposeMany(cluster, action.node, action.count)
    case 'crash': return cluster.crash(cluster.node(action.node))
    case 'start': return cluster.start(cluster.node(action.node))
    case 'lose': {
      const target = cluster.node(action.node)
      if (!cluster.canLose(target)) return
      cluster.loseDisk(target)
      return cluster.start(target)
    }
    case 'fill': return cluster.setFull(cluster.node(action.node), true)
    case 'free': return cluster.setFull(cluster.node(action.node), false)
    case 'transfer': return cluster.transfer(cluster.node(action.node))
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

/** After all faults end, the group has one leader, has lost nothing, and commits again. */
export const settle = (cluster: ReplicaCluster): void => {
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
  for (const member of status.members) {
    const node = cluster.nodes.find((node) => node.id === member.node)!
    if (member.incarnation !== node.incarnation || member.role !== 'voter') throw new SafetyError(`${node.id} did not return to the group: ${JSON.stringify(member)}`)
    if (cluster.statusOf(node)!.commitIndex !== status.commitIndex) throw new SafetyError(`${node.id} has not caught up`)
  }
  const leading = status.members.find((member) => member.node === leader.id)
  if (leading?.witness && status.members.some((member) => !member.witness)) throw new SafetyError('a witness leads a group that has other voters')
}
