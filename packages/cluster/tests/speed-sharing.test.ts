import { asId, IbisError, type EndpointId, type NodeId } from '@ibisstair/common'
import { SpeedEstimator } from '@ibisstair/estimation'
import type { RpcClient, Target } from '@ibisstair/rpc'
import { Metrics } from '@ibisstair/telemetry'
import { ManualTimerService } from '@ibisstair/timers'
import t from 'tap'
import { SPEEDS_METHOD, SpeedSharing } from '../src/index.ts'

const LEADER = asId<NodeId>('10.0.0.1:1')
const FOLLOWER = asId<NodeId>('10.0.0.2:1')
const SLOW = asId<EndpointId>('w0')
const MAX_BYTES_PER_ENDPOINT = 20

/** Returns the copy of a leader that has seen one slow endpoint among `count`. */
const createCopy = (count = 8): ReturnType<SpeedEstimator['toSnapshot']> => {
  const estimator = new SpeedEstimator()
  for (let job = 0; job < 5; job++) {
    for (let i = 0; i < count; i++) estimator.recordEnd({ endpoint: asId(`w${i}`), service: 's', queue: 'q', step: `j${job}`, run: `${i}`, runMs: i === 0 ? 5_000 : 3_000, nowMs: 1_000 * job })
  }
  return estimator.toSnapshot(5_000)
}

/** Control processes that call each other without a network. */
class Cluster {
  readonly timers = new ManualTimerService()
  readonly metrics = new Metrics({ node: 'n' })
  readonly nodes = new Map<NodeId, SpeedSharing>()

  add (node: NodeId): SpeedSharing {
    const call = async (target: Target, method: string, params: unknown): Promise<unknown> => {
      const receiver = this.nodes.get(asId<NodeId>(`${target.address}:${target.port}`))
      if (!receiver || method !== SPEEDS_METHOD) throw new IbisError('invalid-request', 'no such method')
      return receiver.handleCopy(JSON.parse(JSON.stringify(params)))
    }
    const toTarget = (peer: NodeId): Target => ({ address: peer.split(':')[0]!, port: Number(peer.split(':')[1]) }) as Target
    const sharing = new SpeedSharing({ rpc: { call } as unknown as RpcClient, toTarget, timers: this.timers, metrics: this.metrics })
    this.nodes.set(node, sharing)
    return sharing
  }
}

t.test('a new leader starts from the newest copy, and one without a copy knows nothing', async (t) => {
  const cluster = new Cluster()
  const leader = cluster.add(LEADER)
  const follower = cluster.add(FOLLOWER)
  t.equal(follower.createEstimator().getSpeed(SLOW, 0), null)
  leader.send(3, createCopy(), [FOLLOWER])
  await Promise.resolve()
  t.ok(follower.createEstimator().getSpeed(SLOW, 0)!.speed < 0.77)
  t.ok(leader.createEstimator().getSpeed(SLOW, 0)!.speed < 0.77, 'a leader that is elected again')
  follower.handleCopy({ term: 2, ids: '', speeds: [], confidences: '' })
  t.ok(follower.createEstimator().getSpeed(SLOW, 0), 'a late copy of an earlier leader is ignored')
})

t.test('a control process of an earlier build rejects the call, which is no error', async (t) => {
  const cluster = new Cluster()
  cluster.add(LEADER).send(3, createCopy(), [FOLLOWER])
  await new Promise(setImmediate)
  t.equal(cluster.metrics.counter('speeds.unshared'), 1)
})

t.test('a copy that can not be read is rejected and keeps the earlier one', async (t) => {
  const sharing = new Cluster().add(LEADER)
  sharing.handleCopy({ term: 1, ...createCopy() })
  const broken = [{ term: 2 }, { term: -1, ids: '', speeds: [], confidences: '' }, { term: 2, ids: 'w1 w2', speeds: [1_000], confidences: '9' }, { term: 2, ids: 'w1', speeds: [0.5], confidences: 'x' }, null]
  for (const params of broken) t.throws(() => sharing.handleCopy(params), /fleet.speeds/)
  t.ok(sharing.createEstimator().getSpeed(SLOW, 0)!.speed < 0.77)
})

t.test('a copy of 1,700 endpoints stays within its bound', async (t) => {
  const copy = createCopy(1_700)
  t.equal(copy.speeds.length, 1_700)
  t.ok(JSON.stringify({ term: 3, ...copy }).length <= MAX_BYTES_PER_ENDPOINT * 1_700)
})
