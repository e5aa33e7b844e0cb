import { checkValue } from '@ibisstair/common'
import { AnnouncementSchema } from './schemas.ts'
import type { Announcement } from './types.ts'

/** Converts what an endpoint sends once a second to the names used inside the control process. */
export const parseAnnouncement = (input: unknown): Announcement => {
  const { endpointId, failureDomain, usage, ...rest } = checkValue(AnnouncementSchema, input, 'announcement')
  return {
    endpoint: { id: endpointId, domain: failureDomain, ...rest },
    ...(usage && { usage })
  }
}
