import { posix } from 'node:path'
import { parseConfig, type Config } from '@ibisstair/model'
import { ValueFile, type FileSystem } from '@ibisstair/storage'
import * as v from 'valibot'
import type { ConfigStorage } from './types.ts'

const StoredSchema = v.unknown()

/** Stores the newest configuration in a checksummed file that is replaced atomically. */
export class ConfigFileStorage implements ConfigStorage {
  readonly #file: ValueFile<typeof StoredSchema>

  constructor (fs: FileSystem, folder: string) {
    this.#file = new ValueFile(fs, posix.join(folder, 'newest-config'), StoredSchema)
  }

  async load (): Promise<Config | null> {
    const stored = await this.#file.read()
    return stored === null ? null : parseConfig(stored, this.#file.path)
  }

  async save (config: Config): Promise<void> {
    await this.#file.write(config)
  }
}
