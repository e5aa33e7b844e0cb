import { posix } from 'node:path'
import { IbisError, invariant } from '@ibisstair/common'
import { MAX_PENDING_BYTES, MAX_RECORD_BYTES } from './constants.ts'
import { createDamagedError, isNoSpace, toStorageError } from './errors.ts'
import { decodePayload, encodeFrame, FRAME_HEADER_BYTES, isSyncedByLaterFrame, packValue, readFrame } from './frame.ts'
import type { FileHandle, FileSystem, TornTail } from './types.ts'

export interface OpenedLog {
  readonly log: AppendLog
  readonly records: readonly unknown[]
  /** Set when a crash left an incomplete record, which was removed on opening. */
  readonly tornTail: TornTail | null
}

export interface AppendLogCounters {
  appends: number
  syncs: number
  diskFull: number
  overloaded: number
}

interface Waiter {
  readonly resolve: () => void
  readonly reject: (err: IbisError) => void
}

type Operation = Waiter & (
  | { readonly type: 'append', readonly payloads: readonly Buffer[] }
  | { readonly type: 'truncate', readonly count: number }
  | { readonly type: 'drop', readonly count: number }
  | { readonly type: 'replace', readonly payloads: readonly Buffer[] }
)

interface ScanResult {
  readonly records: readonly unknown[]
  readonly offsets: number[]
  readonly end: number
  /** Largest `syncedLength` of the valid frames before `end`. */
  readonly syncedLength: number
}

const packRecord = (value: unknown): Buffer => {
  const payload = packValue(value)
  if (payload.length > MAX_RECORD_BYTES) throw new IbisError('body-too-large', `record has ${payload.length} bytes; at most ${MAX_RECORD_BYTES} are accepted`)
  return payload
}

const countFrameBytes = (operation: Operation): number =>
  operation.type === 'truncate' || operation.type === 'drop' ? 0 : operation.payloads.reduce((sum, payload) => sum + FRAME_HEADER_BYTES + payload.length, 0)

const scanFrames = (content: Buffer): ScanResult => {
  const records: unknown[] = []
  const offsets: number[] = []
  let end = 0
  let syncedLength = 0
  for (;;) {
    const frame = readFrame(content, end)
    if (!frame) return { records, offsets, end, syncedLength }
    records.push(decodePayload(frame))
    offsets.push(end)
    end = frame.end
    syncedLength = Math.max(syncedLength, frame.syncedLength)
  }
}

/**
 * Log of records in one file. Each operation resolves once the file is synced; appends that arrive
 * during a sync share the next sync. Damage to the last synced batch cannot be distinguished from an
 * incomplete write, so the damaged part is removed as a torn tail.
 */
export class AppendLog {
  readonly path: string
  readonly counters: AppendLogCounters = { appends: 0, syncs: 0, diskFull: 0, overloaded: 0 }
  readonly #fs: FileSystem
  #file: FileHandle
  #offsets: number[]
  #end: number
  #queue: Operation[] = []
  #pendingBytes = 0
  #running: Promise<void> | null = null
  /** Set when the log is closed or the state of the file is unknown; every later operation rejects with it. */
  #fatalError: IbisError | null = null

  private constructor (fs: FileSystem, file: FileHandle, offsets: number[], end: number) {
    this.#fs = fs
    this.#file = file
    this.path = file.path
    this.#offsets = offsets
    this.#end = end
  }

  /** Opens or creates the log and removes a torn tail. Rejects with `data-damaged` when a synced record is damaged. */
  static async open (fs: FileSystem, path: string): Promise<OpenedLog> {
    const file = await fs.open(path)
    await fs.syncFolder(posix.dirname(path))
    const content = await file.read(0, await file.size())
    const { records, offsets, end, syncedLength } = scanFrames(content)
    const tornTail = end < content.length ? { file: path, offset: end, bytes: content.length - end } : null
    if (tornTail) {
      if (syncedLength > end || isSyncedByLaterFrame(content, end)) {
        await file.close()
        throw createDamagedError(path, end, 'a synced record is invalid')
      }
      await file.truncate(end)
    }
    // The last records may exist only in the page cache, for example when the process was killed but the VM kept running.
    await file.sync()
    return { log: new AppendLog(fs, file, offsets, end), records, tornTail }
  }

  /** Number of synced records. */
  get count (): number {
    return this.#offsets.length
  }

  get bytes (): number {
    return this.#end
  }

  /** Appends the values. Rejects with `disk-full` when there is no space; then none of the values is in the file. */
  async append (values: readonly unknown[]): Promise<void> {
    const payloads = values.map(packRecord)
    await this.#enqueue((waiter) => ({ type: 'append', payloads, ...waiter }))
  }

  /** Keeps the first `count` records and removes the others. */
  truncate (count: number): Promise<void> {
    return this.#enqueue((waiter) => ({ type: 'truncate', count, ...waiter }))
  }

  /** Replaces all records atomically: after a crash the file has either the old or the new records. */
  async replace (values: readonly unknown[]): Promise<void> {
    const payloads = values.map(packRecord)
    await this.#enqueue((waiter) => ({ type: 'replace', payloads, ...waiter }))
  }

  /** Removes the first `count` records, atomically like `replace`. */
  dropFirst (count: number): Promise<void> {
    return this.#enqueue((waiter) => ({ type: 'drop', count, ...waiter }))
  }

  async close (): Promise<void> {
    await this.#running
    this.#fatalError ??= new IbisError('internal', `${this.path}: the log is closed`)
    await this.#file.close()
  }

  #enqueue (create: (waiter: Waiter) => Operation): Promise<void> {
    return new Promise((resolve, reject) => {
      if (this.#fatalError) {
        reject(this.#fatalError)
        return
      }
      if (this.#pendingBytes > MAX_PENDING_BYTES) {
        this.counters.overloaded += 1
        reject(new IbisError('overloaded', `${this.path}: too many bytes are queued for the disk`))
        return
      }
      const operation = create({ resolve, reject })
      this.#pendingBytes += countFrameBytes(operation)
      this.#queue.push(operation)
      this.#running ??= this.#run()
    })
  }

  async #run (): Promise<void> {
    // Waits for a microtask, so that appends made in the same turn of the event loop share a sync.
    await Promise.resolve()
    while (this.#queue.length > 0) {
      const batch = this.#takeBatch()
      try {
        if (this.#fatalError) throw this.#fatalError
        await this.#execute(batch)
        for (const operation of batch) operation.resolve()
      } catch (err) {
        const storageErr = toStorageError(err, this.path)
        if (storageErr.kind === 'disk-full') this.counters.diskFull += 1
        for (const operation of batch) operation.reject(storageErr)
      }
      for (const operation of batch) this.#pendingBytes -= countFrameBytes(operation)
    }
    this.#running = null
  }

  #takeBatch (): Operation[] {
    const first = this.#queue[0]
    invariant(first, 'the operation queue is not empty')
    const end = first.type === 'append' ? this.#queue.findIndex((operation) => operation.type !== 'append') : 1
    return this.#queue.splice(0, end < 0 ? this.#queue.length : end)
  }

  async #execute (batch: readonly Operation[]): Promise<void> {
    const first = batch[0]
    if (first?.type === 'truncate') return await this.#truncate(first.count)
    if (first?.type === 'drop') return await this.#replace(await this.#readFrom(first.count))
    if (first?.type === 'replace') return await this.#replace(first.payloads)
    await this.#append(batch.flatMap((operation) => operation.type === 'append' ? operation.payloads : []))
  }

  async #append (payloads: readonly Buffer[]): Promise<void> {
    const frames = payloads.map((payload) => encodeFrame(payload, this.#end))
    try {
      await this.#file.write(this.#end, Buffer.concat(frames))
      await this.#sync()
    } catch (err) {
      await this.#undoAppend(err)
      throw err
    }
    for (const frame of frames) {
      this.#offsets.push(this.#end)
      this.#end += frame.length
    }
    this.counters.appends += frames.length
  }

  /**
   * Removes what a failed append wrote when the disk is full. After any other error, or when the removal
   * fails, closes the log for writing.
   * The truncation is synced before the append rejects, because the rejection tells the caller that nothing was stored.
   */
  async #undoAppend (err: unknown): Promise<void> {
    try {
      if (!isNoSpace(err)) throw err
      await this.#file.truncate(this.#end)
      await this.#sync()
    } catch (undoErr) {
      this.#fatalError = toStorageError(undoErr, this.path)
      throw new IbisError('internal', `${this.path}: append failed; the log is closed for writing`, { cause: this.#fatalError })
    }
  }

  async #truncate (count: number): Promise<void> {
    invariant(count >= 0 && count <= this.#offsets.length, 'a log is truncated to a prefix of itself', { count, records: this.#offsets.length })
    if (count === this.#offsets.length) return
    const end = this.#offsets[count] ?? this.#end
    try {
      await this.#file.truncate(end)
      // Without this sync, the removed records could reappear behind a later append after a crash.
      await this.#sync()
    } catch (err) {
      this.#fatalError = toStorageError(err, this.path)
      throw new IbisError('internal', `${this.path}: truncation failed; the log is closed for writing`, { cause: this.#fatalError })
    }
    this.#offsets.length = count
    this.#end = end
  }

  async #replace (payloads: readonly Buffer[]): Promise<void> {
    const length = payloads.reduce((sum, payload) => sum + FRAME_HEADER_BYTES + payload.length, 0)
    const frames = payloads.map((payload) => encodeFrame(payload, length))
    const temporaryPath = `${this.path}.tmp`
    const file = await this.#writeTemporary(temporaryPath, Buffer.concat(frames))
    try {
      await this.#fs.rename(temporaryPath, this.path)
      await this.#fs.syncFolder(posix.dirname(this.path))
    } catch (err) {
      this.#fatalError = toStorageError(err, this.path)
      throw new IbisError('internal', `${this.path}: replacement failed; the log is closed for writing`, { cause: this.#fatalError })
    }
    const oldFile = this.#file
    this.#file = file
    this.#offsets = []
    this.#end = 0
    for (const frame of frames) {
      this.#offsets.push(this.#end)
      this.#end += frame.length
    }
    await oldFile.close()
  }

  async #readFrom (count: number): Promise<Buffer[]> {
    const content = await this.#file.read(0, this.#end)
    return this.#offsets.slice(count).map((offset) => {
      const frame = readFrame(content, offset)
      if (!frame) throw createDamagedError(this.path, offset, 'a synced record is invalid')
      return frame.payload
    })
  }

  async #writeTemporary (path: string, data: Buffer): Promise<FileHandle> {
    const file = await this.#fs.open(path)
    try {
      await file.truncate(0)
      await file.write(0, data)
      await file.sync()
      return file
    } catch (err) {
      await file.close()
      await this.#fs.remove(path)
      throw err
    }
  }

  async #sync (): Promise<void> {
    await this.#file.sync()
    this.counters.syncs += 1
  }
}
