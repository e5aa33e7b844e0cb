import { checkValue } from '@ibisstair/common'
import { AnnouncementSchema } from './schemas.ts'
import type { Announcement } from './types.ts'

/**
 * Validates the announcement that an endpoint sends once a second and maps its fields to the names
 * used inside the control process. Throws `invalid-request`.
 */
export const parseAnnouncement = (input: unknown): Announcement => {
  const { endpointId, failureDomain, usage, ...otherFields } = checkValue(AnnouncementSchema, input, 'announcement')
  return {
    endpoint: { id: endpointId, domain: failureDomain, ...otherFields },
    ...(usage && { usage })
  }
}
