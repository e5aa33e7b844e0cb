import { SHARE_STEP } from './constants.ts'
import type { Amounts, ShareRank } from './types.ts'

/** Of a resource with a smaller total one unit counts as the total, so that use of what no longer exists stays finite. */
const MIN_TOTAL = 1

/** Returns the largest of the shares that the usage has of each resource, divided by the weight. */
export const getDominantShare = <R extends string>(usage: Amounts<R>, total: Amounts<R>, weight = 1): number => {
  let largest = 0
  for (const resource in usage) largest = Math.max(largest, usage[resource] / Math.max(MIN_TOTAL, total[resource]))
  return largest / weight
}

/** Returns the share that each of several customers gets if all of them want more than that. */
export const getFairShare = (customers: number): number => 1 / Math.max(1, customers)

/**
 * Ranks customers below their fair share first and equal, and others by how far they are beyond it, in steps of
 * `SHARE_STEP`: a customer that is owed capacity does not give way to one that is owed more.
 */
export const rankShare = (share: number, fairShare: number): ShareRank =>
  share < fairShare ? 0 : 1 + Math.floor((share - fairShare) / SHARE_STEP)
