import { posix } from 'node:path'
import type { RandomSource } from '@ibisstair/timers'
import type { FileHandle, FileSystem } from './types.ts'

const SECTOR_BYTES = 512

type Change =
  | { readonly type: 'write', readonly position: number, readonly data: Buffer }
  | { readonly type: 'truncate', readonly length: number }

/** Names bound to a file, or removed, by one operation. */
type NameChange = readonly (readonly [path: string, file: MemoryFile | null])[]

class MemoryFile {
  current: Buffer = Buffer.alloc(0)
  durable: Buffer = Buffer.alloc(0)
  unsynced: Change[] = []
}

export interface MemoryDiskOptions {
  /** Called before each operation, for example to wait for a timer. */
  readonly delay?: () => Promise<void>
  /** Test option: `sync` has no effect, as with a disk that acknowledges too early. */
  readonly ignoreSync?: boolean
}

const createError = (code: string, path: string): Error => Object.assign(new Error(`${code}: ${path}`), { code })

const applyChange = (content: Buffer, change: Change): Buffer => {
  const length = change.type === 'truncate' ? change.length : Math.max(content.length, change.position + change.data.length)
  const next = Buffer.alloc(length)
  content.copy(next)
  if (change.type === 'write') change.data.copy(next, change.position)
  return next
}

/** A torn write: any of its sectors may be on the disk, in any order. */
const tear = (change: Change, random: RandomSource): Change[] => {
  if (change.type === 'truncate') return random.int(0, 1) === 0 ? [] : [change]
  const kept: Change[] = []
  for (let at = 0; at < change.data.length; at += SECTOR_BYTES) {
    if (random.int(0, 1) === 0) continue
    kept.push({ type: 'write', position: change.position + at, data: change.data.subarray(at, at + SECTOR_BYTES) })
  }
  return kept
}

/**
 * A disk in memory for tests. It tells what is written from what is synced: a crash loses or tears
 * what was not synced, and names that were not made durable with `syncFolder`.
 */
export class MemoryDisk {
  readonly #options: MemoryDiskOptions
  readonly #folders = new Set(['/', '.'])
  #names = new Map<string, MemoryFile>()
  #durableNames = new Map<string, MemoryFile>()
  #unsyncedNames: NameChange[] = []
  #generation = 0
  #capacity = Infinity

  constructor (options: MemoryDiskOptions = {}) {
    this.#options = options
  }

  /** The view of one process; it fails after the next crash. */
  attach (): FileSystem {
    return new MemoryFileSystem(this, this.#generation)
  }

  /** Bytes that files may take up; a write beyond it fails with ENOSPC. */
  setCapacity (bytes: number): void {
    this.#capacity = bytes
  }

  get usedBytes (): number {
    let sum = 0
    for (const file of this.#names.values()) sum += file.current.length
    return sum
  }

  /** The process dies with the VM: changes that were not synced are lost, kept or torn. */
  crash (random: RandomSource): void {
    this.#generation += 1
    for (const change of this.#unsyncedNames.slice(0, random.int(0, this.#unsyncedNames.length))) this.#applyNames(this.#durableNames, change)
    this.#unsyncedNames = []
    this.#names = new Map(this.#durableNames)
    for (const file of this.#names.values()) this.#crashFile(file, random)
  }

  /** The process is killed and the VM goes on: everything written so far stays. */
  kill (): void {
    this.#generation += 1
  }

  /** All files are gone. */
  lose (): void {
    this.#generation += 1
    this.#names.clear()
    this.#durableNames.clear()
    this.#unsyncedNames = []
    this.#folders.clear()
    for (const folder of ['/', '.']) this.#folders.add(folder)
  }

  /** Inverts one byte, as a damaged medium does. */
  damage (path: string, offset: number): void {
    const file = this.#require(path)
    for (const content of [file.current, file.durable]) {
      if (offset < content.length) content[offset]! ^= 0xff
    }
  }

  sizeOf (path: string): number {
    return this.#require(path).current.length
  }

  async enter (generation: number): Promise<void> {
    await this.#options.delay?.()
    if (generation !== this.#generation) throw createError('EIO', 'the process of this view has ended')
  }

  find (path: string): MemoryFile | null {
    return this.#names.get(path) ?? null
  }

  create (path: string): MemoryFile {
    const file = new MemoryFile()
    this.rename([[path, file]])
    return file
  }

  rename (change: NameChange): void {
    for (const [path] of change) {
      if (!this.#folders.has(posix.dirname(path))) throw createError('ENOENT', path)
    }
    this.#applyNames(this.#names, change)
    this.#unsyncedNames.push(change)
  }

  syncNames (folder: string): void {
    if (!this.#folders.has(folder)) throw createError('ENOENT', folder)
    if (this.#options.ignoreSync) return
    // Names of all folders become durable together, as in a journal with one sequence.
    for (const change of this.#unsyncedNames) this.#applyNames(this.#durableNames, change)
    this.#unsyncedNames = []
  }

  list (folder: string): string[] | null {
    if (!this.#folders.has(folder)) return null
    return [...this.#names.keys()].filter((path) => posix.dirname(path) === folder).map((path) => posix.basename(path)).sort()
  }

  makeFolder (folder: string): boolean {
    if (this.#folders.has(folder)) return false
    this.#folders.add(folder)
    return true
  }

  /** Writes what fits and fails with ENOSPC when something does not. */
  write (file: MemoryFile, position: number, data: Buffer): void {
    const growth = Math.max(0, position + data.length - file.current.length)
    const missing = Math.max(0, growth - Math.max(0, this.#capacity - this.usedBytes))
    const fitting = data.subarray(0, data.length - Math.min(missing, data.length))
    if (fitting.length > 0) this.change(file, { type: 'write', position, data: Buffer.from(fitting) })
    if (missing > 0) throw createError('ENOSPC', 'write')
  }

  change (file: MemoryFile, change: Change): void {
    file.current = applyChange(file.current, change)
    file.unsynced.push(change)
  }

  sync (file: MemoryFile): void {
    if (this.#options.ignoreSync) return
    file.durable = Buffer.from(file.current)
    file.unsynced = []
  }

  #crashFile (file: MemoryFile, random: RandomSource): void {
    let content = file.durable
    for (const change of file.unsynced) {
      for (const part of tear(change, random)) content = applyChange(content, part)
    }
    file.durable = Buffer.from(content)
    file.current = Buffer.from(content)
    file.unsynced = []
  }

  #applyNames (names: Map<string, MemoryFile>, change: NameChange): void {
    for (const [path, file] of change) {
      if (file) names.set(path, file)
      else names.delete(path)
    }
  }

  #require (path: string): MemoryFile {
    const file = this.find(path)
    if (!file) throw createError('ENOENT', path)
    return file
  }
}

class MemoryHandle implements FileHandle {
  constructor (readonly path: string, private readonly disk: MemoryDisk, private readonly file: MemoryFile, private readonly generation: number) {}

  async size (): Promise<number> {
    await this.disk.enter(this.generation)
    return this.file.current.length
  }

  async read (position: number, length: number): Promise<Buffer> {
    await this.disk.enter(this.generation)
    return Buffer.from(this.file.current.subarray(position, position + length))
  }

  async write (position: number, data: Uint8Array): Promise<void> {
    await this.disk.enter(this.generation)
    this.disk.write(this.file, position, Buffer.from(data))
  }

  async truncate (length: number): Promise<void> {
    await this.disk.enter(this.generation)
    if (length !== this.file.current.length) this.disk.change(this.file, { type: 'truncate', length })
  }

  async sync (): Promise<void> {
    await this.disk.enter(this.generation)
    this.disk.sync(this.file)
  }

  async close (): Promise<void> {}
}

class MemoryFileSystem implements FileSystem {
  constructor (private readonly disk: MemoryDisk, private readonly generation: number) {}

  async open (path: string): Promise<FileHandle> {
    await this.disk.enter(this.generation)
    const file = this.disk.find(path) ?? this.disk.create(path)
    return new MemoryHandle(path, this.disk, file, this.generation)
  }

  async readFile (path: string): Promise<Buffer | null> {
    await this.disk.enter(this.generation)
    const file = this.disk.find(path)
    return file ? Buffer.from(file.current) : null
  }

  async rename (from: string, to: string): Promise<void> {
    await this.disk.enter(this.generation)
    const file = this.disk.find(from)
    if (!file) throw createError('ENOENT', from)
    this.disk.rename([[from, null], [to, file]])
  }

  async remove (path: string): Promise<void> {
    await this.disk.enter(this.generation)
    if (this.disk.find(path)) this.disk.rename([[path, null]])
  }

  async list (folder: string): Promise<string[] | null> {
    await this.disk.enter(this.generation)
    return this.disk.list(folder)
  }

  async makeFolder (folder: string): Promise<boolean> {
    await this.disk.enter(this.generation)
    return this.disk.makeFolder(folder)
  }

  async syncFolder (folder: string): Promise<void> {
    await this.disk.enter(this.generation)
    this.disk.syncNames(folder)
  }
}
