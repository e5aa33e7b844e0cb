import { invariant, IbisError } from '@ibisstair/common'
import type { Config } from '@ibisstair/model'
import type { ConfigStorage } from './types.ts'

export type ConfigListener = (config: Config) => void

/** The highest configuration that this process has seen. The version in force never goes down. */
export class ConfigCache {
  readonly #store: ConfigStorage | null
  readonly #listeners = new Set<ConfigListener>()
  #config: Config | null = null
  #saving: Promise<void> = Promise.resolve()
  #savedVersion = 0

  constructor (store: ConfigStorage | null) {
    this.#store = store
  }

  async load (): Promise<void> {
    const stored = await this.#store?.load()
    if (!stored) return
    this.#savedVersion = stored.version
    this.#use(stored)
  }

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

  /** Takes the configuration if it is newer; returns whether it is now in force. */
  applyIfNewer (config: Config): boolean {
    if (config.version <= this.version) return false
    this.#use(config)
    this.#scheduleSave()
    return true
  }

  onChange (listener: ConfigListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Resolves when the configuration in force has been stored, or the attempt failed. */
  async flush (): Promise<void> {
    await this.#saving
  }

  get savedVersion (): number {
    return this.#savedVersion
  }

  #use (config: Config): void {
    const before = this.version
    this.#config = config
    invariant(config.version > before, 'the configuration in force never reverts', { before, after: config.version })
    for (const listener of this.#listeners) listener(config)
  }

  #scheduleSave (): void {
    if (!this.#store) return
    const store = this.#store
    this.#saving = this.#saving.then(async () => {
      const config = this.#config
      if (!config || config.version <= this.#savedVersion) return
      await store.save(config)
      this.#savedVersion = config.version
    }).catch(() => {
      // A full or failing disk must not stop serving; the next change tries again.
    })
  }
}
