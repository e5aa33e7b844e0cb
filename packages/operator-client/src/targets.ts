import { isIP } from 'node:net'
import { IbisError } from '@ibisstair/common'
import type { EntryTarget } from './types.ts'

const ACCEPTED_FORMAT = 'http://IP:PORT, for example http://127.0.0.1:7003 or http://[::1]:7003'

/** Parses the URL of an entry's listener for operators; throws `invalid-request`. */
export const parseEntryTarget = (text: string): EntryTarget => {
  const match = /^http:\/\/(?:\[([^\]/]+)\]|([^/:[\]]+)):(\d{1,5})\/?$/.exec(text)
  const address = match?.[1] ?? match?.[2] ?? ''
  const port = Number(match?.[3])
  if (isIP(address) === (match?.[1] ? 6 : 4) && port >= 1 && port <= 65_535) return { address, port }
  throw new IbisError('invalid-request', `entry: got ${text}, accepted is ${ACCEPTED_FORMAT}`)
}

export const formatEntryTarget = ({ address, port }: EntryTarget): string =>
  isIP(address) === 6 ? `http://[${address}]:${port}` : `http://${address}:${port}`
