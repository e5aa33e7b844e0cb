import { asId } from '@ibisstair/common'
import type { NodeId } from '@ibisstair/common'
import { RandomSource } from '@ibisstair/timers'
import { EXTRA_VOTERS, RESIGN_PERIOD_MS, RESIGN_TIMEOUT_MS } from '../../src/constants.ts'
import { Replica } from '../../src/index.ts'
import type { Effect, EncodedSnapshot, HardState, LogEntry, Mechanism, Member, ReplicaEvent, ReplicaStatus } from '../../src/index.ts'
import { EventQueue } from './event-queue.ts'
import { History, SafetyError } from './history.ts'

const TICK_MS = 50
const MAX_HELD_MESSAGES = 500
/** Time from the start of a successor until its predecessor ends. */
const REPLACEMENT_MS = 5_000

interface Disk {
  hardState: HardState
  snapshot: EncodedSnapshot
  entries: LogEntry[]
  firstIndex: number
}

interface Node {
  readonly id: NodeId
  incarnation: string
  disk: Disk
  replica: Replica | null
  /** Increases with each restart, so that events of an earlier process are ignored. */
  processNumber: number
  pendingEffects: Effect[]
  isFlushing: boolean
  isFull: boolean
  applied: number
  frozenUntil: number
  clockOffset: number
  heldMessages: (() => void)[]
}

export interface ClusterOptions {
  readonly voters: number
  readonly witnesses: number
  readonly seed: number
  readonly snapshotEvery?: number
  /** Number of nodes outside the configuration that send join requests. */
  readonly joiners?: number
  /** Number of voters that the group has if it has as many members; enables automatic membership when set. */
  readonly minVoters?: number
  /** Small batches let a follower lag behind while it receives the log of one leader. */
  readonly maxBatchEntries?: number
  readonly disabled?: readonly Mechanism[]
  /** A node that lost its disk keeps its incarnation, which is unsafe. */
  readonly keepIncarnation?: boolean
}

export interface Faults {
  readonly drop: number
  readonly duplicate: number
  readonly delayMs: number
}

const NO_FAULTS: Faults = { drop: 0, duplicate: 0, delayMs: 2 }

/** A cluster of replicas without drivers, with fake network, disks and time, all driven by one seed. */
export class ReplicaCluster {
  readonly queue = new EventQueue()
  readonly history: History
  readonly nodes: Node[]
  readonly refused = new Set<unknown>()
  readonly #random: RandomSource
  readonly #options: ClusterOptions
  readonly #initialMembers: readonly Member[]
  readonly #pendingProposals = new Map<number, { readonly command: unknown, index: number, term: number, readonly node: Node }>()
  #faults = NO_FAULTS
  /** The partition of each node; nodes in different partitions cannot reach each other. */
  #partitionOf = new Map<NodeId, number>()
  #nextId = 0
  /** Ids are not used again. */
  #createdNodes: number
  /** Ids of all nodes, also of those that are added later: nodes find each other. */
  readonly #ids: NodeId[] = []
  sentMessages = 0
  /** Nodes that lost their disk since the group last had all its voters and these nodes back, each with the whole log. */
  readonly #lostDisks = new Set<Node>()

  constructor (options: ClusterOptions) {
    this.#options = options
    this.#random = new RandomSource(options.seed)
    const total = options.voters + options.witnesses
    this.#initialMembers = Array.from({ length: total }, (_, i) => ({ node: asId<NodeId>(`n${i}`), incarnation: '1', role: 'voter', witness: i >= options.voters }))
    this.history = new History(this.#initialMembers)
    this.#createdNodes = total
    this.#ids.push(...this.#initialMembers.map(({ node }) => node))
    const joiners = Array.from({ length: options.joiners ?? 0 }, (_, i) => this.#createJoiner(asId<NodeId>(`n${total + i}`)))
    this.nodes = [...this.#initialMembers.map(({ node }) => this.#createNode(node)), ...joiners]
    for (const node of this.nodes) this.start(node)
  }

  run (ms: number): void {
    this.queue.run(ms)
  }

  /** Adds a node with an empty disk, which asks to join. */
  addJoiner (): Node {
    const node = this.#createJoiner(asId<NodeId>(`n${this.#createdNodes}`))
    this.nodes.push(node)
    this.start(node)
    return node
  }

  node (i: number): Node {
    return this.nodes[i % this.nodes.length]!
  }

  get leaders (): Node[] {
    return this.nodes.filter((node) => this.statusOf(node)?.role === 'leader')
  }

  statusOf (node: Node): ReplicaStatus | null {
    return node.replica?.getStatus(this.#timeOf(node)) ?? null
  }

  propose (node: Node, command: unknown): void {
    const id = this.#nextId++
    this.#pendingProposals.set(id, { command, index: 0, term: 0, node })
    this.#step(node, { type: 'propose', id, command })
  }

  change (node: Node, event: Extract<ReplicaEvent, { type: 'change' }>['change']): void {
    this.#step(node, { type: 'change', id: -1, change: event })
  }

  transfer (node: Node): void {
    this.#step(node, { type: 'transfer' })
  }

  /** Shuts the process down as a driver does: it gives up its vote first, if that can be done in time. */
  shutDown (node: Node): void {
    this.transfer(node)
    const deadline = this.queue.now + RESIGN_TIMEOUT_MS
    while (node.replica?.hasVote && this.queue.now < deadline) {
      this.#step(node, { type: 'resign' })
      this.run(RESIGN_PERIOD_MS)
    }
    this.crash(node)
  }

  /** Crashes the process and its VM: unsynced writes are lost or stored in part. */
  crash (node: Node): void {
    if (!node.replica) return
    const storedEffects = node.pendingEffects.slice(0, this.#random.int(0, node.pendingEffects.length))
    const last = storedEffects.pop()
    for (const effect of storedEffects) this.#store(node, effect)
    // No record after a torn one is readable, so only the last write can be torn.
    if (last) this.#storeTorn(node, last)
    node.replica = null
    node.pendingEffects = []
    node.isFlushing = false
    node.heldMessages = []
    node.processNumber += 1
    for (const [id, proposal] of this.#pendingProposals) if (proposal.node === node) this.#pendingProposals.delete(id)
  }

  start (node: Node): void {
    if (node.replica) return
    const { disk } = node
    const entries = disk.entries.filter((entry) => entry.index > disk.snapshot.index)
    const random = new RandomSource(this.#random.int(1, 0x7fffffff))
    node.replica = new Replica({
      group: 'g',
      node: node.id,
      incarnation: node.incarnation,
      // A group that admits nodes by itself is led by any of them, and finds them all.
      peers: this.#options.minVoters === undefined ? this.#initialMembers.map((member) => member.node) : this.#ids,
      random,
      trailingEntries: 5,
      snapshotChunkChars: 10,
      maxBatchEntries: this.#options.maxBatchEntries ?? 4,
      disabled: this.#options.disabled ?? [],
      ...(this.#options.minVoters !== undefined && { minVoters: this.#options.minVoters })
    }, { hardState: disk.hardState, snapshot: disk.snapshot, entries }, this.#timeOf(node))
    node.applied = disk.snapshot.index
    const { processNumber } = node
    const tick = (): void => {
      if (node.processNumber !== processNumber) return
      this.#deliver(node, () => this.#step(node, { type: 'tick' }))
      this.queue.schedule(TICK_MS, tick)
    }
    this.queue.schedule(this.#random.int(0, TICK_MS), tick)
  }

  /**
   * Removes a node for good, whose successor joins and catches up first; with a shutdown or without a warning. Does
   * nothing unless all nodes hold the whole log, as losses must not overlap beyond what the group is to bear.
   */
  replace (node: Node, isWarned: boolean): void {
    const minVoters = this.#options.minVoters!
    if (!this.#isAtFullStrength(minVoters, true)) return
    this.addJoiner()
    this.run(REPLACEMENT_MS)
    if (!this.#isAtFullStrength(minVoters + (isWarned ? 0 : EXTRA_VOTERS), true)) return
    if (isWarned) this.shutDown(node)
    else this.crash(node)
    this.#lostDisks.clear()
    this.nodes.splice(this.nodes.indexOf(node), 1)
  }

  /** Whether every configuration that may be active keeps an intact majority without the node. */
  canLoseDisk (node: Node): boolean {
    const { minVoters } = this.#options
    if (minVoters !== undefined) {
      if (this.#isAtFullStrength(minVoters)) this.#lostDisks.clear()
      return this.#lostDisks.size < Math.floor(minVoters / 2)
    }
    const configurations = [this.history.members, ...this.nodes.map((other) => this.statusOf(other)?.members ?? []), ...this.nodes.map((other) => this.#configurationOnDisk(other))]
    return configurations.filter((list) => list.length > 0).every((members) => {
      const voters = members.filter((member) => member.role === 'voter')
      const intact = voters.filter((member) => this.nodes.some((other) => other !== node && other.id === member.node && other.incarnation === member.incarnation))
      return intact.length * 2 > voters.length
    })
  }

  /** Whether the group has that many voters, and they and the nodes that lost their disks hold the whole log; or all nodes. */
  #isAtFullStrength (voterCount: number, isAllNeeded = false): boolean {
    const status = this.leaders.map((leader) => this.statusOf(leader)!).find(({ hasQuorum }) => hasQuorum)
    if (!status) return false
    const voters = status.members.filter(({ role }) => role === 'voter')
    const hasWholeLog = (node: Node): boolean =>
      status.members.some((member) => member.node === node.id && member.incarnation === node.incarnation) && this.statusOf(node)?.commitIndex === status.lastIndex
    const needed = this.nodes.filter((node) => isAllNeeded || this.#lostDisks.has(node) || voters.some((voter) => voter.node === node.id))
    // A node that is gone for good may still have its vote.
    const areVotersThere = voters.every((voter) => this.nodes.some(({ id }) => id === voter.node))
    return voters.length >= voterCount && areVotersThere && needed.every(hasWholeLog)
  }

  /** Whether a removal leaves an intact majority; an operator must not remove a node otherwise. */
  canRemove (node: Node): boolean {
    const voters = this.history.members.filter((member) => member.role === 'voter' && member.node !== node.id)
    const intact = voters.filter((member) => this.nodes.some((other) => other.id === member.node && other.incarnation === member.incarnation && other.replica))
    return intact.length * 2 > voters.length
  }

  /** Replaces the disk by an empty one; the process gets a new incarnation, as from `DataFolder.open`. */
  loseDisk (node: Node): void {
    this.crash(node)
    if (!this.#options.keepIncarnation) node.incarnation = new RandomSource(this.#random.int(1, 0x7fffffff)).token()
    this.#lostDisks.add(node)
    node.disk = this.#createDisk(this.#options.keepIncarnation ? this.#initialMembers : [])
  }

  setFull (node: Node, isFull: boolean): void {
    node.isFull = isFull
    if (!isFull && node.replica?.isDiskFull) this.#step(node, { type: 'disk-writable' })
  }

  /** Suspends the process; messages wait in its sockets. */
  freeze (node: Node, ms: number): void {
    node.frozenUntil = Math.max(node.frozenUntil, this.queue.now + ms)
    this.queue.schedule(ms, () => this.#resume(node))
  }

  jumpClock (node: Node, ms: number): void {
    node.clockOffset += ms
  }

  partition (parts: readonly number[]): void {
    this.#partitionOf = new Map(this.nodes.map((node, i) => [node.id, parts[i % parts.length] ?? 0]))
  }

  setFaults (faults: Faults): void {
    this.#faults = faults
  }

  healNetwork (): void {
    this.#partitionOf.clear()
    this.#faults = NO_FAULTS
  }

  heal (): void {
    this.healNetwork()
    for (const node of this.nodes) {
      node.frozenUntil = 0
      this.#resume(node)
      this.setFull(node, false)
      this.start(node)
    }
  }

  // ---- internals ----

  #createNode (id: NodeId): Node {
    return {
      id, incarnation: '1', disk: this.#createDisk(this.#initialMembers), replica: null, processNumber: 0, pendingEffects: [], isFlushing: false, isFull: false, applied: 0, frozenUntil: 0, clockOffset: 0, heldMessages: []
    }
  }

  #createJoiner (id: NodeId): Node {
    this.#createdNodes += 1
    this.#ids.push(id)
    return { ...this.#createNode(id), incarnation: `first-of-${id}`, disk: this.#createDisk([]) }
  }

  #createDisk (members: readonly Member[]): Disk {
    return { hardState: { term: 0, votedFor: null }, snapshot: { index: 0, term: 0, members, data: '' }, entries: [], firstIndex: 1 }
  }

  #configurationOnDisk (node: Node): readonly Member[] {
    const body = node.disk.entries.findLast((entry) => entry.body.type === 'members')?.body
    return body?.type === 'members' ? body.members : node.disk.snapshot.members
  }

  #timeOf (node: Node): number {
    return this.queue.now + node.clockOffset
  }

  #deliver (node: Node, handler: () => void): void {
    if (!node.replica) return
    if (this.queue.now >= node.frozenUntil) handler()
    else if (node.heldMessages.length < MAX_HELD_MESSAGES) node.heldMessages.push(handler)
  }

  #resume (node: Node): void {
    if (this.queue.now < node.frozenUntil) return
    for (const fn of node.heldMessages.splice(0)) fn()
  }

  #step (node: Node, event: ReplicaEvent): void {
    if (!node.replica) return
    const before = node.replica.getStatus(this.#timeOf(node))
    const effects = node.replica.step(event, this.#timeOf(node))
    const after = node.replica.getStatus(this.#timeOf(node))
    if (after.commitIndex < before.commitIndex) throw new SafetyError(`${node.id} decreased its commit index from ${before.commitIndex} to ${after.commitIndex}`)
    if (after.role === 'leader') this.history.recordLeader(`${node.id}/${node.incarnation}`, after.term)
    for (const effect of effects) this.#execute(node, effect)
    if (node.pendingEffects.length > 0 && !node.isFlushing) this.#scheduleFlush(node)
  }

  /** Storage effects and messages wait for the disk; other effects are executed immediately. */
  #execute (node: Node, effect: Effect): void {
    switch (effect.type) {
      case 'commit': return this.#apply(node, effect.index)
      case 'restore': {
        node.applied = effect.snapshot.index
        return
      }
      case 'accepted': {
        const proposal = this.#pendingProposals.get(effect.id)
        if (proposal) Object.assign(proposal, { index: effect.index, term: effect.term })
        return
      }
      case 'refused': {
        const proposal = this.#pendingProposals.get(effect.id)
        if (proposal) this.refused.add(proposal.command)
        this.#pendingProposals.delete(effect.id)
        return
      }
      case 'dropped': {
        for (const [id, proposal] of this.#pendingProposals) {
          if (proposal.node !== node || proposal.index < effect.fromIndex) continue
          this.refused.add(proposal.command)
          this.#pendingProposals.delete(id)
        }
        return
      }
      case 'send': {
        if (this.#options.disabled?.includes('sync-first')) return this.#transmit(node, effect)
        node.pendingEffects.push(effect)
        return
      }
      case 'members-appended': return
      default: node.pendingEffects.push(effect)
    }
  }

  #apply (node: Node, index: number): void {
    while (node.applied < index) {
      const entry = node.replica?.getEntry(node.applied + 1)
      if (!entry) throw new SafetyError(`${node.id} has no entry ${node.applied + 1} to apply`)
      node.applied += 1
      this.history.recordCommit(node.id, entry)
      this.#resolve(node, entry)
    }
    this.#takeSnapshot(node)
  }

  #resolve (node: Node, entry: LogEntry): void {
    for (const [id, proposal] of this.#pendingProposals) {
      if (proposal.node !== node || proposal.index !== entry.index) continue
      if (proposal.term === entry.term) this.history.recordAcknowledged(proposal.command, entry.index)
      else this.refused.add(proposal.command)
      this.#pendingProposals.delete(id)
    }
  }

  #takeSnapshot (node: Node): void {
    const every = this.#options.snapshotEvery ?? 20
    if (!node.replica || node.applied - node.replica.snapshotIndex < every) return
    if (node.pendingEffects.some((effect) => effect.type === 'save-snapshot')) return
    node.pendingEffects.push({ type: 'save-snapshot', snapshot: node.replica.createSnapshot(node.applied, `state at ${node.applied}`.padEnd(25)) })
  }

  #scheduleFlush (node: Node): void {
    node.isFlushing = true
    const { processNumber } = node
    this.queue.schedule(this.#random.int(0, 5), () => {
      if (node.processNumber !== processNumber) return
      this.#deliver(node, () => this.#flush(node))
      if (this.queue.now < node.frozenUntil && node.heldMessages.length >= MAX_HELD_MESSAGES) node.isFlushing = false
    })
  }

  #flush (node: Node): void {
    const batch = node.pendingEffects
    node.pendingEffects = []
    node.isFlushing = false
    const events: ReplicaEvent[] = []
    for (const [i, effect] of batch.entries()) {
      if (node.isFull && (effect.type === 'append' || effect.type === 'save-hard-state')) {
        this.#failFlush(node, [...batch.slice(i), ...node.pendingEffects])
        break
      }
      if (effect.type === 'save-snapshot' && node.isFull) {
        events.push({ type: 'snapshot-failed' })
        continue
      }
      if (effect.type === 'send') this.#transmit(node, effect)
      else this.#store(node, effect)
      if (effect.type === 'append') events.push({ type: 'persisted', sequence: effect.sequence })
      if (effect.type === 'save-snapshot') events.push({ type: 'snapshot-saved', snapshot: effect.snapshot })
    }
    for (const event of events) this.#step(node, event)
  }

  /** Drops messages and appends that were not stored; keeps a new term or vote for a retry. */
  #failFlush (node: Node, unstoredEffects: readonly Effect[]): void {
    const hardState = unstoredEffects.findLast((effect) => effect.type === 'save-hard-state')
    node.pendingEffects = [...unstoredEffects.filter((effect) => effect.type === 'reset-log'), ...(hardState ? [hardState] : [])]
    this.#step(node, { type: 'append-failed' })
    if (unstoredEffects.some((effect) => effect.type === 'save-snapshot')) this.#step(node, { type: 'snapshot-failed' })
  }

  #store (node: Node, effect: Effect): void {
    const { disk } = node
    if (effect.type === 'save-hard-state') disk.hardState = effect.state
    if (effect.type === 'save-snapshot' && effect.snapshot.index > disk.snapshot.index) disk.snapshot = effect.snapshot
    if (effect.type === 'reset-log') disk.entries = []
    if (effect.type === 'append') {
      const first = effect.entries[0]!.index
      disk.entries = [...disk.entries.filter((entry) => entry.index < first && entry.index > disk.snapshot.index - 50), ...effect.entries]
    }
  }

  #storeTorn (node: Node, effect: Effect): void {
    if (effect.type !== 'append') return this.#store(node, effect)
    const entries = effect.entries.slice(0, this.#random.int(1, effect.entries.length))
    this.#store(node, { ...effect, entries })
  }

  #transmit (node: Node, effect: Extract<Effect, { type: 'send' }>): void {
    const { message, to } = effect
    this.sentMessages += 1
    if (message.type === 'vote-reply' && message.granted) this.history.recordVote(`${node.id}/${node.incarnation}`, message.term, `${to}/${message.toIncarnation}`)
    const target = this.nodes.find((other) => other.id === to)
    if (!target || this.#partitionOf.get(node.id) !== this.#partitionOf.get(to)) return
    const copies = this.#random.float() < this.#faults.duplicate ? 2 : 1
    for (let i = 0; i < copies; i++) {
      if (this.#random.float() < this.#faults.drop) continue
      const text = JSON.stringify(message)
      this.queue.schedule(this.#random.int(0, this.#faults.delayMs), () => {
        if (this.#partitionOf.get(node.id) !== this.#partitionOf.get(to)) return
        this.#deliver(target, () => this.#step(target, { type: 'message', from: node.id, message: JSON.parse(text) }))
      })
    }
  }
}
