import { asId, type ChangeId, IbisError } from '@ibisstair/common'
import { type Config, type ConfigChange, type ConfigDeltaBody, EMPTY_CONFIG, parseConfigChange } from '@ibisstair/model'
import type { RandomSource, TimerService } from '@ibisstair/timers'
import type { OperatorClient } from './client.ts'
import type { ConfigEdit } from './edits.ts'
import type { ChangeResult } from './types.ts'

export interface SubmitOptions {
  readonly changeId: ChangeId
  /** Without it the change is computed from and sent against the version in force. */
  readonly expectedVersion?: number | undefined
  /** Called once before the first send, so that the id is known even when this process fails. */
  readonly onSend?: (change: ConfigChange) => void
}

/** `undefined` when the configuration in force already is as wanted. */
export type SubmitResult = ChangeResult | undefined

/** The time keeps ids of different runs apart even where two of them draw the same number. */
export const generateChangeId = (timers: TimerService, random: RandomSource): ChangeId =>
  asId<ChangeId>(`${Math.trunc(timers.wallClock()).toString(36)}-${random.token()}`)

/**
 * Where the version in force is not the expected one, the edit may contradict it because it was
 * accepted before. An edit that needs nothing of the configuration then gives the same change again.
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
 * Computes a change from the configuration in force and proposes it. With an older
 * `expectedVersion` the change is sent nevertheless: the register alone can tell a resend of an
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
