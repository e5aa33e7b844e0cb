import { IbisError } from '@ibisstair/common'
import type { Config } from '@ibisstair/model'
import type { RpcClient, RpcServer } from '@ibisstair/rpc'
import type { RandomSource, TimerService, Unsubscribe } from '@ibisstair/timers'
import type { ConfigCache } from './cache.ts'
import { COMPARE_PERIOD_MS, SYNC_CALL_TIMEOUT_MS } from './constants.ts'
import type { Peer, VersionResponse } from './types.ts'

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
 * Distributes configurations: pushes a new one to every peer and compares versions with one random
 * peer a second, so that a process that missed the push catches up through any other process.
 */
export class ConfigSync {
  readonly #options: ConfigSyncOptions
  #stopTimer: Unsubscribe | null = null
  #isComparing = false

  constructor (options: ConfigSyncOptions) {
    this.#options = options
  }

  start (): void {
    const { timers } = this.#options
    this.#stopTimer = timers.every(COMPARE_PERIOD_MS, () => { this.compareWithRandomPeer().catch(() => {}) })
  }

  stop (): void {
    this.#stopTimer?.()
    this.#stopTimer = null
  }

  /** Registers the calls with which peers compare, fetch and push configurations. */
  register (server: RpcServer): void {
    const { cache, parse } = this.#options
    server.register('config.version', (): VersionResponse => ({ version: cache.version }))
    server.register('config.fetch', () => cache.getConfig())
    server.register('config.push', (params) => ({ accepted: cache.applyIfNewer(parse(params)), version: cache.version }))
  }

  /** Sends the configuration to every peer; a peer that misses it catches up by a later comparison. */
  async push (config: Config): Promise<void> {
    const { client, peers } = this.#options
    await Promise.allSettled(peers.map((peer) => client.call(peer, 'config.push', config, SYNC_CALL_TIMEOUT_MS)))
  }

  async compareWithRandomPeer (): Promise<void> {
    const { random, peers } = this.#options
    const peer = random.pick(peers)
    if (!peer || this.#isComparing) return
    this.#isComparing = true
    try {
      await this.#reconcileWith(peer)
    } finally {
      this.#isComparing = false
    }
  }

  /**
   * Asks every peer once and activates the highest version. A process without a disk does this before
   * it serves, because it does not know which version it last had. Rejects with `stale-config` if this
   * process still has no configuration afterwards.
   */
  async fetchHighest (): Promise<void> {
    const { peers, cache } = this.#options
    await Promise.allSettled(peers.map((peer) => this.#reconcileWith(peer)))
    if (cache.version === 0) throw new IbisError('stale-config', `none of ${peers.length} peers returned a configuration`)
  }

  /** Fetches the peer's configuration if it is newer; pushes this process's configuration if the peer's is older. */
  async #reconcileWith (peer: Peer): Promise<void> {
    const { client, cache, parse } = this.#options
    const { version } = await client.call<VersionResponse>(peer, 'config.version', {}, SYNC_CALL_TIMEOUT_MS)
    if (version > cache.version) {
      cache.applyIfNewer(parse(await client.call(peer, 'config.fetch', {}, SYNC_CALL_TIMEOUT_MS)))
      return
    }
    if (version < cache.version) await client.call(peer, 'config.push', cache.getConfig(), SYNC_CALL_TIMEOUT_MS)
  }
}
