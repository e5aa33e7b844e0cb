import { constants, promises } from 'node:fs'
import type { FileHandle as NodeHandle } from 'node:fs/promises'
import { isMissing } from './errors.ts'
import type { FileHandle, FileSystem } from './types.ts'

const OPEN_FLAGS = constants.O_RDWR | constants.O_CREAT

class NodeFile implements FileHandle {
  readonly #handle: NodeHandle

  constructor (readonly path: string, handle: NodeHandle) {
    this.#handle = handle
  }

  async size (): Promise<number> {
    return (await this.#handle.stat()).size
  }

  async read (position: number, length: number): Promise<Buffer> {
    const buffer = Buffer.allocUnsafe(length)
    let totalRead = 0
    while (totalRead < length) {
      const { bytesRead } = await this.#handle.read(buffer, totalRead, length - totalRead, position + totalRead)
      if (bytesRead === 0) break
      totalRead += bytesRead
    }
    return buffer.subarray(0, totalRead)
  }

  async write (position: number, data: Uint8Array): Promise<void> {
    let totalWritten = 0
    while (totalWritten < data.length) {
      const { bytesWritten } = await this.#handle.write(data, totalWritten, data.length - totalWritten, position + totalWritten)
      totalWritten += bytesWritten
    }
  }

  async truncate (length: number): Promise<void> {
    await this.#handle.truncate(length)
  }

  async sync (): Promise<void> {
    await this.#handle.datasync()
  }

  async close (): Promise<void> {
    await this.#handle.close()
  }
}

const nullIfMissing = (err: unknown): null => {
  if (isMissing(err)) return null
  throw err
}

/** File system of the operating system; created files and folders are accessible to their owner only. */
export class NodeFileSystem implements FileSystem {
  async open (path: string): Promise<FileHandle> {
    return new NodeFile(path, await promises.open(path, OPEN_FLAGS, 0o600))
  }

  async readFile (path: string): Promise<Buffer | null> {
    return await promises.readFile(path).catch(nullIfMissing)
  }

  async rename (from: string, to: string): Promise<void> {
    await promises.rename(from, to)
  }

  async remove (path: string): Promise<void> {
    await promises.rm(path, { force: true })
  }

  async list (folder: string): Promise<string[] | null> {
    const names = await promises.readdir(folder).catch(nullIfMissing)
    return names?.sort() ?? null
  }

  async makeFolder (folder: string): Promise<boolean> {
    try {
      await promises.mkdir(folder, { mode: 0o700 })
      return true
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === 'EEXIST') return false
      throw err
    }
  }

  async syncFolder (folder: string): Promise<void> {
    const handle = await promises.open(folder, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }
}
