import { IbisError } from '@ibisstair/common'

/**
 * The form that a command has after it was sent as JSON. The proposer applies its own object, in
 * which fields can be `undefined`, while the other replicas apply a decoded one.
 */
export const toPlainJson = (value: unknown, what: string): unknown => {
  try {
    return JSON.parse(JSON.stringify(value)) as unknown
  } catch (err) {
    throw new IbisError('invalid-request', `${what}: cannot be encoded as JSON`, { cause: err as Error })
  }
}
