import { asId, type ChangeId } from '@ibisstair/common'
import { type Config, type ConfigChange, ConfigDelta, encodeCanonical, parseConfigChange } from '@ibisstair/model'
import { createHash } from 'node:crypto'

const ID_DIGITS = 16

/**
 * What an operator sends to turn `existing` into `wanted`, or nothing when they are equal. The id
 * follows from the content: the same answers against the same version are a resend, not a new change.
 */
export const buildChange = (existing: Config, wanted: Config): ConfigChange | undefined => {
  const delta = ConfigDelta.between(existing, wanted)
  if (delta.isEmpty) return undefined
  const expectedVersion = existing.version
  const digest = createHash('sha256').update(encodeCanonical({ expectedVersion, delta: delta.operations })).digest('hex')
  const changeId = asId<ChangeId>(`configure-${digest.slice(0, ID_DIGITS)}`)
  return parseConfigChange({ changeId, expectedVersion, delta: delta.operations })
}
