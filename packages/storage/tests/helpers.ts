import type { Test } from 'tap'
import type { IbisError } from '@ibisstair/common'

/** Asserts that the promise rejects with an IbisError that has these fields. */
export const rejectsWith = async (t: Test, promise: Promise<unknown>, fields: Partial<Pick<IbisError, 'kind' | 'execution' | 'details'>>): Promise<void> => {
  const err = await promise.then(() => null, (err: unknown) => err)
  t.match(err, fields)
}
