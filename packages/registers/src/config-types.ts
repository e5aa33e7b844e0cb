import type { ErrorBody } from '@ibisstair/common'
import type { Config, ConfigChange } from '@ibisstair/model'

export type ConfigCommand =
  | { readonly type: 'change', readonly change: ConfigChange }
  /** A complete configuration that keeps its version, for a new group after the loss of the old one. */
  | { readonly type: 'import', readonly config: Config }

/** `version` is the one that the change created, or the one in force when it was refused. */
export type ConfigResult =
  | { readonly status: 'accepted', readonly version: number }
  | { readonly status: 'refused', readonly version: number, readonly error: ErrorBody }
