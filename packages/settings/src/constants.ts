/** Version of all binaries; must equal the version in the root package.json. */
export const VERSION = '0.1.0'

export const EXIT_OK = 0
export const EXIT_FAILURE = 1
export const EXIT_USAGE = 2
export const EXIT_SETTINGS = 3
export const EXIT_DATA_DAMAGED = 4

export const MAX_SETTINGS_BYTES = 1024 * 1024
export const MIN_SECRET_BYTES = 16
export const MAX_SECRET_BYTES = 1024

export const DEFAULT_DRAIN_MS = 5_000
export const DEFAULT_MAX_BODY_BYTES = 1024 * 1024
export const DEFAULT_MAX_PENDING = 4_096
export const DEFAULT_METRICS_PREFIX = 'ibisstair'
