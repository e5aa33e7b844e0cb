import { asId, IbisError, type CustomerId, type NodeId } from '@ibisstair/common'
import type { RpcClient, Target } from '@ibisstair/rpc'
import { ManualTimerService } from '@ibisstair/timers'
import t from 'tap'
import { RunTimeSharing, type RunTimesCopy } from '../src/run-time-sharing.ts'

const NODES = ['n1', 'n2', 'n3'].map(asId<NodeId>)

const createCopy = (term: number, runMs: number): RunTimesCopy => ({
  term,
  groups: [{ work: { customer: asId<CustomerId>('a'), queue: 'q', accelerators: 1 }, isWhole: true, samples: 9, runTimes: [runMs], estimates: [1_000], weight: 0.5 }]
})

/** Three processes whose calls arrive at once as JSON; the third is of a build that does not know the method. */
class Group {
  readonly timers = new ManualTimerService()
  readonly own = new Map<NodeId, RunTimesCopy>()
  readonly calls: string[] = []
  readonly sharing = new Map(NODES.slice(0, 2).map((node) => [node, this.#create(node)] as const))

  #create (node: NodeId): RunTimeSharing {
    const call = async (target: Target, method: string, params: unknown): Promise<unknown> => {
      const receiver = this.sharing.get(NODES[target.port]!)
      this.calls.push(`${node} ${method} ${NODES[target.port]}`)
      if (!receiver) throw new IbisError('invalid-request', 'method not found')
      return receiver.handleCopy(JSON.parse(JSON.stringify(params)))
    }
    const toTarget = (other: NodeId): Target => ({ address: '127.0.0.1', port: NODES.indexOf(other) })
    const sharing = new RunTimeSharing({ rpc: { call } as unknown as RpcClient, timers: this.timers, node, toTarget, listNodes: () => NODES, readOwn: () => this.own.get(node) ?? null })
    sharing.start()
    return sharing
  }
}

t.test('the leader sends its run times to the others, also beside a process that does not know the method', async (t) => {
  const group = new Group()
  const [n1, n2] = NODES as [NodeId, NodeId]
  group.timers.advance(20_000)
  t.same(group.calls, [], 'nothing is sent without a leader')
  group.own.set(n1, createCopy(3, 2_000))
  group.timers.advance(6_000)
  t.same(group.calls, ['n1 fleet.run-times n2', 'n1 fleet.run-times n3'])
  t.same(group.sharing.get(n2)!.groups, createCopy(3, 2_000).groups)
  t.same(group.sharing.get(n1)!.groups, createCopy(3, 2_000).groups, 'a leader that is elected again has its own')
})

t.test('a leader that was replaced does not overwrite the run times of its successor', async (t) => {
  const group = new Group()
  const [n1, n2] = NODES as [NodeId, NodeId]
  group.sharing.get(n2)!.handleCopy(createCopy(4, 9_000))
  group.own.set(n1, createCopy(3, 2_000))
  group.timers.advance(6_000)
  t.same(group.sharing.get(n2)!.groups, createCopy(4, 9_000).groups)
})

t.test('a copy that makes no sense is rejected and changes nothing', async (t) => {
  const sharing = new Group().sharing.get(NODES[0]!)!
  sharing.handleCopy(createCopy(1, 2_000))
  const [valid] = createCopy(2, 1).groups
  for (const part of [{ samples: -1 }, { samples: Number.NaN }, { runTimes: [] }, { runTimes: [-5] }, { weight: 'x' }, { work: null }]) {
    t.throws(() => sharing.handleCopy({ term: 2, groups: [{ ...valid, ...part }] }), `${JSON.stringify(part)}`)
  }
  t.throws(() => sharing.handleCopy({ term: 2, groups: Array.from({ length: 10_000 }, () => valid) }))
  t.same(sharing.groups, createCopy(1, 2_000).groups)
})
