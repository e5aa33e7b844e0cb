import type { EndpointId } from '@ibisstair/common'
import type { EndpointRecord } from '@ibisstair/jobs'

/** What the message that an endpoint leaves says of it; null where it does not tell. */
export interface LeaveNotice {
  readonly endpointId: EndpointId
  /** Start time of the incarnation, in Unix milliseconds. */
  readonly bornMs: number | null
  readonly service: string | null
  readonly address: string | null
}

/**
 * Whether the notice speaks for the registered incarnation under its id. One without a start time counts only if that
 * incarnation has announced that it will leave; one that contradicts the record is of another writer.
 */
export const isNoticeOf = ({ bornMs, service, address }: LeaveNotice, record: EndpointRecord): boolean => {
  if (service !== null && service !== record.service) return false
  if (address !== null && address !== record.address) return false
  return bornMs === null ? record.draining : bornMs === record.bornMs
}
