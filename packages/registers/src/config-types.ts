import type { ErrorBody } from '@ibisstair/common'
import type { Config, ConfigChange } from '@ibisstair/model'

export type ConfigCommand =
  | { readonly type: 'change', readonly change: ConfigChange }
  /** Complete configuration that keeps its version. Used to restore a new config group after the old one was lost. */
  | { readonly type: 'import', readonly config: Config }

/** `version`: the version that the change created, or the version in force when it was refused. */
export type ConfigResult =
  | { readonly status: 'accepted', readonly version: number }
  | { readonly status: 'refused', readonly version: number, readonly error: ErrorBody }
