import CRC32 from 'crc-32'
import { Packr } from 'msgpackr'
import { MAX_RECORD_BYTES } from './constants.ts'

const MAGIC = Buffer.from([0x1b, 0x15, 0x5e, 0xc1])
const LENGTH_OFFSET = 4
const SYNCED_LENGTH_OFFSET = 8
const CRC_OFFSET = 16

export const FRAME_HEADER_BYTES = 20

// With msgpackr records, values would share structure definitions, but each value must be decodable on its own.
const packr = new Packr({ useRecords: false })

export const packValue = (value: unknown): Buffer => packr.pack(value)

export const unpackValue = (data: Uint8Array): unknown => packr.unpack(data)

/** One value with header and checksum, as stored in a file. */
export interface Frame {
  readonly payload: Buffer
  /** Length in bytes up to which the file was synced before this frame became visible to readers. */
  readonly syncedLength: number
  readonly end: number
}

const checksum = (frame: Buffer): number =>
  CRC32.buf(frame.subarray(FRAME_HEADER_BYTES), CRC32.buf(frame.subarray(LENGTH_OFFSET, CRC_OFFSET))) >>> 0

/** Encodes the payload as a frame; `syncedLength` is stored in its header. */
export const encodeFrame = (payload: Buffer, syncedLength: number): Buffer => {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length)
  MAGIC.copy(frame)
  frame.writeUInt32LE(payload.length, LENGTH_OFFSET)
  frame.writeDoubleLE(syncedLength, SYNCED_LENGTH_OFFSET)
  payload.copy(frame, FRAME_HEADER_BYTES)
  frame.writeUInt32LE(checksum(frame), CRC_OFFSET)
  return frame
}

/** Returns the frame that starts at `offset`, or null when there is no valid frame. */
export const readFrame = (content: Buffer, offset: number): Frame | null => {
  if (offset + FRAME_HEADER_BYTES > content.length) return null
  if (!content.subarray(offset, offset + LENGTH_OFFSET).equals(MAGIC)) return null
  const length = content.readUInt32LE(offset + LENGTH_OFFSET)
  const end = offset + FRAME_HEADER_BYTES + length
  if (length > MAX_RECORD_BYTES || end > content.length) return null
  const frame = content.subarray(offset, end)
  if (frame.readUInt32LE(CRC_OFFSET) !== checksum(frame)) return null
  return { payload: frame.subarray(FRAME_HEADER_BYTES), syncedLength: frame.readDoubleLE(SYNCED_LENGTH_OFFSET), end }
}

export const decodePayload = (frame: Frame): unknown => unpackValue(frame.payload)

/**
 * Returns whether a later valid frame proves that the byte at `offset` was synced before it. If so,
 * invalid data at `offset` is damage; if not, it can be an incomplete write, whose sectors may reach
 * the disk in any order.
 */
export const isSyncedByLaterFrame = (content: Buffer, offset: number): boolean => {
  let candidateOffset = content.indexOf(MAGIC, offset + 1)
  while (candidateOffset >= 0) {
    const frame = readFrame(content, candidateOffset)
    if (frame && frame.syncedLength > offset) return true
    candidateOffset = content.indexOf(MAGIC, frame ? frame.end : candidateOffset + 1)
  }
  return false
}
