import { posix } from 'node:path'
import * as v from 'valibot'
import { IbisError, invariant } from '@ibisstair/common'
import { AppendLog, SnapshotStore, ValueFile } from '@ibisstair/storage'
import type { DataFolder, TornTail } from '@ibisstair/storage'
import { entrySchema, hardStateSchema, snapshotSchema } from './messages.ts'
import type { ReplicaState } from './replica-types.ts'
import type { EncodedSnapshot, HardState, LogEntry, Member } from './types.ts'

const HARD_STATE_FILE = 'hard-state'
const LOG_FILE = 'log'

export interface OpenedGroup {
  readonly storage: GroupStorage
  readonly state: ReplicaState
  readonly tornTail: TornTail | null
  /** Indexes of damaged snapshots, whose state was recovered from an older snapshot and the log. */
  readonly damagedSnapshots: readonly number[]
}

const createDamagedError = (file: string, detail: string): IbisError =>
  new IbisError('data-damaged', `${file}: ${detail}`, { info: { file, offset: 0 } })

const parseStored = <S extends v.GenericSchema>(schema: S, value: unknown, file: string): v.InferOutput<S> => {
  const result = v.safeParse(schema, value)
  if (!result.success) throw createDamagedError(file, 'a stored value does not match the schema')
  return result.output
}

/** The durable state of one replica: hard state, log and snapshots in the group's folder. */
export class GroupStorage {
  readonly #hardState: ValueFile<typeof hardStateSchema>
  readonly #snapshots: SnapshotStore
  readonly #log: AppendLog
  /** Log index of the first record in the file, or of the next record when the file is empty. */
  #firstIndex = 1
  #storedHardState: HardState
  #snapshotIndex = 0
  /** The log is kept from this snapshot on, in case the newest snapshot is damaged. */
  #previousSnapshotIndex = 0

  private constructor (file: ValueFile<typeof hardStateSchema>, hardState: HardState, snapshots: SnapshotStore, log: AppendLog) {
    this.#hardState = file
    this.#storedHardState = hardState
    this.#snapshots = snapshots
    this.#log = log
  }

  /**
   * Opens or creates the group's state. A node in its first incarnation starts with the initial
   * members; in a later incarnation it starts without members and must be admitted. Rejects with `data-damaged`.
   */
  static async open (folder: DataFolder, group: string, initialMembers: readonly Member[]): Promise<OpenedGroup> {
    const path = await folder.makeGroupFolder(group)
    const hardStateFile = new ValueFile(folder.fs, posix.join(path, HARD_STATE_FILE), hardStateSchema)
    const snapshots = new SnapshotStore(folder.fs, path)
    const hardState = await hardStateFile.read() ?? await GroupStorage.#create(folder, group, hardStateFile, snapshots, initialMembers)
    await folder.addGroup(group)
    const loaded = await snapshots.load()
    if (!loaded.newest) throw createDamagedError(path, 'no valid snapshot was found')
    const snapshot = parseStored(snapshotSchema, loaded.newest.value, path)
    const { log, records, tornTail } = await AppendLog.open(folder.fs, posix.join(path, LOG_FILE))
    const storage = new GroupStorage(hardStateFile, hardState, snapshots, log)
    storage.#snapshotIndex = snapshot.index
    storage.#previousSnapshotIndex = loaded.previousIndex ?? snapshot.index
    const entries = await storage.#recover(records, snapshot, Math.max(0, ...loaded.damaged))
    return { storage, state: { hardState, snapshot, entries }, tornTail, damagedSnapshots: loaded.damaged }
  }

  static async #create (folder: DataFolder, group: string, file: ValueFile<typeof hardStateSchema>, snapshots: SnapshotStore, initialMembers: readonly Member[]): Promise<HardState> {
    if (folder.hasGroup(group)) throw createDamagedError(file.path, 'the state of the group is missing')
    const hardState = { term: 0, votedFor: null, votedIncarnation: null }
    await snapshots.save(0, { index: 0, term: 0, members: folder.isFirstIncarnation ? initialMembers : [], data: '' })
    await file.write(hardState)
    return hardState
  }

  /** Returns the entries after the snapshot. */
  async #recover (records: readonly unknown[], snapshot: EncodedSnapshot, requiredIndex: number): Promise<LogEntry[]> {
    const { path } = this.#log
    const entries = records.map((record) => parseStored(entrySchema, record, path))
    const first = entries[0]?.index ?? snapshot.index + 1
    const last = first + entries.length - 1
    if (entries.some((entry, i) => entry.index !== first + i)) throw createDamagedError(path, 'the log has a gap')
    if (first > snapshot.index + 1) throw createDamagedError(path, `the log starts at ${first}, but the newest valid snapshot ends at ${snapshot.index}`)
    if (last < requiredIndex) throw createDamagedError(path, `the snapshot at ${requiredIndex} is damaged, and the log ends at ${last}`)
    this.#firstIndex = first
    const entryAtSnapshot = entries[snapshot.index - first]
    // The log is obsolete when it ends before the snapshot or has another term at the snapshot index.
    const isObsolete = last < snapshot.index || (entryAtSnapshot && entryAtSnapshot.term !== snapshot.term)
    if (isObsolete) await this.resetLog(snapshot.index)
    return isObsolete ? [] : entries.slice(snapshot.index + 1 - first)
  }

  get logBytes (): number {
    return this.#log.bytes
  }

  get logCounters (): Readonly<Record<string, number>> {
    return { ...this.#log.counters }
  }

  async saveHardState (state: HardState): Promise<void> {
    const stored = this.#storedHardState
    const isSameVote = state.votedFor === stored.votedFor && (state.votedIncarnation ?? null) === (stored.votedIncarnation ?? null)
    invariant(state.term > stored.term || (state.term === stored.term && (stored.votedFor === null || isSameVote)), 'a stored term does not decrease, and its vote does not change', { stored, state })
    await this.#hardState.write({ ...state, votedIncarnation: state.votedIncarnation ?? null })
    this.#storedHardState = state
  }

  /** Writes the entries, replacing stored ones from the first entry's index on. */
  async append (entries: readonly LogEntry[]): Promise<void> {
    const first = entries[0]
    if (!first) return
    if (this.#log.count === 0) this.#firstIndex = first.index
    const keptCount = first.index - this.#firstIndex
    invariant(keptCount >= 0 && keptCount <= this.#log.count, 'the stored log has no gap', { first: first.index, stored: this.#firstIndex, count: this.#log.count })
    if (keptCount < this.#log.count) await this.#log.truncate(keptCount)
    if (keptCount === 0) this.#firstIndex = first.index
    await this.#log.append(entries)
  }

  async resetLog (index: number): Promise<void> {
    await this.#log.truncate(0)
    this.#firstIndex = index + 1
    this.#previousSnapshotIndex = index
  }

  async saveSnapshot (snapshot: EncodedSnapshot): Promise<void> {
    await this.#snapshots.save(snapshot.index, snapshot)
    if (snapshot.index <= this.#snapshotIndex) return
    this.#previousSnapshotIndex = Math.max(this.#previousSnapshotIndex, this.#snapshotIndex)
    this.#snapshotIndex = snapshot.index
  }

  /** Removes the records up to the previous snapshot, which no recovery needs any more. */
  async compact (): Promise<void> {
    const count = Math.min(this.#previousSnapshotIndex + 1 - this.#firstIndex, this.#log.count)
    if (count <= 0) return
    await this.#log.dropFirst(count)
    this.#firstIndex += count
  }

  async close (): Promise<void> {
    await this.#log.close()
  }
}
