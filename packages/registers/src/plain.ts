import { IbisError } from '@ibisstair/common'

/**
 * Returns the value as it is after encoding and decoding as JSON. The proposer applies its own object,
 * in which fields can be `undefined`, while the other replicas apply a decoded one.
 */
export const toPlainJson = (value: unknown, label: string): unknown => {
  try {
    return JSON.parse(JSON.stringify(value)) as unknown
  } catch (err) {
    throw new IbisError('invalid-request', `${label}: cannot be encoded as JSON`, { cause: err as Error })
  }
}
