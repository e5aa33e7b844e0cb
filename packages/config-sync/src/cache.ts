import { invariant, IbisError } from '@ibisstair/common'
import type { Config } from '@ibisstair/model'
import type { ConfigStorage } from './types.ts'

export type ConfigListener = (config: Config) => void

/** Holds the configuration with the highest version that this process has received. The active version never decreases. */
export class ConfigCache {
  readonly #storage: ConfigStorage | null
  readonly #listeners = new Set<ConfigListener>()
  #config: Config | null = null
  #pendingSave: Promise<void> = Promise.resolve()
  #savedVersion = 0

  constructor (storage: ConfigStorage | null) {
    this.#storage = storage
  }

  async load (): Promise<void> {
    const stored = await this.#storage?.load()
    if (!stored) return
    this.#savedVersion = stored.version
    this.#activate(stored)
  }

  /** Version of the active configuration; 0 before the first one. */
  get version (): number {
    return this.#config?.version ?? 0
  }

  get current (): Config | null {
    return this.#config
  }

  /** Throws `stale-config` before the first configuration has arrived. */
  getConfig (): Config {
    if (!this.#config) throw new IbisError('stale-config', 'no configuration has been received yet')
    return this.#config
  }

  /** Activates the configuration if its version is higher than the active one; returns whether it did. */
  applyIfNewer (config: Config): boolean {
    if (config.version <= this.version) return false
    this.#activate(config)
    this.#scheduleSave()
    return true
  }

  onChange (listener: ConfigListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Resolves once the active configuration has been stored or the attempt to store it has failed. */
  async flush (): Promise<void> {
    await this.#pendingSave
  }

  /** Highest version in the storage as far as this process knows; 0 before the first load or save. */
  get savedVersion (): number {
    return this.#savedVersion
  }

  #activate (config: Config): void {
    const before = this.version
    this.#config = config
    invariant(config.version > before, 'the version of the active configuration must increase', { before, after: config.version })
    for (const listener of this.#listeners) listener(config)
  }

  #scheduleSave (): void {
    if (!this.#storage) return
    const storage = this.#storage
    this.#pendingSave = this.#pendingSave.then(async () => {
      const config = this.#config
      if (!config || config.version <= this.#savedVersion) return
      await storage.save(config)
      this.#savedVersion = config.version
    }).catch(() => {
      // A full or failing disk must not interrupt service; the next change retries the save.
    })
  }
}
