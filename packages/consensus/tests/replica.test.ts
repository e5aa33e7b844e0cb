import t from 'tap'
import { asId } from '@ibisstair/common'
import type { NodeId } from '@ibisstair/common'
import { RandomSource } from '@ibisstair/timers'
import { Replica } from '../src/index.ts'
import type { Effect, EncodedSnapshot, LogEntry, Mechanism, Member } from '../src/index.ts'
import { ReplicaCluster } from './support/replica-cluster.ts'

const createMembers = (count: number): Member[] =>
  Array.from({ length: count }, (_, i) => ({ node: asId<NodeId>(`n${i}`), incarnation: '1', role: 'voter', witness: false }))

const createCommandEntry = (index: number, term: number): LogEntry => ({ index, term, body: { type: 'command', command: `c${index}` } })

const createReplica = (members: readonly Member[], term: number, entries: readonly LogEntry[], disabled: readonly Mechanism[] = []): Replica => {
  const options = { group: 'g', node: asId<NodeId>('n0'), incarnation: '1', peers: members.map((member) => member.node), random: new RandomSource(1), disabled }
  const snapshot: EncodedSnapshot = { index: 0, term: 0, members, data: '' }
  return new Replica(options, { hardState: { term, votedFor: null }, snapshot, entries }, 0)
}

const header = { fromIncarnation: '1', toIncarnation: '1' } as const
const n1 = asId<NodeId>('n1')
const n2 = asId<NodeId>('n2')

const listSentTypes = (effects: readonly Effect[]): string[] =>
  effects.flatMap((effect) => effect.type === 'send' ? [effect.message.type] : [])

/** Elects the replica with a vote of n1 and marks its first entry as persisted. */
const elect = (replica: Replica, term: number): void => {
  for (let at = 100; at <= 2000; at += 100) replica.step({ type: 'tick' }, at)
  replica.step({ type: 'message', from: n1, message: { type: 'pre-vote-reply', ...header, term, granted: true } }, 2000)
  replica.step({ type: 'message', from: n1, message: { type: 'vote-reply', ...header, term, granted: true } }, 2000)
  replica.step({ type: 'persisted', sequence: 1 }, 2000)
}

const isolateNode = (cluster: ReplicaCluster, i: number): void => cluster.partition(cluster.nodes.map((_, other) => other === i ? 1 : 0))
const indexOfLeader = (cluster: ReplicaCluster): number => cluster.nodes.indexOf(cluster.leaders[0]!)

t.test('a leader does not commit an entry of an earlier term by counting replicas', async (t) => {
  const commits = (disabled: readonly Mechanism[]): Effect[] => {
    const replica = createReplica(createMembers(3), 2, [createCommandEntry(1, 1), createCommandEntry(2, 2)], disabled)
    elect(replica, 3)
    t.equal(replica.getStatus(2000).role, 'leader')
    const message = { type: 'append-reply', ...header, term: 3, ok: true, prevIndex: 1, matchIndex: 2, diskFull: false, sentAt: 2000 } as const
    return replica.step({ type: 'message', from: n1, message }, 2010).filter((effect) => effect.type === 'commit')
  }
  t.same(commits([]), [])
  t.same(commits(['current-term-commit']), [{ type: 'commit', index: 2 }])
})

t.test('a follower with a live leader ignores a vote request unless it is part of a leadership transfer', async (t) => {
  const grants = (disabled: readonly Mechanism[], transfer: boolean): boolean => {
    const replica = createReplica(createMembers(3), 1, [], disabled)
    replica.step({ type: 'message', from: n1, message: { type: 'append', ...header, term: 1, prevIndex: 0, prevTerm: 0, commitIndex: 0, entries: [], sentAt: 0 } }, 10)
    const effects = replica.step({ type: 'message', from: n2, message: { type: 'vote', ...header, term: 2, lastIndex: 9, lastTerm: 1, transfer } }, 20)
    return effects.some((effect) => effect.type === 'send' && effect.message.type === 'vote-reply' && effect.message.granted)
  }
  t.notOk(grants([], false))
  t.ok(grants([], true))
  t.ok(grants(['lease-check'], false))
})

t.test('a vote request for another incarnation gets no vote', async (t) => {
  const grants = (toIncarnation: string, disabled: readonly Mechanism[]): boolean => {
    const replica = createReplica(createMembers(3), 1, [], disabled)
    const message = { type: 'vote', term: 2, fromIncarnation: '1', toIncarnation, lastIndex: 9, lastTerm: 1, transfer: false } as const
    return listSentTypes(replica.step({ type: 'message', from: n2, message }, 20)).includes('vote-reply')
  }
  t.ok(grants('1', []))
  t.notOk(grants('older', []))
  t.ok(grants('older', ['incarnation-check']))
})

t.test('a voter whose removal is not committed campaigns, because the remaining voters may need its entries', async (t) => {
  const members = createMembers(3)
  const entries: LogEntry[] = [createCommandEntry(1, 1), { index: 2, term: 1, body: { type: 'members', members: members.slice(1) } }]
  const replica = createReplica(members, 1, entries)
  const sent: string[] = []
  for (let at = 100; at <= 2000; at += 100) sent.push(...listSentTypes(replica.step({ type: 'tick' }, at)))
  t.ok(sent.includes('pre-vote'))
})

t.test('a restarted voter campaigns when it is a member only in a configuration between the snapshot and its removal', async (t) => {
  const members = createMembers(3)
  const entries: LogEntry[] = [
    { index: 1, term: 1, body: { type: 'members', members: members.slice(0, 2) } },
    { index: 2, term: 1, body: { type: 'members', members: members.slice(1, 2) } }
  ]
  const replica = createReplica(members.slice(1), 1, entries)
  const sent: string[] = []
  for (let at = 100; at <= 2000; at += 100) sent.push(...listSentTypes(replica.step({ type: 'tick' }, at)))
  t.ok(sent.includes('pre-vote'))
})

t.test('a received snapshot keeps stored entries that are not applied yet', async (t) => {
  const members = createMembers(3)
  const replica = createReplica(members, 1, [createCommandEntry(1, 1), createCommandEntry(2, 1), createCommandEntry(3, 1)])
  const effects = replica.step({ type: 'snapshot-saved', snapshot: { index: 3, term: 1, members, data: 'x' } }, 10)
  t.same(effects, [{ type: 'commit', index: 3 }])
  t.ok(replica.getEntry(1))
})

t.test('a full disk drops entries that were not stored and keeps stored ones', async (t) => {
  const replica = createReplica(createMembers(3), 2, [createCommandEntry(1, 1)])
  elect(replica, 3)
  const accepted = replica.step({ type: 'propose', id: 7, command: 'x' }, 2010)
  t.same(accepted.filter((effect) => effect.type === 'accepted'), [{ type: 'accepted', id: 7, index: 3, term: 3 }])
  t.same(listSentTypes(accepted), [], 'an entry is sent only after it was stored')
  t.same(replica.step({ type: 'append-failed' }, 2020), [{ type: 'dropped', fromIndex: 3 }])
  t.same(replica.step({ type: 'propose', id: 8, command: 'y' }, 2030), [{ type: 'refused', id: 8, reason: 'disk-full' }])
  t.equal(replica.getStatus(2030).lastIndex, 2)
})

t.test('a follower that was partitioned does not depose the leader when it reconnects', async (t) => {
  const run = (disabled: readonly Mechanism[]): number => {
    const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed: 5, disabled })
    cluster.run(5000)
    const { term } = cluster.statusOf(cluster.leaders[0]!)!
    isolateNode(cluster, (indexOfLeader(cluster) + 1) % 3)
    cluster.run(30_000)
    cluster.healNetwork()
    cluster.run(5000)
    return cluster.statusOf(cluster.leaders[0]!)!.term - term
  }
  t.equal(run([]), 0)
  t.ok(run(['pre-vote']) > 0)
})

t.test('a leader without a quorum steps down within an election timeout', async (t) => {
  const run = (disabled: readonly Mechanism[]): string => {
    const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed: 6, disabled })
    cluster.run(5000)
    const leader = cluster.leaders[0]!
    isolateNode(cluster, indexOfLeader(cluster))
    cluster.run(1500)
    t.equal(cluster.statusOf(leader)!.hasQuorum, false)
    cluster.run(1000)
    return cluster.statusOf(leader)!.role
  }
  t.not(run([]), 'leader')
  t.equal(run(['quorum-check']), 'leader')
})

t.test('a follower that was frozen reads waiting messages before it campaigns', async (t) => {
  const run = (disabled: readonly Mechanism[]): number => {
    const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed: 7, disabled })
    cluster.run(5000)
    const follower = cluster.node(indexOfLeader(cluster) + 1)
    const before = follower.replica!.counters.preVotes
    cluster.freeze(follower, 8000)
    // Only the clock advances for the frozen process: no message of the leader arrives.
    isolateNode(cluster, cluster.nodes.indexOf(follower))
    cluster.run(7900)
    cluster.healNetwork()
    cluster.run(400)
    return follower.replica!.counters.preVotes - before
  }
  t.equal(run([]), 0)
  t.ok(run(['freeze-check']) > 0)
})

t.test('a leader that resumes after a freeze steps down, and no committed entry is lost', async (t) => {
  const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed: 8 })
  cluster.run(5000)
  const old = cluster.leaders[0]!
  cluster.freeze(old, 10_000)
  cluster.run(9000)
  const next = cluster.leaders.find((node) => node !== old)!
  cluster.propose(next, 'while frozen')
  cluster.run(3000)
  t.equal(cluster.statusOf(old)!.role, 'follower')
  t.equal(cluster.statusOf(old)!.commitIndex, cluster.history.lastIndex)
})

t.test('clock jumps on each node in turn leave one leader and lose no command', async (t) => {
  const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed: 9 })
  cluster.run(5000)
  for (const [i, ms] of [1e9, -1e9, 3e6, -5e5, 4000, -4000].entries()) {
    cluster.jumpClock(cluster.node(i), ms)
    cluster.run(8000)
    t.equal(cluster.leaders.length, 1)
    cluster.propose(cluster.leaders[0]!, i)
    cluster.run(1000)
    t.equal(cluster.history.acknowledgedCount, i + 1)
  }
})

t.test('a leader counts its own copy of an entry only once it is stored', async (t) => {
  const commits = (disabled: readonly Mechanism[]): Effect[] => {
    const replica = createReplica(createMembers(1), 0, [], disabled)
    for (let at = 100; at <= 2000; at += 100) replica.step({ type: 'tick' }, at)
    replica.step({ type: 'persisted', sequence: 1 }, 2000)
    replica.step({ type: 'propose', id: 1, command: 'stored' }, 2000)
    replica.step({ type: 'propose', id: 2, command: 'not stored' }, 2000)
    return replica.step({ type: 'persisted', sequence: 2 }, 2010)
  }
  t.same(commits([]), [{ type: 'commit', index: 2 }])
  t.same(commits(['persisted-commit']), [{ type: 'commit', index: 3 }])
})

t.test('voters that lose their disks one after the other return and are each promoted once', async (t) => {
  const cluster = new ReplicaCluster({ voters: 5, witnesses: 0, seed: 11 })
  cluster.run(5000)
  for (const [i, node] of cluster.nodes.entries()) {
    cluster.propose(cluster.leaders[0]!, `before ${i}`)
    cluster.run(1000)
    const before = cluster.history.lastIndex
    cluster.loseDisk(node)
    cluster.start(node)
    cluster.run(8000)
    const member = cluster.history.members.find((member) => member.node === node.id)
    t.match(member, { incarnation: node.incarnation, role: 'voter' })
    t.ok(cluster.history.lastIndex - before <= 4, 'one replacement, one promotion and the entries of at most two elections')
  }
  t.equal(cluster.history.acknowledgedCount, 5)
})

t.test('a disk loss directly after another voter was replaced leaves a majority with all entries', async (t) => {
  const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed: 12 })
  cluster.run(5000)
  cluster.propose(cluster.leaders[0]!, 'kept')
  cluster.run(1000)
  const first = cluster.node(indexOfLeader(cluster) + 1)
  const second = cluster.node(indexOfLeader(cluster) + 2)
  cluster.loseDisk(first)
  cluster.start(first)
  while (!cluster.history.members.some((member) => member.node === first.id && member.incarnation === first.incarnation && member.role === 'voter')) cluster.run(10)
  t.ok(cluster.canLoseDisk(second))
  cluster.loseDisk(second)
  cluster.start(second)
  cluster.run(10_000)
  t.equal(cluster.history.members.filter((member) => member.role === 'voter').length, 3)
  cluster.propose(cluster.leaders[0]!, 'later')
  cluster.run(1000)
  t.equal(cluster.history.acknowledgedCount, 2)
})

t.test('a voter that lost its state but keeps its incarnation causes the loss of committed entries', async (t) => {
  const run = (keepIncarnation: boolean): void => {
    for (let seed = 0; seed < 30; seed++) {
      const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed, keepIncarnation })
      cluster.run(5000)
      const leader = cluster.leaders[0]!
      isolateNode(cluster, (indexOfLeader(cluster) + 1) % 3)
      cluster.propose(leader, 'kept')
      cluster.run(500)
      const holder = cluster.node(indexOfLeader(cluster) + 2)
      cluster.crash(leader)
      cluster.loseDisk(holder)
      cluster.start(holder)
      cluster.healNetwork()
      cluster.run(8000)
      for (const other of cluster.leaders) cluster.propose(other, 'other')
      cluster.run(1000)
      cluster.start(leader)
      cluster.run(20_000)
      t.equal(cluster.leaders.length, 1, `seed ${seed}`)
    }
  }
  t.throws(() => run(true), /committed/)
  t.doesNotThrow(() => run(false))
})

t.test('a witness leads only until another voter has caught up', async (t) => {
  const cluster = new ReplicaCluster({ voters: 2, witnesses: 1, seed: 13 })
  cluster.run(10_000)
  const leader = cluster.leaders[0]!
  t.not(leader.id, 'n2')
  const other = cluster.node(1 - indexOfLeader(cluster))
  isolateNode(cluster, cluster.nodes.indexOf(other))
  cluster.propose(leader, 'only the witness has this')
  cluster.run(1000)
  t.equal(cluster.history.acknowledgedCount, 1)
  cluster.crash(leader)
  cluster.healNetwork()
  cluster.run(15_000)
  t.same(cluster.leaders.map((node) => node.id), [other.id])
  t.equal(cluster.statusOf(other)!.commitIndex, cluster.history.lastIndex)
  t.ok(cluster.node(2).replica!.counters.transfers > 0)
})

t.test('a follower that is far behind catches up with a snapshot in parts', async (t) => {
  const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed: 14 })
  cluster.run(5000)
  const follower = cluster.node(indexOfLeader(cluster) + 1)
  isolateNode(cluster, cluster.nodes.indexOf(follower))
  for (let i = 0; i < 100; i++) {
    cluster.propose(cluster.leaders[0]!, i)
    cluster.run(20)
  }
  cluster.healNetwork()
  cluster.run(5000)
  t.equal(follower.replica!.counters.snapshotsInstalled, 1)
  t.equal(cluster.statusOf(follower)!.commitIndex, cluster.history.lastIndex)
})

t.test('a follower with a full disk is queried once per heartbeat and catches up when it has space', async (t) => {
  const cluster = new ReplicaCluster({ voters: 3, witnesses: 0, seed: 15 })
  cluster.run(5000)
  const follower = cluster.node(indexOfLeader(cluster) + 1)
  cluster.setFull(follower, true)
  cluster.propose(cluster.leaders[0]!, 'first')
  cluster.run(1000)
  const before = cluster.sentMessages
  cluster.run(3000)
  t.ok(cluster.sentMessages - before <= 4 * 11, `${cluster.sentMessages - before} messages in 3 s`)
  t.equal(cluster.history.acknowledgedCount, 1)
  cluster.setFull(follower, false)
  cluster.run(1000)
  t.equal(cluster.statusOf(follower)!.commitIndex, cluster.history.lastIndex)
})

t.test('only one membership change is in progress at a time, and it keeps an active majority', async (t) => {
  const replica = createReplica(createMembers(3), 2, [])
  elect(replica, 3)
  const reply = { type: 'append-reply', ...header, term: 3, ok: true, prevIndex: 0, matchIndex: 1, diskFull: false, sentAt: 2000 } as const
  const refusal = (id: number, node: NodeId, at: number): string | undefined => {
    const effect = replica.step({ type: 'change', id, change: { type: 'remove', node } }, at).find((effect) => effect.type === 'refused')
    return effect?.type === 'refused' ? effect.reason : undefined
  }
  t.equal(refusal(1, n2, 2010), 'change-in-flight', 'no entry of this term is committed')
  replica.step({ type: 'message', from: n1, message: reply }, 2020)
  t.equal(refusal(2, n1, 2030), 'no-quorum', 'the remaining voter was not heard from')
  t.equal(refusal(3, n2, 2040), undefined)
  t.equal(refusal(4, n1, 2050), 'change-in-flight')
})
