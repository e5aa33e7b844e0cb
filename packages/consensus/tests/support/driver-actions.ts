import fc from 'fast-check'
import { DriverCluster } from './driver-cluster.ts'
import type { DriverClusterOptions } from './driver-cluster.ts'
import { SafetyError } from './history.ts'

export type DriverAction =
  | { readonly type: 'run', readonly ms: number }
  | { readonly type: 'propose', readonly node: number, readonly count: number }
  | { readonly type: 'crash' | 'start' | 'lose' | 'fill' | 'free' | 'transfer', readonly node: number }
  | { readonly type: 'partition', readonly parts: readonly number[] }
  | { readonly type: 'isolate-leader' | 'crash-leader' | 'restart-all' | 'heal-network' | 'heal' }
  | { readonly type: 'faults', readonly drop: number, readonly duplicate: number, readonly delayMs: number }

const node = fc.nat({ max: 6 })
const type = <T extends string>(name: T): fc.Arbitrary<T> => fc.constant(name)
const onNode = <T extends string>(name: T): fc.Arbitrary<{ type: T, node: number }> => fc.record({ type: type(name), node })

const driverActionArbitrary: fc.Arbitrary<DriverAction> = fc.oneof(
  { weight: 10, arbitrary: fc.record({ type: type('run'), ms: fc.oneof(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 30, max: 4000 })) }) },
  { weight: 12, arbitrary: fc.record({ type: type('propose'), node, count: fc.integer({ min: 1, max: 12 }) }) },
  { weight: 3, arbitrary: onNode('crash') },
  { weight: 4, arbitrary: onNode('start') },
  { weight: 3, arbitrary: onNode('lose') },
  { weight: 4, arbitrary: onNode('fill') },
  { weight: 4, arbitrary: onNode('free') },
  { weight: 1, arbitrary: onNode('transfer') },
  { weight: 2, arbitrary: fc.record({ type: type('partition'), parts: fc.array(fc.nat({ max: 1 }), { minLength: 5, maxLength: 5 }) }) },
  { weight: 1, arbitrary: fc.record({ type: type('isolate-leader') }) },
  { weight: 2, arbitrary: fc.record({ type: type('crash-leader') }) },
  { weight: 2, arbitrary: fc.record({ type: type('restart-all') }) },
  { weight: 4, arbitrary: fc.record({ type: type('heal-network') }) },
  { weight: 2, arbitrary: fc.record({ type: type('heal') }) },
  { weight: 1, arbitrary: fc.record({ type: type('faults'), drop: fc.double({ min: 0, max: 0.3, noNaN: true }), duplicate: fc.double({ min: 0, max: 0.3, noNaN: true }), delayMs: fc.integer({ min: 0, max: 500 }) }) }
)

const proposeMany = (cluster: DriverCluster, index: number, count: number): void => {
  const target = cluster.leaders[index % Math.max(1, cluster.leaders.length)] ?? cluster.node(index)
  for (let i = 0; i < count; i++) cluster.propose(target)
}

const performDriverAction = async (cluster: DriverCluster, action: DriverAction): Promise<void> => {
  switch (action.type) {
    case 'run': return await cluster.run(action.ms)
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
    case 'transfer': return cluster.node(action.node).driver?.transferLeadership()
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

/** Ends all faults, then checks that the group has one leader, has lost no command, and commits again. */
const checkDriverRecovery = async (cluster: DriverCluster): Promise<void> => {
  cluster.checkNoFailure()
  cluster.heal()
  await cluster.run(30_000)
  cluster.checkNoFailure()
  const [leader, second] = cluster.leaders
  if (!leader || second) throw new SafetyError(`${cluster.leaders.length} leaders 30 s after all faults ended`)
  const before = cluster.acknowledged.size
  proposeMany(cluster, 0, 1)
  await cluster.run(2000)
  if (cluster.acknowledged.size !== before + 1) throw new SafetyError('no commit 30 s after all faults ended')
  cluster.checkMachines()
  const status = cluster.statusOf(leader)!
  for (const node of cluster.nodes) {
    const ownStatus = cluster.statusOf(node)
    if (!ownStatus) throw new SafetyError(`${node.id} does not run`)
    const member = status.members.find((member) => member.node === node.id)
    if (member?.incarnation !== ownStatus.incarnation || member.role !== 'voter') throw new SafetyError(`${node.id} did not return to the group`)
    if (ownStatus.commitIndex !== status.commitIndex) throw new SafetyError(`${node.id} has not caught up`)
  }
}

const SHAPES = [[5, 0], [2, 1], [3, 0]] as const

export interface DriverCase {
  readonly seed: number
  readonly voters: number
  readonly witnesses: number
  readonly actions: readonly DriverAction[]
}

export const createDriverCaseArbitrary = (length = { minLength: 5, maxLength: 40 }): fc.Arbitrary<DriverCase> => fc.record({
  seed: fc.nat(),
  shape: fc.constantFrom(...SHAPES),
  actions: fc.array(driverActionArbitrary, { ...length, size: 'max' })
}).map(({ shape, ...rest }) => ({ ...rest, voters: shape[0], witnesses: shape[1] }))

export const runDriverCase = async (driverCase: DriverCase, options: Partial<DriverClusterOptions> = {}): Promise<DriverCluster> => {
  const { seed, voters, witnesses, actions } = driverCase
  const cluster = await DriverCluster.create({ seed, voters, witnesses, ...options })
  await cluster.run(3000)
  for (const action of actions) await performDriverAction(cluster, action)
  await checkDriverRecovery(cluster)
  return cluster
}
