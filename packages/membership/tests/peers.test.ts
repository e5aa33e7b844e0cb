import { asId, type NodeId } from '@ibisstair/common'
import { RandomSource } from '@ibisstair/timers'
import t from 'tap'
import { PeerDirectory } from '../src/index.ts'

const nodes = (...names: string[]): NodeId[] => names.map((name) => asId(name))
const [x, y] = nodes('x', 'y') as [NodeId, NodeId]

const createDirectory = (): PeerDirectory => {
  const peers = new PeerDirectory(new RandomSource(1))
  peers.handle({ type: 'peers', peers: [x, y] }, 0)
  return peers
}

t.test('a failing peer is tried after the healthy ones, with a growing delay', async (t) => {
  const peers = createDirectory()
  t.equal(peers.pick([x, y], 0), 'x')
  const delays: number[] = []
  let now = 0
  for (let i = 0; i < 8; i++) {
    const [change] = peers.handle({ type: 'call-ended', peer: x, ok: false }, now)
    t.match(change, { type: 'peer-down', peer: 'x' })
    if (change?.type !== 'peer-down') return
    delays.push(change.retryAtMs - now)
    t.same(peers.rank([x, y], change.retryAtMs - 1), ['y'])
    t.same(peers.rank([x, y], change.retryAtMs), ['y', 'x'])
    now = change.retryAtMs
  }
  delays.forEach((delay, i) => {
    const maxDelay = Math.min(100 * 2 ** i, 5_000)
    t.ok(delay >= maxDelay / 2 && delay <= maxDelay, `delay ${i} is ${delay}`)
  })
  t.match(peers.handle({ type: 'call-ended', peer: x, ok: true }, now), [{ type: 'peer-up' }])
  t.equal(peers.pick([x, y], now), 'x')
})

// Guards against connections that stay open for ever without carrying any data.
t.test('a call without progress resets the connections of the peer', async (t) => {
  const peers = createDirectory()
  peers.handle({ type: 'call-started', peer: x }, 0)
  peers.handle({ type: 'progress', peer: x }, 900)
  t.same(peers.handle({ type: 'tick' }, 1_899), [])
  t.match(peers.handle({ type: 'tick' }, 1_900), [{ type: 'reset-connections', peer: 'x' }, { type: 'peer-down', peer: 'x' }])
  t.same(peers.handle({ type: 'tick' }, 9_000), [], 'the connections are reset only once')
  t.same(peers.handle({ type: 'tick' }, 20_000), [], 'a peer without outstanding calls is not expected to make progress')
})

t.test('calls that fail together count as one failure', async (t) => {
  const peers = createDirectory()
  for (let i = 0; i < 5; i++) peers.handle({ type: 'call-started', peer: x }, 0)
  const changes = Array.from({ length: 5 }, () => peers.handle({ type: 'call-ended', peer: x, ok: false }, 10)).flat()
  t.equal(changes.length, 1)
})

t.test('the number of peers is bounded', async (t) => {
  const peers = new PeerDirectory(new RandomSource(1))
  const many = Array.from({ length: 300 }, (_, i) => asId<NodeId>(`n${i}`))
  peers.handle({ type: 'peers', peers: many }, 0)
  t.equal(peers.rank(many, 0).length, 256)
  t.equal(peers.ignoredCount, 44)
})
