import { onInvariantViolation } from '@ibisstair/common'
import { toSafeJson } from './logger.ts'
import type { Metrics } from './metrics.ts'
import type { Logger } from './types.ts'

const MAX_REPLAY_CHARS = 16_384

/** Counts each invariant violation and logs it with its replay data. Returns a function that stops the reporting. */
export const installInvariantReporting = (logger: Logger, metrics: Metrics): () => void =>
  onInvariantViolation(({ message, replay }) => {
    metrics.increment('invariant.violations')
    logger.error('invariant violated', { invariant: message, replay: toSafeJson(replay).slice(0, MAX_REPLAY_CHARS) })
  })
