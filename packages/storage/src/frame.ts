import CRC32 from 'crc-32'
import { Packr } from 'msgpackr'
import { MAX_RECORD_BYTES } from './constants.ts'

const MAGIC = Buffer.from([0x1b, 0x15, 0x5e, 0xc1])
const LENGTH_AT = 4
const SYNCED_AT = 8
const CRC_AT = 16

export const FRAME_HEADER_BYTES = 20

// Records would share structures between values, and each value must be readable alone.
const packr = new Packr({ useRecords: false })

export const packValue = (value: unknown): Buffer => packr.pack(value)

export const unpackValue = (data: Uint8Array): unknown => packr.unpack(data)

/** One checksummed value in a file. */
export interface Frame {
  readonly payload: Buffer
  /** A length up to which the file was on the disk before a reader could see this frame. */
  readonly syncedLength: number
  readonly end: number
}

const checksum = (frame: Buffer): number =>
  CRC32.buf(frame.subarray(FRAME_HEADER_BYTES), CRC32.buf(frame.subarray(LENGTH_AT, CRC_AT))) >>> 0

export const encodeFrame = (payload: Buffer, syncedLength: number): Buffer => {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length)
  MAGIC.copy(frame)
  frame.writeUInt32LE(payload.length, LENGTH_AT)
  frame.writeDoubleLE(syncedLength, SYNCED_AT)
  payload.copy(frame, FRAME_HEADER_BYTES)
  frame.writeUInt32LE(checksum(frame), CRC_AT)
  return frame
}

/** Returns the frame at the offset, or null when no valid one starts there. */
export const readFrame = (content: Buffer, offset: number): Frame | null => {
  if (offset + FRAME_HEADER_BYTES > content.length) return null
  if (!content.subarray(offset, offset + LENGTH_AT).equals(MAGIC)) return null
  const length = content.readUInt32LE(offset + LENGTH_AT)
  const end = offset + FRAME_HEADER_BYTES + length
  if (length > MAX_RECORD_BYTES || end > content.length) return null
  const frame = content.subarray(offset, end)
  if (frame.readUInt32LE(CRC_AT) !== checksum(frame)) return null
  return { payload: frame.subarray(FRAME_HEADER_BYTES), syncedLength: frame.readDoubleLE(SYNCED_AT), end }
}

export const decodePayload = (frame: Frame): unknown => unpackValue(frame.payload)

/**
 * Whether a later valid frame was written when the byte at `offset` was already on the disk. Such
 * a frame tells damage from an incomplete write, whose sectors may reach the disk in any order.
 */
export const isSyncedByLaterFrame = (content: Buffer, offset: number): boolean => {
  let at = content.indexOf(MAGIC, offset + 1)
  while (at >= 0) {
    const frame = readFrame(content, at)
    if (frame && frame.syncedLength > offset) return true
    at = content.indexOf(MAGIC, frame ? frame.end : at + 1)
  }
  return false
}
