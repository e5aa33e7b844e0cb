import { isSufficientFor, type DomainDrains, type EndpointRecord, type Resources } from '@ibisstair/jobs'

/** Why a committed start is not ordered. */
export type WithheldReason = 'draining' | 'domain-drained' | 'no-room'

/**
 * Returns why a run must not start on the endpoint any more, whatever the plan found; null when it may.
 * `records` are what the endpoint has announced, as committed and as proposed; `usage` includes the run.
 */
export const findObstacle = (records: readonly EndpointRecord[], usage: Resources, drains: DomainDrains): WithheldReason | null => {
  if (records.some(({ draining }) => draining)) return 'draining'
  if (records.some(({ domain }) => drains.isDrained(domain))) return 'domain-drained'
  return records.every(({ capacity }) => isSufficientFor(capacity, usage)) ? null : 'no-room'
}
