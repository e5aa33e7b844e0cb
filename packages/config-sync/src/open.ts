import { IbisError } from '@ibisstair/common'
import type { FileSystem } from '@ibisstair/storage'
import { ConfigCache } from './cache.ts'
import { ConfigFileStorage } from './file-store.ts'

/**
 * Opens the configuration cache in a data folder, or in memory only on a VM without a disk. A damaged
 * file is reported to `onDamaged` and ignored: it is only a cache, and the process asks its peers
 * before it serves.
 */
export const openConfigCache = async (fs: FileSystem, folder: string | undefined, onDamaged: (detail: string) => void): Promise<ConfigCache> => {
  if (folder === undefined) return new ConfigCache(null)
  await fs.makeFolder(folder)
  const cache = new ConfigCache(new ConfigFileStorage(fs, folder))
  try {
    await cache.load()
  } catch (err) {
    if (!(err instanceof IbisError) || err.kind !== 'data-damaged') throw err
    onDamaged(err.message)
  }
  return cache
}
