import { asId, type ChangeId } from '@ibisstair/common'
import { type Config, type ConfigChange, ConfigDelta, encodeCanonical, parseConfigChange } from '@ibisstair/model'
import { createHash } from 'node:crypto'

const CHANGE_ID_HEX_DIGITS = 16

/**
 * Returns the change that turns `existing` into `wanted`, or `undefined` when they are equal. The
 * change id is derived from the content, so the same answers against the same version are a resend,
 * not a new change.
 */
export const buildChange = (existing: Config, wanted: Config): ConfigChange | undefined => {
  const delta = ConfigDelta.between(existing, wanted)
  if (delta.isEmpty) return undefined
  const expectedVersion = existing.version
  const digest = createHash('sha256').update(encodeCanonical({ expectedVersion, delta: delta.operations })).digest('hex')
  const changeId = asId<ChangeId>(`configure-${digest.slice(0, CHANGE_ID_HEX_DIGITS)}`)
  return parseConfigChange({ changeId, expectedVersion, delta: delta.operations })
}
