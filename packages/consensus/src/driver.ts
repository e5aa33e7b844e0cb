import * as v from 'valibot'
import { assertNever, IbisError, invariant } from '@ibisstair/common'
import type { NodeId } from '@ibisstair/common'
import { isDiskFull, packValue, unpackValue } from '@ibisstair/storage'
import type { DataFolder } from '@ibisstair/storage'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import {
  DISK_RETRY_MS, MAX_COMMAND_BYTES, MAX_PENDING_PROPOSALS, MAX_QUEUED_EFFECTS, RESIGN_PERIOD_MS, RESIGN_TIMEOUT_MS, SNAPSHOT_EVERY_BYTES, SNAPSHOT_EVERY_ENTRIES, TICK_MS
} from './constants.ts'
import { GroupStorage } from './group-storage.ts'
import type { OpenedGroup } from './group-storage.ts'
import { messageSchema } from './messages.ts'
import { Proposals } from './proposals.ts'
import { Replica } from './replica.ts'
import type { Effect, Mechanism, MemberChange, ReplicaEvent } from './replica-types.ts'
import type { EncodedSnapshot, Group, GroupTransport, HardState, LogEntry, Member, ReplicaStatus, StateMachine } from './types.ts'

export interface DriverOptions<Command, Result> {
  readonly group: string
  readonly node: NodeId
  readonly folder: DataFolder
  readonly timers: TimerService
  readonly random: RandomSource
  readonly transport: GroupTransport
  readonly machine: StateMachine<Command, Result>
  /** The members at installation, all with incarnation "1". */
  readonly initialMembers: readonly Member[]
  /** Nodes that this one sends join requests to; the initial members by default. Read at each attempt. */
  readonly peers?: readonly NodeId[]
  /** Number of voters that the group has if it has as many members; enables automatic membership when set. */
  readonly minVoters?: number
  /** Receives log messages for operators. */
  readonly log?: (level: 'info' | 'warn' | 'error', message: string, info: Readonly<Record<string, unknown>>) => void
  /** Called when the replica has stopped permanently, for example because of an I/O error. */
  readonly onFatal?: (err: IbisError) => void
  readonly snapshotEveryEntries?: number
  /** Mechanisms that are switched off; for tests only. */
  readonly disabled?: readonly Mechanism[]
}

interface DriverCounters {
  invalidMessages: number
  droppedMessages: number
  overloadedProposals: number
  oversizedCommands: number
  diskFull: number
  snapshotsTaken: number
  snapshotFailures: number
  compactions: number
  compactionFailures: number
  applied: number
  applyFailures: number
  listenerFailures: number
}

type StorageEffect = Extract<Effect, { type: 'save-hard-state' | 'append' | 'reset-log' | 'save-snapshot' | 'send' }>

/** The part of a batch that has been written to disk. */
interface BatchProgress {
  readonly events: ReplicaEvent[]
  /** Stored effects, which must not be executed again. */
  readonly done: Set<StorageEffect>
}

/** Merges two append effects: entries that the later one overwrites need not be written. */
const mergeEntries = (earlier: readonly LogEntry[], later: readonly LogEntry[]): LogEntry[] => {
  const first = later[0]
  return first ? [...earlier.filter((entry) => entry.index < first.index), ...later] : [...earlier]
}

/**
 * Runs one replica with its files, timers and transport. Effects are stored and synced in batches;
 * the messages of a batch are sent after its sync.
 */
export class ReplicaDriver<Command, Result> implements Group<Command, Result> {
  readonly #options: DriverOptions<Command, Result>
  readonly #storage: GroupStorage
  readonly #replica: Replica
  readonly #proposals: Proposals<Result | undefined>
  readonly #listeners = new Set<(status: ReplicaStatus) => void>()
  readonly #counters: DriverCounters = {
    invalidMessages: 0, droppedMessages: 0, overloadedProposals: 0, oversizedCommands: 0, diskFull: 0, snapshotsTaken: 0, snapshotFailures: 0, compactions: 0, compactionFailures: 0, applied: 0, applyFailures: 0, listenerFailures: 0
  }

  readonly #events: ReplicaEvent[] = []
  #isStepping = false
  #queue: StorageEffect[] = []
  #flushing: Promise<void> | null = null
  #latestHardState: HardState | null = null
  /** The newest term or vote could not be stored because the disk is full; no message is sent until it is. */
  #isHardStateUnsaved = false
  #isDiskRetryScheduled = false
  #lastDiskFullAt = -Infinity
  #isTakingSnapshot = false
  #nextSnapshotAt = -Infinity
  #appliedIndex: number
  #status: ReplicaStatus
  #stopTicks: Unsubscribe = () => {}
  #isStopped = false

  private constructor (options: DriverOptions<Command, Result>, opened: OpenedGroup) {
    this.#options = options
    this.#storage = opened.storage
    this.#proposals = new Proposals(options.timers)
    const { group, node, folder, random, initialMembers } = options
    this.#replica = new Replica({
      group,
      node,
      random,
      incarnation: folder.incarnation,
      peers: options.peers ?? initialMembers.map((member) => member.node),
      disabled: options.disabled ?? [],
      ...(options.minVoters !== undefined && { minVoters: options.minVoters })
    }, opened.state, options.timers.now())
    const { snapshot } = opened.state
    this.#appliedIndex = snapshot.index
    if (snapshot.data !== '') this.#restoreMachine(snapshot)
    this.#status = this.getStatus()
  }

  /** Recovers the state from the folder and starts the replica. Rejects with `data-damaged`. */
  static async open<Command, Result> (options: DriverOptions<Command, Result>): Promise<ReplicaDriver<Command, Result>> {
    const opened = await GroupStorage.open(options.folder, options.group, options.initialMembers)
    const info = { group: options.group, node: options.node }
    if (opened.tornTail) options.log?.('warn', 'removed an incomplete record from the end of the log', { ...info, ...opened.tornTail })
    if (opened.damagedSnapshots.length > 0) options.log?.('warn', 'found damaged snapshots; recovered from an older snapshot and the log', { ...info, indexes: opened.damagedSnapshots })
    const driver = new ReplicaDriver(options, opened)
    driver.#stopTicks = options.timers.every(TICK_MS, () => driver.#dispatch({ type: 'tick' }))
    return driver
  }

  /** Proposes a command, which must be a JSON value. */
  async propose (proposed: Command, timeoutMs: number): Promise<Result> {
    this.#assertCanPropose()
    const json: string | undefined = JSON.stringify(proposed)
    if (json === undefined) throw new IbisError('invalid-request', 'a command must be a JSON value')
    if (Buffer.byteLength(json) > MAX_COMMAND_BYTES) {
      this.#counters.oversizedCommands += 1
      throw new IbisError('body-too-large', `a command must not exceed ${MAX_COMMAND_BYTES} bytes`)
    }
    // Uses the parsed JSON, which is what followers receive, so that all replicas apply the same value.
    const command: unknown = JSON.parse(json)
    return await this.#proposals.add(timeoutMs, (id) => this.#dispatch({ type: 'propose', id, command })) as Result
  }

  /** Adds or removes a node. An added node starts as a learner and is promoted once it has caught up. */
  async changeMembers (change: MemberChange, timeoutMs: number): Promise<void> {
    this.#assertCanPropose()
    await this.#proposals.add(timeoutMs, (id) => this.#dispatch({ type: 'change', id, change }))
  }

  /** Transfers leadership to a voter that has caught up, for example before a shutdown. */
  transferLeadership (): void {
    this.#dispatch({ type: 'transfer' })
  }

  /**
   * Gives the vote to a learner before a shutdown, so that the group bears as many lost disks without this replica.
   * Resolves once that is committed, or when it can't be done in time; at once if no learner could take the vote.
   */
  async resign (): Promise<void> {
    const { timers, log, group, node } = this.#options
    const beganAtMs = timers.now()
    const hasLearner = this.getStatus().members.some(({ role }) => role === 'learner')
    if (hasLearner) await this.#giveUpVote(beganAtMs + RESIGN_TIMEOUT_MS)
    log?.('info', this.#replica.hasVote ? 'shuts down with its vote' : 'shuts down without a vote', { group, node, waitedMs: Math.round(timers.now() - beganAtMs) })
  }

  /** Asks until the vote is gone. Meanwhile the group may have no learner: the one that takes the vote votes already. */
  async #giveUpVote (deadlineMs: number): Promise<void> {
    const { timers } = this.#options
    while (!this.#isStopped && this.#replica.hasVote && timers.now() < deadlineMs) {
      this.#dispatch({ type: 'resign' })
      await timers.delay(RESIGN_PERIOD_MS)
    }
  }

  getStatus (): ReplicaStatus {
    return this.#replica.getStatus(this.#options.timers.now())
  }

  getCounters (): Readonly<Record<string, number>> {
    return { ...this.#counters, ...this.#replica.counters, ...this.#storage.logCounters, pendingProposals: this.#proposals.size, queuedEffects: this.#queue.length }
  }

  get appliedIndex (): number {
    return this.#appliedIndex
  }

  onStatus (listener: (status: ReplicaStatus) => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  handleMessage (from: NodeId, message: unknown): void {
    const result = v.safeParse(messageSchema, message)
    if (!result.success) {
      this.#counters.invalidMessages += 1
      return
    }
    this.#dispatch({ type: 'message', from, message: result.output })
  }

  async stop (): Promise<void> {
    this.#shutDown('the replica was stopped')
    await this.#flushing
    await this.#storage.close()
  }

  #assertCanPropose (): void {
    if (this.#isStopped) throw new IbisError('shutting-down', 'this replica has stopped')
    if (this.#proposals.size < MAX_PENDING_PROPOSALS) return
    this.#counters.overloadedProposals += 1
    throw new IbisError('overloaded', `${MAX_PENDING_PROPOSALS} proposals are already pending`)
  }

  #shutDown (detail: string): void {
    this.#isStopped = true
    this.#stopTicks()
    this.#proposals.failAll(detail)
  }

  /** Stops permanently: a replica that violated an invariant or lost its files must not continue. */
  #halt (cause: unknown): void {
    if (this.#isStopped) return
    const err = IbisError.from(cause)
    this.#shutDown(`the replica failed: ${err.message}`)
    this.#options.log?.('error', 'replica failed; it has stopped permanently', { group: this.#options.group, node: this.#options.node, err: err.message })
    this.#options.onFatal?.(err)
  }

  // ---- events ----

  /** Handles an event. Events raised by a listener or the state machine meanwhile are queued behind it. */
  #dispatch (event: ReplicaEvent): void {
    if (this.#isStopped) return
    this.#events.push(event)
    if (this.#isStepping) return
    this.#isStepping = true
    try {
      for (let next = this.#events.shift(); next && !this.#isStopped; next = this.#events.shift()) this.#step(next)
    } catch (err) {
      this.#halt(err)
    } finally {
      this.#isStepping = false
    }
    this.#notifyStatusChange()
  }

  #step (event: ReplicaEvent): void {
    for (const effect of this.#replica.step(event, this.#options.timers.now())) this.#execute(effect)
    if (event.type === 'snapshot-saved' || event.type === 'snapshot-failed') this.#isTakingSnapshot = false
    this.#takeSnapshotWhenDue()
    if (this.#queue.length > 0) this.#flushing ??= this.#flush()
  }

  #execute (effect: Effect): void {
    switch (effect.type) {
      case 'commit': return this.#apply(effect.index)
      case 'restore': return this.#restore(effect.snapshot)
      case 'accepted': return this.#proposals.accept(effect.id, effect.index, effect.term)
      case 'refused': return this.#proposals.refuse(effect.id, effect.reason, this.getStatus().leader)
      case 'dropped': return this.#proposals.failFrom(effect.fromIndex)
      case 'send': return this.#send(effect)
      case 'members-appended': return this.#logMembers(effect)
      case 'save-hard-state': {
        this.#latestHardState = effect.state
        this.#queue.push(effect)
        return
      }
      case 'append':
      case 'reset-log':
      case 'save-snapshot': {
        this.#queue.push(effect)
        return
      }
      default: assertNever(effect)
    }
  }

  #logMembers ({ index, plan, peers }: Extract<Effect, { type: 'members-appended' }>): void {
    const { group, log } = this.#options
    log?.('info', 'members of the group change', {
      group,
      index,
      reason: plan.reason,
      members: plan.members.map(({ node, role }) => `${node}:${role}`).join(' '),
      peers: peers.map(({ member, silentMs, isLeaving, isPromotable }) => ({ node: member.node, role: member.role, silentMs: Math.round(silentMs), isLeaving, isPromotable }))
    })
  }

  #notifyStatusChange (): void {
    const previous = this.#status
    const status = this.getStatus()
    this.#status = status
    const isUnchanged = previous.role === status.role && previous.leader === status.leader && previous.hasQuorum === status.hasQuorum
    if (isUnchanged) return
    for (const listener of this.#listeners) this.#notifyListener(listener, status)
  }

  #notifyListener (listener: (status: ReplicaStatus) => void, status: ReplicaStatus): void {
    try {
      listener(status)
    } catch (err) {
      this.#counters.listenerFailures += 1
      this.#options.log?.('error', 'status listener threw an error', { group: this.#options.group, node: this.#options.node, err: String(err) })
    }
  }

  // ---- state machine ----

  #apply (index: number): void {
    invariant(index >= this.#appliedIndex, 'the applied index does not decrease', { index, applied: this.#appliedIndex })
    while (this.#appliedIndex < index) {
      const entry = this.#replica.getEntry(this.#appliedIndex + 1)
      invariant(entry, 'a committed entry is in the log until it is applied', { index: this.#appliedIndex + 1 })
      this.#appliedIndex += 1
      this.#counters.applied += 1
      const getResult = this.#applyEntry(entry)
      this.#proposals.settle(entry.index, entry.term, getResult)
    }
  }

  /** An error thrown by the state machine is a deterministic result, so it is passed to the proposer. */
  #applyEntry (entry: LogEntry): () => Result | undefined {
    if (entry.body.type !== 'command') return () => undefined
    try {
      const result = this.#options.machine.apply(entry.body.command as Command, entry.index)
      return () => result
    } catch (err) {
      this.#counters.applyFailures += 1
      return () => { throw err }
    }
  }

  #restore (snapshot: EncodedSnapshot): void {
    invariant(snapshot.index >= this.#appliedIndex, 'the applied index does not decrease', { snapshot: snapshot.index, applied: this.#appliedIndex })
    this.#restoreMachine(snapshot)
    this.#appliedIndex = snapshot.index
    this.#proposals.failUpTo(snapshot.index)
  }

  #restoreMachine (snapshot: EncodedSnapshot): void {
    this.#options.machine.restore(unpackValue(Buffer.from(snapshot.data, 'base64')))
  }

  #takeSnapshotWhenDue (): void {
    if (this.#isTakingSnapshot || this.#options.timers.now() < this.#nextSnapshotAt) return
    const entries = this.#appliedIndex - this.#replica.snapshotIndex
    const isDue = entries >= (this.#options.snapshotEveryEntries ?? SNAPSHOT_EVERY_ENTRIES) || (entries > 0 && this.#replica.getBytesAfterSnapshot() >= SNAPSHOT_EVERY_BYTES)
    if (!isDue) return
    const data = packValue(this.#options.machine.toSnapshot()).toString('base64')
    this.#isTakingSnapshot = true
    this.#counters.snapshotsTaken += 1
    this.#queue.push({ type: 'save-snapshot', snapshot: this.#replica.createSnapshot(this.#appliedIndex, data) })
  }

  // ---- storage ----

  #send (effect: Extract<Effect, { type: 'send' }>): void {
    if (this.#isHardStateUnsaved || this.#queue.length >= MAX_QUEUED_EFFECTS) {
      this.#counters.droppedMessages += 1
      return
    }
    const mustWaitForSync = this.#flushing || this.#queue.length > 0
    if (mustWaitForSync && !this.#options.disabled?.includes('sync-first')) this.#queue.push(effect)
    else this.#transmit(effect)
  }

  #transmit (effect: Extract<Effect, { type: 'send' }>): void {
    try {
      this.#options.transport.send(this.#options.group, effect.to, effect.message)
    } catch {
      // The protocol tolerates lost messages, so a transport error must not stop the replica.
      this.#counters.droppedMessages += 1
    }
  }

  async #flush (): Promise<void> {
    // Waits for the next microtask, so that events of one turn share a sync.
    await Promise.resolve()
    while (this.#queue.length > 0 && !this.#isStopped) {
      const batch = this.#queue
      this.#queue = []
      const stored: BatchProgress = { events: [], done: new Set() }
      try {
        await this.#storeBatch(batch, stored)
        if (!this.#isStopped) this.#finishBatch(batch, stored)
      } catch (err) {
        // The replica must not drop entries that are on disk, so it is told about them before the failure.
        for (const event of stored.events) this.#dispatch(event)
        if (isDiskFull(err)) this.#handleDiskFull(batch, stored, err)
        else this.#halt(err)
      }
    }
    this.#flushing = null
  }

  /** Stores a batch and records each stored effect in `stored`, also when a later one fails. */
  async #storeBatch (batch: readonly StorageEffect[], stored: BatchProgress): Promise<void> {
    const hardState = batch.findLast((effect) => effect.type === 'save-hard-state')
    // The term is stored first: a stored entry must not have a higher term than the hard state.
    if (hardState) {
      await this.#storage.saveHardState(hardState.state)
      if (hardState.state === this.#latestHardState) this.#isHardStateUnsaved = false
      stored.done.add(hardState)
    }
    let entries: LogEntry[] = []
    let sequence = 0
    const storeEntries = async (): Promise<void> => {
      await this.#storage.append(entries)
      if (sequence > 0) stored.events.push({ type: 'persisted', sequence })
      entries = []
      sequence = 0
    }
    for (const effect of batch) {
      if (effect.type === 'append') {
        entries = mergeEntries(entries, effect.entries)
        sequence = effect.sequence
      } else if (effect.type === 'reset-log') {
        entries = []
        await this.#storage.resetLog(effect.index)
        stored.done.add(effect)
      } else if (effect.type === 'save-snapshot') {
        await storeEntries()
        stored.events.push(await this.#saveSnapshot(effect.snapshot))
        stored.done.add(effect)
      }
    }
    await storeEntries()
  }

  #finishBatch (batch: readonly StorageEffect[], stored: BatchProgress): void {
    for (const effect of batch) if (effect.type === 'send') this.#transmit(effect)
    for (const event of stored.events) this.#dispatch(event)
  }

  async #saveSnapshot (snapshot: EncodedSnapshot): Promise<ReplicaEvent> {
    try {
      await this.#storage.saveSnapshot(snapshot)
      await this.#compact()
      return { type: 'snapshot-saved', snapshot }
    } catch (err) {
      if (!isDiskFull(err)) throw err
      this.#counters.snapshotFailures += 1
      this.#nextSnapshotAt = this.#options.timers.now() + DISK_RETRY_MS
      return { type: 'snapshot-failed' }
    }
  }

  /** If there is no disk space to write the compacted log, the full log is kept until the next snapshot. */
  async #compact (): Promise<void> {
    try {
      await this.#storage.compact()
      this.#counters.compactions += 1
    } catch (err) {
      if (!isDiskFull(err)) throw err
      this.#counters.compactionFailures += 1
    }
  }

  /** Sends no message of the batch. The replica drops entries that were not stored; the hard state is retried. */
  #handleDiskFull (batch: readonly StorageEffect[], stored: BatchProgress, err: unknown): void {
    const unstoredEffects = [...batch.filter((effect) => !stored.done.has(effect)), ...this.#queue]
    this.#counters.diskFull += 1
    this.#isHardStateUnsaved ||= unstoredEffects.some((effect) => effect.type === 'save-hard-state')
    this.#queue = unstoredEffects.filter((effect) => effect.type === 'reset-log')
    this.#counters.droppedMessages += unstoredEffects.filter((effect) => effect.type === 'send').length
    this.#dispatch({ type: 'append-failed' })
    if (unstoredEffects.some((effect) => effect.type === 'save-snapshot')) this.#dispatch({ type: 'snapshot-failed' })
    if (!this.#isDiskRetryScheduled) this.#scheduleDiskRetry(err)
  }

  #scheduleDiskRetry (err: unknown): void {
    this.#isDiskRetryScheduled = true
    const now = this.#options.timers.now()
    // Retries that fail belong to the same disk-full period: they are counted, not logged.
    if (now - this.#lastDiskFullAt > 2 * DISK_RETRY_MS) this.#options.log?.('warn', 'disk is full; refusing new proposals until a retry succeeds', { group: this.#options.group, node: this.#options.node, err: String(err) })
    this.#lastDiskFullAt = now
    this.#options.timers.subscribe(DISK_RETRY_MS, () => { this.#retryDisk() })
  }

  #retryDisk (): void {
    this.#isDiskRetryScheduled = false
    if (this.#isStopped) return
    // Stores the newest state, because an older one must not overwrite it.
    if (this.#isHardStateUnsaved && this.#latestHardState) {
      this.#queue.push({ type: 'save-hard-state', state: this.#latestHardState })
      this.#flushing ??= this.#flush()
    }
    this.#dispatch({ type: 'disk-writable' })
  }
}
