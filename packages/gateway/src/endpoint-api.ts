import { IbisError } from '@ibisstair/common'
import { parseAnnouncement } from '@ibisstair/model'
import { parseJson, readBody, sendJson } from '@ibisstair/rpc'
import type { AnnouncementSender } from './announcements.ts'
import type { HttpCallContext } from './listener.ts'

const MAX_ANNOUNCEMENT_BYTES = 16 * 1024

/** The HTTP interface on which endpoints announce themselves. */
export class EndpointApi {
  readonly #sender: AnnouncementSender

  constructor (sender: AnnouncementSender) {
    this.#sender = sender
  }

  async handle ({ req, res, url }: HttpCallContext): Promise<void> {
    if (req.method !== 'POST' || url.pathname !== '/v1/announce') {
      throw new IbisError('invalid-request', `no such call: ${req.method} ${url.pathname}`)
    }
    const announcement = parseAnnouncement(parseJson(await readBody(req, MAX_ANNOUNCEMENT_BYTES), 'announcement'))
    if (!this.#sender.add(announcement)) {
      throw new IbisError('invalid-request', `announcement: field failureDomain: got "${announcement.endpoint.domain}", which has no control process in the settings of this entry`)
    }
    sendJson(res, 200, { accepted: true })
  }
}
