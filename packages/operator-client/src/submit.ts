import { asId, type ChangeId, IbisError } from '@ibisstair/common'
import { type Config, type ConfigChange, type ConfigDeltaBody, EMPTY_CONFIG, parseConfigChange } from '@ibisstair/model'
import type { RandomSource, TimerService } from '@ibisstair/timers'
import type { OperatorClient } from './client.ts'
import type { ConfigEdit } from './edits.ts'
import type { ChangeResult } from './types.ts'

export interface SubmitOptions {
  readonly changeId: ChangeId
  /** Version that the change is sent against; defaults to the version in force. */
  readonly expectedVersion?: number | undefined
  /** Called once before the first attempt, so that the change id is known even if this process fails. */
  readonly onSend?: (change: ConfigChange) => void
}

/** `undefined` if the edit leaves the configuration in force unchanged. */
export type SubmitResult = ChangeResult | undefined

/** The id contains the time, so that ids of different runs differ even if they draw the same random token. */
export const generateChangeId = (timers: TimerService, random: RandomSource): ChangeId =>
  asId<ChangeId>(`${Math.trunc(timers.wallClock()).toString(36)}-${random.token()}`)

/**
 * Builds the change. If the version in force is not the expected one, the edit may have been accepted
 * before and then fails on the configuration in force. It is then applied to the empty configuration:
 * an edit that does not depend on the configuration yields the same change again.
 */
const buildDelta = (config: Config, edit: ConfigEdit, expectedVersion: number): ConfigDeltaBody => {
  if (expectedVersion === config.version) return edit(config)
  for (const base of [config, EMPTY_CONFIG]) {
    try {
      return edit(base)
    } catch (err) {
      if (!(err instanceof IbisError)) throw err
    }
  }
  throw new IbisError(
    'version-conflict',
    `the change is for version ${expectedVersion} and cannot be built from the version in force, ${config.version}`,
    { info: { version: config.version } }
  )
}

/**
 * Computes a change from the configuration in force and proposes it. A change with an older
 * `expectedVersion` is sent too, because only the config register can distinguish a retry of an
 * accepted change from a conflict.
 */
export const submitChange = async (client: OperatorClient, edit: ConfigEdit, options: SubmitOptions): Promise<SubmitResult> => {
  const config = await client.getConfig()
  const expectedVersion = options.expectedVersion ?? config.version
  const delta = buildDelta(config, edit, expectedVersion)
  if (delta.length === 0) return undefined
  const change = parseConfigChange({ changeId: options.changeId, expectedVersion, delta }, 'change')
  options.onSend?.(change)
  return client.proposeChange(change)
}
