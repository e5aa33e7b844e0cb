import { posix } from 'node:path'
import { decodePayload, encodeFrame, packValue, readFrame } from './frame.ts'
import { createDamagedError, toStorageError } from './errors.ts'
import type { FileSystem } from './types.ts'

/** Replaces the content of the file by one value with a checksum. After a crash the file has either the old or the new value. */
export const writeAtomically = async (fs: FileSystem, path: string, value: unknown): Promise<void> => {
  const temporaryPath = `${path}.tmp`
  try {
    const file = await fs.open(temporaryPath)
    try {
      await file.truncate(0)
      await file.write(0, encodeFrame(packValue(value), 0))
      await file.sync()
    } finally {
      await file.close()
    }
    await fs.rename(temporaryPath, path)
    await fs.syncFolder(posix.dirname(path))
  } catch (err) {
    await fs.remove(temporaryPath).catch(() => {})
    throw toStorageError(err, path)
  }
}

/** Resolves to undefined when the file is missing. Rejects with `data-damaged` when it is invalid. */
export const readChecked = async (fs: FileSystem, path: string): Promise<unknown> => {
  const content = await fs.readFile(path)
  if (content === null) return undefined
  const frame = readFrame(content, 0)
  if (!frame || frame.end !== content.length) throw createDamagedError(path, 0, 'the checksum does not match')
  return decodePayload(frame)
}
