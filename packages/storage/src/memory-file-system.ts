import { posix } from 'node:path'
import type { RandomSource } from '@ibisstair/timers'
import type { FileHandle, FileSystem } from './types.ts'

const SECTOR_BYTES = 512

type ContentChange =
  | { readonly type: 'write', readonly position: number, readonly data: Buffer }
  | { readonly type: 'truncate', readonly length: number }

/** File names that one operation adds, rebinds or removes (`null`). */
type NameChange = readonly (readonly [path: string, file: MemoryFile | null])[]

class MemoryFile {
  current: Buffer = Buffer.alloc(0)
  durable: Buffer = Buffer.alloc(0)
  unsynced: ContentChange[] = []
}

export interface MemoryDiskOptions {
  /** Awaited before each operation, for example to simulate a slow disk with a timer. */
  readonly delay?: () => Promise<void>
  /** Makes `sync` and `syncFolder` have no effect, as on a disk that acknowledges a sync before data is durable. */
  readonly ignoreSync?: boolean
}

const createFileSystemError = (code: string, path: string): Error => Object.assign(new Error(`${code}: ${path}`), { code })

const applyChange = (content: Buffer, change: ContentChange): Buffer => {
  const length = change.type === 'truncate' ? change.length : Math.max(content.length, change.position + change.data.length)
  const next = Buffer.alloc(length)
  content.copy(next)
  if (change.type === 'write') change.data.copy(next, change.position)
  return next
}

/** Simulates a torn write: keeps a random subset of the sectors. A truncation is kept or lost as a whole. */
const tearChange = (change: ContentChange, random: RandomSource): ContentChange[] => {
  if (change.type === 'truncate') return random.int(0, 1) === 0 ? [] : [change]
  const keptSectors: ContentChange[] = []
  for (let offset = 0; offset < change.data.length; offset += SECTOR_BYTES) {
    if (random.int(0, 1) === 0) continue
    keptSectors.push({ type: 'write', position: change.position + offset, data: change.data.subarray(offset, offset + SECTOR_BYTES) })
  }
  return keptSectors
}

/**
 * In-memory disk for tests that keeps written and synced data apart. A crash loses or tears writes
 * that were not synced, and may lose name changes that were not made durable with `syncFolder`.
 */
export class MemoryDisk {
  readonly #options: MemoryDiskOptions
  readonly #folders = new Set(['/', '.'])
  #names = new Map<string, MemoryFile>()
  #durableNames = new Map<string, MemoryFile>()
  #unsyncedNames: NameChange[] = []
  #generation = 0
  #capacity = Infinity
  #isOutOfDescriptors = false

  constructor (options: MemoryDiskOptions = {}) {
    this.#options = options
  }

  /** Returns the file system as one process sees it. Its operations fail with EIO after the next crash, kill or loss. */
  attach (): FileSystem {
    return new MemoryFileSystem(this, this.#generation)
  }

  /** Limits the total size of all files. A write beyond the limit fails with ENOSPC. */
  setCapacity (bytes: number): void {
    this.#capacity = bytes
  }

  /** Simulates a process whose descriptors are all in use: no file or folder can be opened. */
  setOutOfDescriptors (isOut: boolean): void {
    this.#isOutOfDescriptors = isOut
  }

  assertDescriptor (path: string): void {
    if (this.#isOutOfDescriptors) throw createFileSystemError('EMFILE', path)
  }

  get usedBytes (): number {
    let sum = 0
    for (const file of this.#names.values()) sum += file.current.length
    return sum
  }

  /** Simulates a crash of the VM: each change that was not synced is lost, kept or torn. */
  crash (random: RandomSource): void {
    this.#generation += 1
    for (const change of this.#unsyncedNames.slice(0, random.int(0, this.#unsyncedNames.length))) this.#applyNames(this.#durableNames, change)
    this.#unsyncedNames = []
    this.#names = new Map(this.#durableNames)
    for (const file of this.#names.values()) this.#crashFile(file, random)
  }

  /** Simulates a killed process on a VM that keeps running: all data written so far stays. */
  kill (): void {
    this.#generation += 1
  }

  /** Simulates the loss of the disk: removes all files and folders. */
  lose (): void {
    this.#generation += 1
    this.#names.clear()
    this.#durableNames.clear()
    this.#unsyncedNames = []
    this.#folders.clear()
    for (const folder of ['/', '.']) this.#folders.add(folder)
  }

  /** Inverts the byte at `offset`, in both the written and the synced content. */
  damage (path: string, offset: number): void {
    const file = this.#getFile(path)
    for (const content of [file.current, file.durable]) {
      if (offset < content.length) content[offset]! ^= 0xff
    }
  }

  sizeOf (path: string): number {
    return this.#getFile(path).current.length
  }

  async beginOperation (generation: number): Promise<void> {
    await this.#options.delay?.()
    if (generation !== this.#generation) throw createFileSystemError('EIO', 'the process that opened this file system has ended')
  }

  findFile (path: string): MemoryFile | null {
    return this.#names.get(path) ?? null
  }

  createFile (path: string): MemoryFile {
    const file = new MemoryFile()
    this.changeNames([[path, file]])
    return file
  }

  changeNames (change: NameChange): void {
    for (const [path] of change) {
      if (!this.#folders.has(posix.dirname(path))) throw createFileSystemError('ENOENT', path)
    }
    this.#applyNames(this.#names, change)
    this.#unsyncedNames.push(change)
  }

  syncNames (folder: string): void {
    if (!this.#folders.has(folder)) throw createFileSystemError('ENOENT', folder)
    if (this.#options.ignoreSync) return
    // Name changes of all folders become durable together, as in a file system with a single journal.
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

  /** Writes the part of the data that fits, then throws ENOSPC if some did not fit. */
  write (file: MemoryFile, position: number, data: Buffer): void {
    const growthBytes = Math.max(0, position + data.length - file.current.length)
    const excessBytes = Math.max(0, growthBytes - Math.max(0, this.#capacity - this.usedBytes))
    const fittingData = data.subarray(0, data.length - Math.min(excessBytes, data.length))
    if (fittingData.length > 0) this.changeContent(file, { type: 'write', position, data: Buffer.from(fittingData) })
    if (excessBytes > 0) throw createFileSystemError('ENOSPC', 'write')
  }

  changeContent (file: MemoryFile, change: ContentChange): void {
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
      for (const part of tearChange(change, random)) content = applyChange(content, part)
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

  #getFile (path: string): MemoryFile {
    const file = this.findFile(path)
    if (!file) throw createFileSystemError('ENOENT', path)
    return file
  }
}

class MemoryHandle implements FileHandle {
  constructor (readonly path: string, private readonly disk: MemoryDisk, private readonly file: MemoryFile, private readonly generation: number) {}

  async size (): Promise<number> {
    await this.disk.beginOperation(this.generation)
    return this.file.current.length
  }

  async read (position: number, length: number): Promise<Buffer> {
    await this.disk.beginOperation(this.generation)
    return Buffer.from(this.file.current.subarray(position, position + length))
  }

  async write (position: number, data: Uint8Array): Promise<void> {
    await this.disk.beginOperation(this.generation)
    this.disk.write(this.file, position, Buffer.from(data))
  }

  async truncate (length: number): Promise<void> {
    await this.disk.beginOperation(this.generation)
    if (length !== this.file.current.length) this.disk.changeContent(this.file, { type: 'truncate', length })
  }

  async sync (): Promise<void> {
    await this.disk.beginOperation(this.generation)
    this.disk.sync(this.file)
  }

  async close (): Promise<void> {}
}

class MemoryFileSystem implements FileSystem {
  constructor (private readonly disk: MemoryDisk, private readonly generation: number) {}

  async open (path: string): Promise<FileHandle> {
    await this.disk.beginOperation(this.generation)
    this.disk.assertDescriptor(path)
    const file = this.disk.findFile(path) ?? this.disk.createFile(path)
    return new MemoryHandle(path, this.disk, file, this.generation)
  }

  async readFile (path: string): Promise<Buffer | null> {
    await this.disk.beginOperation(this.generation)
    const file = this.disk.findFile(path)
    return file ? Buffer.from(file.current) : null
  }

  async rename (from: string, to: string): Promise<void> {
    await this.disk.beginOperation(this.generation)
    const file = this.disk.findFile(from)
    if (!file) throw createFileSystemError('ENOENT', from)
    this.disk.changeNames([[from, null], [to, file]])
  }

  async remove (path: string): Promise<void> {
    await this.disk.beginOperation(this.generation)
    if (this.disk.findFile(path)) this.disk.changeNames([[path, null]])
  }

  async list (folder: string): Promise<string[] | null> {
    await this.disk.beginOperation(this.generation)
    this.disk.assertDescriptor(folder)
    return this.disk.list(folder)
  }

  async makeFolder (folder: string): Promise<boolean> {
    await this.disk.beginOperation(this.generation)
    return this.disk.makeFolder(folder)
  }

  async syncFolder (folder: string): Promise<void> {
    await this.disk.beginOperation(this.generation)
    this.disk.syncNames(folder)
  }
}
