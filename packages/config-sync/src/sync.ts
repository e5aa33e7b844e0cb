import { IbisError } from '@ibisstair/common'
import type { Config } from '@ibisstair/model'
import type { RpcClient, RpcServer } from '@ibisstair/rpc'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import type { ConfigCache } from './cache.ts'
import { COMPARE_PERIOD_MS, COMPARE_TIMEOUT_MS } from './constants.ts'
import type { Peer, VersionAnswer } from './types.ts'

export interface ConfigSyncOptions {
  readonly cache: ConfigCache
  readonly peers: readonly Peer[]
  readonly client: RpcClient
  readonly timers: TimerService
  readonly random: RandomSource
  /** Validates a configuration that arrived from another process. */
  readonly parse: (value: unknown) => Config
}

/**
 * Spreads configurations: pushes a new one to every peer and compares versions with one random peer
 * a second, so that a process which missed the push catches up through any third process.
 */
export class ConfigSync {
  readonly #options: ConfigSyncOptions
  #stop: Unsubscribe | null = null
  #comparing = false

  constructor (options: ConfigSyncOptions) {
    this.#options = options
  }

  start (): void {
    const { timers } = this.#options
    this.#stop = timers.every(COMPARE_PERIOD_MS, () => { this.compareWithPeer().catch(() => {}) })
  }

  stop (): void {
    this.#stop?.()
    this.#stop = null
  }

  register (server: RpcServer): void {
    const { cache, parse } = this.#options
    server.register('config.version', (): VersionAnswer => ({ version: cache.version }))
    server.register('config.fetch', () => cache.getConfig())
    server.register('config.push', (params) => ({ accepted: cache.applyIfNewer(parse(params)), version: cache.version }))
  }

  /** Sends the configuration to every peer; peers that miss it catch up by comparison. */
  async push (config: Config): Promise<void> {
    const { client, peers } = this.#options
    await Promise.allSettled(peers.map((peer) => client.call(peer, 'config.push', config, COMPARE_TIMEOUT_MS)))
  }

  async compareWithPeer (): Promise<void> {
    const { random, peers } = this.#options
    const peer = random.pick(peers)
    if (!peer || this.#comparing) return
    this.#comparing = true
    try {
      await this.#pullFrom(peer)
    } finally {
      this.#comparing = false
    }
  }

  /**
   * Asks every peer once and takes the highest version. A process without a disk does this before it
   * serves, since it has forgotten which version it last had. Throws `stale-config` if none had one.
   */
  async fetchHighest (): Promise<void> {
    const { peers, cache } = this.#options
    await Promise.allSettled(peers.map((peer) => this.#pullFrom(peer)))
    if (cache.version === 0) throw new IbisError('stale-config', `none of ${peers.length} processes has a configuration`)
  }

  async #pullFrom (peer: Peer): Promise<void> {
    const { client, cache, parse } = this.#options
    const { version } = await client.call<VersionAnswer>(peer, 'config.version', {}, COMPARE_TIMEOUT_MS)
    if (version > cache.version) {
      cache.applyIfNewer(parse(await client.call(peer, 'config.fetch', {}, COMPARE_TIMEOUT_MS)))
      return
    }
    if (version < cache.version) await client.call(peer, 'config.push', cache.getConfig(), COMPARE_TIMEOUT_MS)
  }
}
