import type { NodeId } from '@ibisstair/common'
import type { Config } from '@ibisstair/model'
import type { Target } from '@ibisstair/rpc'

/** Keeps the newest configuration across restarts; not used on a VM without a disk. */
export interface ConfigStorage {
  load (): Promise<Config | null>
  /** Resolves once the configuration is synced to disk. */
  save (config: Config): Promise<void>
}

export interface Peer extends Target {
  readonly node: NodeId
}

export interface VersionResponse {
  readonly version: number
}
