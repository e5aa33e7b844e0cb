import { assertNever, invariant } from '@ibisstair/common'
import type { NodeId } from '@ibisstair/common'
import { getVoterTarget, planMembers, promoteLearner } from './automatic-membership.ts'
import type { MemberPlan, Peer } from './automatic-membership.ts'
import { ElapsedClock } from './clock.ts'
import {
  ELECTION_TIMEOUT_MAX_MS, ELECTION_TIMEOUT_MIN_MS, HEARTBEAT_MS, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_LOG_ENTRIES,
  MAX_UNCOMMITTED_BYTES, MAX_UNCOMMITTED_ENTRIES, SNAPSHOT_CHUNK_CHARS,
  START_TIMEOUT_MAX_MS, START_TIMEOUT_MIN_MS, TRAILING_BYTES, TRAILING_ENTRIES, WITNESS_TIMEOUT_FACTOR
} from './constants.ts'
import { IncomingSnapshot } from './incoming-snapshot.ts'
import { ReplicaLog } from './log.ts'
import { countVoterChanges, findMember, isMajority, isSameMember, listVoters, majorityValue, withLearner, withoutNode } from './members.ts'
import type { Message, MessageOf } from './messages.ts'
import { Peers } from './peers.ts'
import type { Progress } from './progress.ts'
import type { Effect, Mechanism, MemberChange, RefusalReason, ReplicaCounters, ReplicaEvent, ReplicaOptions, ReplicaState } from './replica-types.ts'
import type { EncodedSnapshot, LogEntry, Member, ReplicaStatus, Role } from './types.ts'

interface PendingAppend {
  readonly sequence: number
  lastIndex: number
}

type BodyOf<T extends Message> = Omit<T, 'term' | 'fromIncarnation' | 'toIncarnation'>
type MessageBody = Message extends infer M ? M extends Message ? BodyOf<M> : never : never

/**
 * One replica of a Raft group as a pure state machine: it takes events and the time and returns effects.
 * It follows Ongaro's dissertation (2014), with pre-vote, a lease check before votes and
 * single-server changes. Members are identified by node and incarnation: a node that lost its
 * state cannot vote or acknowledge as its earlier incarnation.
 */
export class Replica {
  readonly counters: ReplicaCounters = {
    elections: 0,
    preVotes: 0,
    elected: 0,
    steppedDown: 0,
    staleMessages: 0,
    wrongIncarnation: 0,
    ignoredVotes: 0,
    rejectedAppends: 0,
    lostBatches: 0,
    snapshotsSent: 0,
    snapshotsInstalled: 0,
    memberChanges: 0,
    refusedProposals: 0,
    refusedJoins: 0,
    replacedVoters: 0,
    droppedEntries: 0,
    transfers: 0
  }

  readonly #options: ReplicaOptions
  readonly #disabled: ReadonlySet<Mechanism>
  readonly #clock = new ElapsedClock()
  #effects: Effect[] = []

  #term: number
  #votedFor: NodeId | null
  #votedIncarnation: string | null
  #log: ReplicaLog
  #snapshot: EncodedSnapshot
  #commitIndex: number
  /** The highest index known to be committed; its entries may not be persisted on this replica yet. */
  #knownCommitIndex: number
  #persistedIndex: number
  #pendingAppends: PendingAppend[] = []
  #sequence = 0
  #diskFull = false

  #role: Role = 'follower'
  #leader: NodeId | null = null
  /** The leader seen in the current term, to assert that a term has at most one. */
  #knownLeaderOfTerm: NodeId | null = null
  /** The other replica that led last, as far as this one knows, and when it last heard from it. */
  #lastOtherLeader: NodeId | null = null
  #leaderContactAt = -Infinity
  #electionDeadline: number
  #votes = new Map<NodeId, boolean>()
  #campaignStartedAt = 0
  #incomingSnapshot: IncomingSnapshot | null = null

  readonly #peers = new Peers()
  #nextHeartbeatAt = 0
  #electedAt = 0
  /** During a leadership transfer, proposals are refused until this time. */
  #transferDeadline = -Infinity
  #hasKnownLeader = false

  constructor (options: ReplicaOptions, state: ReplicaState, nowMs: number) {
    this.#options = options
    this.#disabled = new Set(options.disabled)
    this.#term = state.hardState.term
    this.#votedFor = state.hardState.votedFor
    this.#votedIncarnation = state.hardState.votedIncarnation ?? null
    this.#snapshot = state.snapshot
    this.#log = new ReplicaLog(state.snapshot, state.entries)
    this.#commitIndex = state.snapshot.index
    this.#knownCommitIndex = state.snapshot.index
    this.#persistedIndex = this.#log.lastIndex
    invariant(this.#term >= this.#log.lastTerm, 'the stored term is at least the last term of the log', { term: this.#term, lastTerm: this.#log.lastTerm })
    this.#clock.advance(nowMs)
    this.#electionDeadline = this.#now + this.#randomElectionTimeout()
  }

  step (event: ReplicaEvent, nowMs: number): Effect[] {
    this.#advanceClock(nowMs)
    this.#handle(event)
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  getStatus (nowMs: number): ReplicaStatus {
    return {
      group: this.#options.group,
      node: this.#options.node,
      incarnation: this.#options.incarnation,
      role: this.#role,
      term: this.#term,
      leader: this.#leader,
      commitIndex: this.#commitIndex,
      lastIndex: this.#log.lastIndex,
      members: this.#members,
      hasQuorum: this.#role === 'leader' && this.#hasQuorum(this.#clock.toElapsed(nowMs), ELECTION_TIMEOUT_MIN_MS),
      sinceOtherLeaderMs: this.#clock.toElapsed(nowMs) - this.#leaderContactAt
    }
  }

  get isDiskFull (): boolean {
    return this.#diskFull
  }

  get snapshotIndex (): number {
    return this.#snapshot.index
  }

  /** Returns the estimated bytes of the log after the newest snapshot. */
  getBytesAfterSnapshot (): number {
    return this.#log.bytesAfter(this.#snapshot.index)
  }

  /** Whether this replica votes in a configuration that is in force or may come into force. */
  get hasVote (): boolean {
    return this.#log.listMembersFrom(this.#commitIndex).some((members) => listVoters(members).some((member) => isSameMember(member, this.#options)))
  }

  getEntry (index: number): LogEntry | undefined {
    return this.#log.get(index)
  }

  /** Creates a snapshot from the encoded state of the state machine at a committed index. */
  createSnapshot (index: number, data: string): EncodedSnapshot {
    const term = this.#log.termAt(index)
    invariant(term !== null && index <= this.#commitIndex, 'a snapshot covers committed entries in the log', { index, commit: this.#commitIndex })
    return { index, term, members: this.#log.membersAt(index), data }
  }

  get #now (): number {
    return this.#clock.now()
  }

  get #members (): readonly Member[] {
    return this.#log.configuration.members
  }

  get #self (): Member | undefined {
    return this.#members.find((member) => isSameMember(member, this.#options))
  }

  #isEnabled (mechanism: Mechanism): boolean {
    return !this.#disabled.has(mechanism)
  }

  #advanceClock (nowMs: number): void {
    const elapsedMs = this.#clock.advance(nowMs)
    // After the process was frozen, messages of a live leader may still be unread.
    if (elapsedMs >= ELECTION_TIMEOUT_MIN_MS && this.#isEnabled('freeze-check')) this.#electionDeadline = Math.max(this.#electionDeadline, this.#now + this.#randomElectionTimeout())
  }

  #handle (event: ReplicaEvent): void {
    switch (event.type) {
      case 'tick': return this.#tick()
      case 'message': return this.#handleMessage(event.from, event.message)
      case 'propose': return this.#propose(event.id, { type: 'command', command: event.command })
      case 'change': return this.#changeMembers(event.id, event.change)
      case 'transfer': return this.#transferLeadership()
      case 'resign': return this.#resign()
      case 'persisted': return this.#handlePersisted(event.sequence)
      case 'append-failed': return this.#dropUnpersisted()
      case 'disk-writable': return this.#handleDiskWritable()
      case 'snapshot-saved': return this.#handleSnapshotSaved(event.snapshot)
      case 'snapshot-failed': {
        this.#incomingSnapshot = null
        return
      }
      default: return assertNever(event)
    }
  }

  // ---- time ----

  #tick (): void {
    if (this.#role === 'leader') this.#tickLeader()
    else if (this.#now >= this.#electionDeadline) this.#handleElectionTimeout()
  }

  #tickLeader (): void {
    if (this.#isEnabled('quorum-check') && this.#now - this.#electedAt >= ELECTION_TIMEOUT_MAX_MS && !this.#hasQuorum(this.#now, ELECTION_TIMEOUT_MAX_MS)) {
      this.#becomeFollower(this.#term, null)
      return
    }
    if (this.#self?.witness || this.#diskFull) this.#transferLeadership()
    this.#adjustMembers()
    if (this.#now < this.#nextHeartbeatAt) return
    this.#nextHeartbeatAt = this.#now + HEARTBEAT_MS
    for (const progress of this.#peers.values()) this.#sendHeartbeat(progress)
  }

  #handleElectionTimeout (): void {
    this.#electionDeadline = this.#now + this.#randomElectionTimeout()
    this.#leader = null
    this.#incomingSnapshot = null
    // A learner requests again, because the change that admitted it may have been lost with its leader.
    // With automatic membership, a voter may have been replaced while it was disconnected.
    if (this.#self?.role !== 'voter' || this.#options.minVoters !== undefined) this.#requestJoin()
    // A voter may campaign until its removal is known to be committed: it may be the only one with the entries that the
    // remaining voters need. With a full disk, the vote for itself could not be stored.
    if (!this.hasVote || this.#diskFull) {
      this.#role = 'follower'
      return
    }
    if (this.#isEnabled('pre-vote')) this.#startPreVote()
    else this.#startElection(false)
  }

  /**
   * A replica that has seen no leader since its start campaigns early, because all replicas may have
   * started together. The others refuse the pre-vote while they have a live leader.
   */
  #randomElectionTimeout (): number {
    const factor = this.#self?.witness ? WITNESS_TIMEOUT_FACTOR : 1
    const isStarting = !this.#hasKnownLeader && this.#isEnabled('pre-vote')
    const [min, max] = isStarting ? [START_TIMEOUT_MIN_MS, START_TIMEOUT_MAX_MS] : [ELECTION_TIMEOUT_MIN_MS, ELECTION_TIMEOUT_MAX_MS]
    return factor * this.#options.random.int(min, max)
  }

  #requestJoin (): void {
    for (const peer of this.#options.peers) {
      if (peer !== this.#options.node) this.#send(peer, '', { type: 'join' })
    }
  }

  // ---- elections ----

  #startPreVote (): void {
    this.counters.preVotes += 1
    this.#role = 'pre-candidate'
    this.#votes = new Map([[this.#options.node, true]])
    if (this.#hasMajorityOfVotes()) {
      this.#startElection(false)
      return
    }
    for (const voter of this.#otherVoters()) {
      this.#sendTerm(voter.node, voter.incarnation, this.#term + 1, { type: 'pre-vote', lastIndex: this.#log.lastIndex, lastTerm: this.#log.lastTerm })
    }
  }

  #startElection (transfer: boolean): void {
    this.counters.elections += 1
    this.#enterTerm(this.#term + 1)
    this.#role = 'candidate'
    this.#campaignStartedAt = this.#now
    this.#recordVote(this.#options.node, this.#options.incarnation)
    this.#votes = new Map([[this.#options.node, true]])
    this.#electionDeadline = this.#now + this.#randomElectionTimeout()
    if (this.#hasMajorityOfVotes()) {
      this.#becomeLeader()
      return
    }
    for (const voter of this.#otherVoters()) {
      this.#send(voter.node, voter.incarnation, { type: 'vote', lastIndex: this.#log.lastIndex, lastTerm: this.#log.lastTerm, transfer })
    }
  }

  #otherVoters (): Member[] {
    return listVoters(this.#members).filter((member) => member.node !== this.#options.node)
  }

  #hasMajorityOfVotes (): boolean {
    const granted = listVoters(this.#members).filter((member) => this.#votes.get(member.node))
    return isMajority(granted.length, this.#members)
  }

  #handlePreVote (from: NodeId, message: MessageOf<'pre-vote'>): void {
    const granted = message.term > this.#term && !this.#hasLiveLeader() && this.#isUpToDate(message.lastIndex, message.lastTerm)
    this.#sendTerm(from, message.fromIncarnation, granted ? message.term : this.#term, { type: 'pre-vote-reply', granted })
  }

  #handleVote (from: NodeId, message: MessageOf<'vote'>): void {
    // Unless the leader requested the election, a candidate must not depose a live leader.
    if (this.#isEnabled('lease-check') && !message.transfer && this.#hasLiveLeader()) {
      this.counters.ignoredVotes += 1
      return
    }
    if (message.term > this.#term) this.#becomeFollower(message.term, null)
    const isVoteAvailable = this.#votedFor === null || (this.#votedFor === from && this.#votedIncarnation === message.fromIncarnation)
    const granted = message.term === this.#term && (isVoteAvailable || !this.#isEnabled('single-vote')) && this.#isUpToDate(message.lastIndex, message.lastTerm)
    if (granted) {
      this.#recordVote(from, message.fromIncarnation)
      this.#electionDeadline = this.#now + this.#randomElectionTimeout()
    }
    this.#send(from, message.fromIncarnation, { type: 'vote-reply', granted })
  }

  #handleVoteReply (from: NodeId, message: MessageOf<'pre-vote-reply'> | MessageOf<'vote-reply'>): void {
    const voter = findMember(this.#members, from)
    if (voter?.role !== 'voter' || (voter.incarnation !== message.fromIncarnation && this.#isEnabled('incarnation-check'))) {
      this.counters.wrongIncarnation += 1
      return
    }
    const expectedRole = message.type === 'vote-reply' ? 'candidate' : 'pre-candidate'
    const expectedTerm = message.type === 'vote-reply' ? this.#term : this.#term + 1
    if (this.#role !== expectedRole || !message.granted || message.term !== expectedTerm) return
    this.#votes.set(from, true)
    if (!this.#hasMajorityOfVotes()) return
    if (this.#role === 'candidate') this.#becomeLeader()
    else this.#startElection(false)
  }

  #isUpToDate (lastIndex: number, lastTerm: number): boolean {
    if (!this.#isEnabled('log-check')) return true
    return lastTerm > this.#log.lastTerm || (lastTerm === this.#log.lastTerm && lastIndex >= this.#log.lastIndex)
  }

  #hasLiveLeader (): boolean {
    if (this.#role === 'leader') return this.#hasQuorum(this.#now, ELECTION_TIMEOUT_MIN_MS)
    return this.#leader !== null && this.#now - this.#leaderContactAt < ELECTION_TIMEOUT_MIN_MS
  }

  #recordVote (node: NodeId, incarnation: string): void {
    const isAllowed = this.#votedFor === null || (this.#votedFor === node && this.#votedIncarnation === incarnation)
    invariant(isAllowed || !this.#isEnabled('single-vote'), 'a replica votes once in a term', { term: this.#term, votedFor: this.#votedFor, node })
    this.#votedFor = node
    this.#votedIncarnation = incarnation
    this.#saveHardState()
  }

  // ---- roles ----

  #enterTerm (term: number): void {
    invariant(term > this.#term, 'the term increases', { from: this.#term, to: term })
    this.#term = term
    this.#votedFor = null
    this.#votedIncarnation = null
    this.#leader = null
    this.#knownLeaderOfTerm = null
    this.#incomingSnapshot = null
  }

  #becomeFollower (term: number, leader: NodeId | null): void {
    if (term > this.#term) {
      this.#enterTerm(term)
      this.#saveHardState()
    }
    if (this.#role === 'leader') this.counters.steppedDown += 1
    if (this.#role !== 'follower') this.#electionDeadline = this.#now + this.#randomElectionTimeout()
    this.#role = 'follower'
    this.#leader = leader
    if (leader !== null) this.#hasKnownLeader = true
    this.#peers.clear()
    this.#transferDeadline = -Infinity
  }

  #becomeLeader (): void {
    this.#hasKnownLeader = true
    this.#recordLeaderOfTerm(this.#options.node)
    this.counters.elected += 1
    this.#role = 'leader'
    this.#leader = this.#options.node
    this.#electedAt = this.#now
    this.#nextHeartbeatAt = this.#now + HEARTBEAT_MS
    this.#transferDeadline = -Infinity
    this.#peers.clear()
    this.#updatePeers()
    for (const node of this.#votes.keys()) {
      const progress = this.#peers.get(node)
      if (progress) progress.lastContactAt = this.#campaignStartedAt
    }
    // Entries of earlier terms are committed only together with an entry of this term.
    if (!this.#diskFull) this.#appendAsLeader({ type: 'noop' })
    for (const progress of this.#peers.values()) this.#sendHeartbeat(progress)
  }

  #recordLeaderOfTerm (node: NodeId): void {
    invariant(this.#knownLeaderOfTerm === null || this.#knownLeaderOfTerm === node, 'a term has one leader', { term: this.#term, first: this.#knownLeaderOfTerm, second: node })
    this.#knownLeaderOfTerm = node
  }

  #hasQuorum (now: number, withinMs: number): boolean {
    const contactAt = majorityValue(this.#members, (member) => {
      if (isSameMember(member, this.#options)) return now
      return this.#peers.getContactAt(member.node)
    })
    return now - contactAt <= withinMs
  }

  // ---- messages ----

  #handleMessage (from: NodeId, message: Message): void {
    if (message.type === 'join') {
      this.#handleJoin(from, message.fromIncarnation)
      return
    }
    if (message.toIncarnation !== this.#options.incarnation && this.#isEnabled('incarnation-check')) {
      this.counters.wrongIncarnation += 1
      return
    }
    switch (message.type) {
      case 'pre-vote': return this.#handlePreVote(from, message)
      case 'vote': return this.#handleVote(from, message)
      case 'pre-vote-reply': {
        if (!message.granted && message.term > this.#term) this.#becomeFollower(message.term, null)
        return this.#handleVoteReply(from, message)
      }
      default: return this.#handleTermMessage(from, message)
    }
  }

  #handleTermMessage (from: NodeId, message: Exclude<Message, MessageOf<'pre-vote' | 'vote' | 'pre-vote-reply' | 'join'>>): void {
    if (message.term > this.#term) this.#becomeFollower(message.term, null)
    if (message.term < this.#term) {
      this.counters.staleMessages += 1
      this.#informStaleLeader(from, message)
      return
    }
    switch (message.type) {
      case 'vote-reply': return this.#handleVoteReply(from, message)
      case 'append': {
        this.#followLeader(from)
        return this.#handleAppend(from, message)
      }
      case 'snapshot': {
        this.#followLeader(from)
        return this.#handleSnapshotPart(from, message)
      }
      case 'append-reply': return this.#handleAppendReply(from, message)
      case 'snapshot-reply': return this.#handleSnapshotReply(from, message)
      case 'timeout-now': return this.#handleTimeoutNow(from)
      case 'resign': return this.#handleResign(from, message)
      default: return assertNever(message)
    }
  }

  /** The reply carries the newer term, which makes a deposed leader step down. */
  #informStaleLeader (from: NodeId, message: Message): void {
    if (message.type === 'append') {
      this.#send(from, message.fromIncarnation, { type: 'append-reply', ok: false, prevIndex: message.prevIndex, matchIndex: 0, diskFull: this.#diskFull, sentAt: message.sentAt })
    } else if (message.type === 'snapshot') {
      this.#send(from, message.fromIncarnation, { type: 'snapshot-reply', index: message.index, offset: 0, sentAt: message.sentAt })
    }
  }

  #followLeader (from: NodeId): void {
    this.#recordLeaderOfTerm(from)
    if (this.#role !== 'follower' || this.#leader !== from) this.#becomeFollower(this.#term, from)
    this.#lastOtherLeader = from
    this.#leaderContactAt = this.#now
    this.#electionDeadline = this.#now + this.#randomElectionTimeout()
  }

  #handleTimeoutNow (from: NodeId): void {
    if (this.#leader !== from || this.#self?.role !== 'voter' || this.#diskFull) return
    this.#startElection(true)
  }

  #send (to: NodeId, toIncarnation: string, body: MessageBody): void {
    this.#sendTerm(to, toIncarnation, this.#term, body)
  }

  #sendTerm (to: NodeId, toIncarnation: string, term: number, body: MessageBody): void {
    const message = { ...body, term, fromIncarnation: this.#options.incarnation, toIncarnation } as Message
    this.#effects.push({ type: 'send', to, message })
  }

  #saveHardState (): void {
    const state = { term: this.#term, votedFor: this.#votedFor, votedIncarnation: this.#votedIncarnation }
    this.#effects.push({ type: 'save-hard-state', state })
  }

  // ---- replication, follower ----

  #handleAppend (from: NodeId, message: MessageOf<'append'>): void {
    const reply = (ok: boolean, matchIndex: number): void => {
      this.#send(from, message.fromIncarnation, { type: 'append-reply', ok, prevIndex: message.prevIndex, matchIndex, diskFull: this.#diskFull, sentAt: message.sentAt })
    }
    if (message.prevIndex >= this.#log.baseIndex && this.#log.termAt(message.prevIndex) !== message.prevTerm) {
      this.counters.rejectedAppends += 1
      reply(false, this.#findMatchIndexHint(message.prevIndex))
      return
    }
    const matchIndex = this.#appendFromLeader(message.entries, message.prevIndex)
    this.#knownCommitIndex = Math.max(this.#knownCommitIndex, Math.min(message.commitIndex, matchIndex))
    this.#advanceCommit(this.#knownCommitIndex)
    reply(true, Math.max(matchIndex, this.#commitIndex))
  }

  /** Skips the whole conflicting term, so that a long divergence is resolved in few messages. */
  #findMatchIndexHint (prevIndex: number): number {
    if (prevIndex > this.#log.lastIndex) return this.#log.lastIndex
    const term = this.#log.termAt(prevIndex)
    let index = prevIndex
    while (index > this.#knownCommitIndex && this.#log.termAt(index) === term) index -= 1
    return index
  }

  /** Returns the last index at which this log is known to match the leader's log. */
  #appendFromLeader (entries: readonly LogEntry[], prevIndex: number): number {
    const firstNewPosition = entries.findIndex((entry) => entry.index > this.#log.baseIndex && this.#log.termAt(entry.index) !== entry.term)
    const newEntries = firstNewPosition < 0 ? [] : entries.slice(firstNewPosition)
    const first = newEntries[0]
    if (!first) return prevIndex + entries.length
    if (first.index <= this.#log.lastIndex) this.#truncateFrom(first.index)
    if (this.#diskFull) return first.index - 1
    this.#appendEntries(newEntries)
    return this.#log.lastIndex
  }

  #truncateFrom (index: number): void {
    invariant(index > this.#knownCommitIndex, 'a committed entry is never overwritten', { index, commit: this.#knownCommitIndex, node: this.#options.node })
    this.#log.truncateFrom(index)
    this.#persistedIndex = Math.min(this.#persistedIndex, index - 1)
    for (const pending of this.#pendingAppends) pending.lastIndex = Math.min(pending.lastIndex, index - 1)
  }

  #appendEntries (entries: readonly LogEntry[]): void {
    for (const entry of entries) this.#log.append(entry)
    this.#sequence += 1
    this.#pendingAppends.push({ sequence: this.#sequence, lastIndex: this.#log.lastIndex })
    this.#effects.push({ type: 'append', entries, sequence: this.#sequence })
  }

  #handlePersisted (sequence: number): void {
    while (this.#pendingAppends[0] && this.#pendingAppends[0].sequence <= sequence) {
      this.#persistedIndex = Math.max(this.#persistedIndex, this.#pendingAppends.shift()!.lastIndex)
    }
    if (this.#role !== 'leader') {
      this.#advanceCommit(this.#knownCommitIndex)
      return
    }
    this.#advanceLeaderCommit()
    for (const progress of this.#peers.values()) this.#sendEntries(progress)
  }

  #advanceCommit (index: number): void {
    const next = this.#isEnabled('persisted-commit') ? Math.min(index, this.#persistedIndex) : index
    if (next <= this.#commitIndex) return
    this.#commitIndex = next
    this.#knownCommitIndex = Math.max(this.#knownCommitIndex, next)
    this.#effects.push({ type: 'commit', index: next })
  }

  /** Drops entries that were not persisted. They were not sent or acknowledged, so no other replica relies on them. */
  #dropUnpersisted (): void {
    this.#diskFull = true
    this.#pendingAppends = []
    if (this.#log.lastIndex === this.#persistedIndex) return
    this.counters.droppedEntries += this.#log.lastIndex - this.#persistedIndex
    this.#log.truncateFrom(this.#persistedIndex + 1)
    this.#knownCommitIndex = Math.min(this.#knownCommitIndex, this.#persistedIndex)
    this.#effects.push({ type: 'dropped', fromIndex: this.#persistedIndex + 1 })
    if (this.#role === 'leader') this.#updatePeers()
  }

  #handleDiskWritable (): void {
    this.#diskFull = false
    if (this.#role === 'leader' && this.#log.lastTerm !== this.#term) this.#appendAsLeader({ type: 'noop' })
  }

  // ---- replication, leader ----

  #propose (id: number, body: LogEntry['body']): void {
    const reason = this.#findRefusalReason()
    if (reason) {
      this.#refuse(id, reason)
      return
    }
    const entry = this.#appendAsLeader(body)
    this.#effects.push({ type: 'accepted', id, index: entry.index, term: entry.term })
  }

  #refuse (id: number, reason: RefusalReason): void {
    this.counters.refusedProposals += 1
    this.#effects.push({ type: 'refused', id, reason })
  }

  #findRefusalReason (): RefusalReason | null {
    if (this.#role !== 'leader') return 'not-leader'
    if (this.#diskFull) return 'disk-full'
    if (this.#now < this.#transferDeadline) return 'not-leader'
    if (!this.#hasQuorum(this.#now, ELECTION_TIMEOUT_MIN_MS)) return 'no-quorum'
    const uncommitted = this.#log.lastIndex - this.#commitIndex
    const isFull = uncommitted >= MAX_UNCOMMITTED_ENTRIES || this.#log.lastIndex - this.#log.baseIndex >= MAX_LOG_ENTRIES
    return isFull || this.#log.bytesAfter(this.#commitIndex) >= MAX_UNCOMMITTED_BYTES ? 'overloaded' : null
  }

  #appendAsLeader (body: LogEntry['body']): LogEntry {
    const entry = { index: this.#log.lastIndex + 1, term: this.#term, body }
    this.#appendEntries([entry])
    if (body.type === 'members') this.#updatePeers()
    return entry
  }

  #updatePeers (): void {
    this.#peers.update(this.#members, this.#options.node, this.#persistedIndex + 1, this.#log.lastIndex, this.#now)
  }

  #sendHeartbeat (progress: Progress): void {
    if (progress.isOverdue(this.#now)) {
      this.counters.lostBatches += 1
      if (progress.mode === 'snapshot') progress.clearInflight()
      else progress.probeFrom(progress.matchIndex + 1)
    }
    const sent = this.#sendEntries(progress)
    if (!sent) this.#sendAppend(progress, [])
  }

  /** Sends persisted entries within the window; returns whether a message was sent. */
  #sendEntries (progress: Progress): boolean {
    if (progress.diskFull) return false
    if (progress.nextIndex <= this.#log.baseIndex && progress.mode !== 'snapshot') progress.startSnapshot(this.#snapshot.index)
    if (progress.mode === 'snapshot') return this.#sendSnapshotPart(progress)
    let sent = false
    while (!progress.isWindowFull && progress.nextIndex <= this.#persistedIndex) {
      const entries = this.#log.slice(progress.nextIndex, this.#persistedIndex, this.#options.maxBatchEntries ?? MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
      const lastIndex = progress.nextIndex + entries.length - 1
      this.#sendAppend(progress, entries)
      progress.recordSent(lastIndex, this.#now)
      sent = true
      if (progress.mode === 'probe') break
      progress.nextIndex = lastIndex + 1
    }
    return sent
  }

  #sendAppend (progress: Progress, entries: readonly LogEntry[]): void {
    const prevIndex = Math.max(this.#log.baseIndex, progress.nextIndex - 1)
    const prevTerm = this.#log.termAt(prevIndex)
    invariant(prevTerm !== null, 'the leader has the entry before those it sends', { prevIndex, last: this.#log.lastIndex })
    this.#send(progress.member.node, progress.member.incarnation, {
      type: 'append', prevIndex, prevTerm, commitIndex: this.#commitIndex, entries: [...entries], sentAt: this.#now
    } as BodyOf<MessageOf<'append'>>)
  }

  #findProgress (from: NodeId, incarnation: string): Progress | null {
    const progress = this.#role === 'leader' ? this.#peers.get(from) : undefined
    if (!progress) return null
    if (progress.member.incarnation === incarnation || !this.#isEnabled('incarnation-check')) return progress
    this.counters.wrongIncarnation += 1
    return null
  }

  #handleAppendReply (from: NodeId, message: MessageOf<'append-reply'>): void {
    const progress = this.#findProgress(from, message.fromIncarnation)
    if (!progress) return
    progress.lastContactAt = Math.max(progress.lastContactAt, message.sentAt)
    progress.diskFull = message.diskFull
    if (!message.ok) {
      this.#handleRejection(progress, message)
      return
    }
    invariant(message.matchIndex <= this.#log.lastIndex, 'a follower acknowledges only entries that the leader has', { match: message.matchIndex, last: this.#log.lastIndex })
    if (progress.mode === 'snapshot' && message.matchIndex < this.#log.baseIndex) return
    progress.acknowledge(message.matchIndex, this.#now)
    // An immediate retry would fail again; heartbeats query the follower until it has disk space.
    if (message.diskFull) progress.probeFrom(progress.matchIndex + 1)
    progress.updateCatchUpRound(this.#log.lastIndex, this.#now)
    this.#advanceLeaderCommit()
    this.#sendEntries(progress)
  }

  #handleRejection (progress: Progress, message: MessageOf<'append-reply'>): void {
    const isStale = message.prevIndex <= progress.matchIndex || (progress.mode === 'probe' && message.prevIndex !== progress.nextIndex - 1)
    if (isStale || progress.mode === 'snapshot') return
    progress.probeFrom(Math.min(message.prevIndex, message.matchIndex + 1))
    this.#sendHeartbeat(progress)
  }

  #advanceLeaderCommit (): void {
    if (this.#role !== 'leader') return
    const index = majorityValue(this.#members, (member) => {
      if (isSameMember(member, this.#options)) return this.#isEnabled('persisted-commit') ? this.#persistedIndex : this.#log.lastIndex
      return this.#peers.get(member.node)?.matchIndex ?? 0
    })
    if (index <= this.#commitIndex) return
    if (this.#isEnabled('current-term-commit') && this.#log.termAt(index) !== this.#term) return
    this.#advanceCommit(index)
    this.#stepDownWhenRemoved()
  }

  /** A leader that is no longer a voter transfers leadership, so that the voters need not wait for an election timeout. */
  #stepDownWhenRemoved (): void {
    const { index } = this.#log.configuration
    if (this.#self?.role === 'voter' || index > this.#commitIndex) return
    this.#transferLeadership()
    this.#becomeFollower(this.#term, null)
  }

  // ---- membership ----

  #canChangeMembers (): boolean {
    if (!this.#isEnabled('single-change')) return true
    // An entry of this term must be committed first; otherwise changes of two leaders could overlap.
    return this.#log.configuration.index <= this.#commitIndex && this.#log.termAt(this.#commitIndex) === this.#term
  }

  /** A configuration without a reachable majority could not be committed, nor replaced by a later one. */
  #hasActiveMajority (members: readonly Member[]): boolean {
    const active = listVoters(members).filter((member) => {
      if (isSameMember(member, this.#options)) return true
      return this.#now - this.#peers.getContactAt(member.node) < ELECTION_TIMEOUT_MIN_MS
    })
    return isMajority(active.length, members)
  }

  #appendMembers (plan: MemberPlan): LogEntry {
    const { members } = plan
    invariant(countVoterChanges(this.#members, members) <= 1, 'a change adds or removes one voter', { from: this.#members, to: members })
    this.counters.memberChanges += 1
    const peers = this.#listPeers()
    const entry = this.#appendAsLeader({ type: 'members', members })
    this.#effects.push({ type: 'members-appended', index: entry.index, plan, peers })
    return entry
  }

  #changeMembers (id: number, change: MemberChange): void {
    const reason = this.#findRefusalReason() ?? (this.#canChangeMembers() ? null : 'change-in-flight')
    if (reason) return this.#refuse(id, reason)
    const existing = findMember(this.#members, change.node)
    const isValid = change.type === 'add' ? !existing : existing && withoutNode(this.#members, change.node).some((member) => member.role === 'voter')
    if (!isValid) return this.#refuse(id, 'invalid-change')
    const members = change.type === 'add' ? withLearner(this.#members, change) : withoutNode(this.#members, change.node)
    if (!this.#hasActiveMajority(members)) return this.#refuse(id, 'no-quorum')
    const entry = this.#appendMembers({ members, reason: 'operator' })
    this.#effects.push({ type: 'accepted', id, index: entry.index, term: entry.term })
  }

  /** Readmits a node that lost its state as a learner, which is promoted once it has caught up. */
  #handleJoin (from: NodeId, incarnation: string): void {
    const existing = findMember(this.#members, from)
    if (this.#role !== 'leader' || existing?.incarnation === incarnation) return
    if (!existing) return this.#admitLearner(from, incarnation)
    const isAlive = this.#now - this.#peers.getContactAt(from) < ELECTION_TIMEOUT_MAX_MS
    const remaining = withoutNode(this.#members, from)
    if (existing.role === 'voter' && this.#promoteSubstitute()) return
    if (from === this.#options.node || isAlive || this.#findRefusalReason() || !this.#canChangeMembers() || !this.#hasActiveMajority(remaining)) {
      this.counters.refusedJoins += 1
      return
    }
    this.#appendMembers({ members: withLearner(this.#members, { node: from, incarnation, witness: existing.witness }), reason: 'node-lost-its-state' })
  }

  /** With automatic membership, a learner gets a vote before the node that lost its state gives its own up; that node asks again. */
  #promoteSubstitute (): boolean {
    const { minVoters } = this.#options
    const peers = this.#listPeers()
    if (minVoters === undefined || listVoters(this.#members).length > getVoterTarget(peers, minVoters)) return false
    if (this.#findRefusalReason() || !this.#canChangeMembers()) return false
    const plan = promoteLearner(this.#members, peers, 'node-lost-its-state')
    if (!plan || !this.#hasActiveMajority(plan.members)) return false
    this.#appendMembers(plan)
    return true
  }

  /** Admits a node outside the configuration as a learner, which does not count towards majorities. */
  #admitLearner (node: NodeId, incarnation: string): void {
    if (this.#options.minVoters === undefined) return
    if (this.#findRefusalReason() || !this.#canChangeMembers()) {
      this.counters.refusedJoins += 1
      return
    }
    this.#appendMembers({ members: withLearner(this.#members, { node, incarnation, witness: false }), reason: 'node-joins' })
  }

  #adjustMembers (): void {
    if (this.#diskFull || this.#now < this.#transferDeadline || !this.#canChangeMembers()) return
    const { minVoters } = this.#options
    const peers = this.#listPeers()
    const plan = minVoters === undefined ? promoteLearner(this.#members, peers, 'voter-missing') : planMembers(this.#members, peers, minVoters)
    if (!plan || !this.#hasActiveMajority(plan.members)) return
    if (listVoters(plan.members).length < listVoters(this.#members).length) this.counters.replacedVoters += 1
    this.#appendMembers(plan)
  }

  #listPeers (): Peer[] {
    return this.#peers.describe({ electedAt: this.#electedAt, formerLeader: this.#lastOtherLeader, formerLeaderAt: this.#leaderContactAt }, this.#now)
  }

  /** A leader has to be succeeded first; its successor then takes the vote away. */
  #resign (): void {
    if (this.#role === 'leader') return this.#transferLeadership()
    const leader = this.#leader === null ? undefined : findMember(this.#members, this.#leader)
    if (this.#role === 'follower' && leader && this.hasVote) this.#send(leader.node, leader.incarnation, { type: 'resign' })
  }

  #handleResign (from: NodeId, message: MessageOf<'resign'>): void {
    const progress = this.#findProgress(from, message.fromIncarnation)
    if (!progress) return
    progress.resignedAt = this.#now
    this.#adjustMembers()
  }

  #transferLeadership (): void {
    if (this.#role !== 'leader' || this.#now < this.#transferDeadline) return
    const target = this.#peers.findNextLeader(this.#log.lastIndex, this.#now)
    if (!target) return
    this.counters.transfers += 1
    this.#transferDeadline = this.#now + ELECTION_TIMEOUT_MIN_MS
    this.#send(target.member.node, target.member.incarnation, { type: 'timeout-now' })
  }

  // ---- snapshots ----

  #sendSnapshotPart (progress: Progress): boolean {
    if (progress.isWindowFull) return false
    const snapshot = this.#snapshot
    if (progress.snapshotIndex !== snapshot.index) progress.startSnapshot(snapshot.index)
    const chunkChars = this.#options.snapshotChunkChars ?? SNAPSHOT_CHUNK_CHARS
    const data = snapshot.data.slice(progress.snapshotOffset, progress.snapshotOffset + chunkChars)
    this.#send(progress.member.node, progress.member.incarnation, {
      type: 'snapshot',
      index: snapshot.index,
      lastTerm: snapshot.term,
      members: [...snapshot.members],
      offset: progress.snapshotOffset,
      total: snapshot.data.length,
      data,
      sentAt: this.#now
    } as BodyOf<MessageOf<'snapshot'>>)
    if (progress.snapshotOffset === 0) this.counters.snapshotsSent += 1
    progress.recordSent(snapshot.index, this.#now)
    return true
  }

  #handleSnapshotReply (from: NodeId, message: MessageOf<'snapshot-reply'>): void {
    const progress = this.#findProgress(from, message.fromIncarnation)
    if (!progress) return
    progress.lastContactAt = Math.max(progress.lastContactAt, message.sentAt)
    if (progress.mode !== 'snapshot' || message.index !== progress.snapshotIndex || message.offset > this.#snapshot.data.length) return
    // The last part is acknowledged with an append reply once the snapshot is stored.
    if (message.offset === progress.snapshotOffset) return
    progress.clearInflight()
    progress.snapshotOffset = message.offset
    if (message.offset < this.#snapshot.data.length) this.#sendSnapshotPart(progress)
  }

  #handleSnapshotPart (from: NodeId, message: MessageOf<'snapshot'>): void {
    if (message.index <= this.#commitIndex) {
      this.#acknowledgeCommitted(from, message.fromIncarnation, message.sentAt)
      return
    }
    if (!this.#incomingSnapshot?.isOf(from, message)) this.#incomingSnapshot = new IncomingSnapshot(from, message)
    const snapshot = this.#incomingSnapshot.add(message)
    this.#send(from, message.fromIncarnation, { type: 'snapshot-reply', index: message.index, offset: this.#incomingSnapshot.offset, sentAt: message.sentAt })
    if (snapshot) this.#effects.push({ type: 'save-snapshot', snapshot })
  }

  #acknowledgeCommitted (to: NodeId, incarnation: string, sentAt: number): void {
    this.#send(to, incarnation, { type: 'append-reply', ok: true, prevIndex: this.#commitIndex, matchIndex: this.#commitIndex, diskFull: this.#diskFull, sentAt })
  }

  #handleSnapshotSaved (snapshot: EncodedSnapshot): void {
    this.#incomingSnapshot = null
    if (snapshot.index <= this.#snapshot.index) return
    if (snapshot.index > this.#commitIndex) {
      this.#installSnapshot(snapshot)
      return
    }
    this.#snapshot = snapshot
    this.#log.compact(this.#findTrailingStart(snapshot.index))
  }

  /** Returns the index to compact up to; keeps entries for slow followers within the limits. */
  #findTrailingStart (snapshotIndex: number): number {
    const limit = this.#log.bytesAfter(snapshotIndex) + TRAILING_BYTES
    let index = Math.max(this.#log.baseIndex, snapshotIndex - (this.#options.trailingEntries ?? TRAILING_ENTRIES))
    while (index < snapshotIndex && this.#log.bytesAfter(index) > limit) index += 1
    return index
  }

  #installSnapshot (snapshot: EncodedSnapshot): void {
    this.counters.snapshotsInstalled += 1
    this.#snapshot = snapshot
    // The entries are kept in memory until they are applied.
    if (this.#log.termAt(snapshot.index) === snapshot.term && this.#persistedIndex >= snapshot.index) {
      this.#advanceCommit(snapshot.index)
      return
    }
    if (this.#role === 'leader') this.#becomeFollower(this.#term, null)
    this.#log = new ReplicaLog(snapshot)
    this.#persistedIndex = snapshot.index
    this.#pendingAppends = []
    this.#commitIndex = snapshot.index
    this.#knownCommitIndex = snapshot.index
    this.#effects.push({ type: 'reset-log', index: snapshot.index }, { type: 'restore', snapshot })
  }
}
