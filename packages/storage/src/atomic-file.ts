import { posix } from 'node:path'
import { decodePayload, encodeFrame, packValue, readFrame } from './frame.ts'
import { createDamagedError, toStorageError } from './errors.ts'
import type { FileSystem } from './types.ts'

/** Replaces the file with one checksummed value; after a crash it has the old or the new one. */
export const writeAtomically = async (fs: FileSystem, path: string, value: unknown): Promise<void> => {
  const temporary = `${path}.tmp`
  try {
    const file = await fs.open(temporary)
    try {
      await file.truncate(0)
      await file.write(0, encodeFrame(packValue(value), 0))
      await file.sync()
    } finally {
      await file.close()
    }
    await fs.rename(temporary, path)
    await fs.syncFolder(posix.dirname(path))
  } catch (err) {
    await fs.remove(temporary).catch(() => {})
    throw toStorageError(err, path)
  }
}

/** Returns undefined when the file is missing, and throws `data-damaged` when it is invalid. */
export const readChecked = async (fs: FileSystem, path: string): Promise<unknown> => {
  const content = await fs.readFile(path)
  if (content === null) return undefined
  const frame = readFrame(content, 0)
  if (!frame || frame.end !== content.length) throw createDamagedError(path, 0, 'the checksum does not match')
  return decodePayload(frame)
}
