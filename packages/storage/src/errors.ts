import { IbisError } from '@ibisstair/common'

const codeOf = (err: unknown): unknown =>
  typeof err === 'object' && err !== null && 'code' in err ? err.code : undefined

/** Whether the operating system reports a full disk or an exceeded quota. */
export const isNoSpace = (err: unknown): boolean =>
  codeOf(err) === 'ENOSPC' || codeOf(err) === 'EDQUOT'

/** Whether no file can be opened for now, for example because connections use all descriptors. */
const isOutOfDescriptors = (err: unknown): boolean =>
  codeOf(err) === 'EMFILE' || codeOf(err) === 'ENFILE'

export const isMissing = (err: unknown): boolean => codeOf(err) === 'ENOENT'

/** Whether an operation of this package was rejected with `disk-full`. */
export const isDiskFull = (err: unknown): boolean =>
  err instanceof IbisError && err.kind === 'disk-full'

const causeOf = (err: unknown): { cause?: Error } => err instanceof Error ? { cause: err } : {}

/** Maps a file system error to an `IbisError` of kind `disk-full` or `internal`; returns an `IbisError` unchanged. */
export const toStorageError = (err: unknown, file: string): IbisError => {
  if (err instanceof IbisError) return err
  if (isNoSpace(err)) return new IbisError('disk-full', `${file}: no space left`, { ...causeOf(err), info: { file } })
  // Like a full disk, this passes: a replica that ended for it would hand the same load to the next one.
  if (isOutOfDescriptors(err)) return new IbisError('disk-full', `${file}: no file descriptor left`, { ...causeOf(err), info: { file } })
  return new IbisError('internal', `${file}: ${err instanceof Error ? err.message : String(err)}`, { ...causeOf(err), info: { file } })
}

export const createDamagedError = (file: string, offset: number, detail: string): IbisError =>
  new IbisError('data-damaged', `${file} is damaged at offset ${offset}: ${detail}`, { info: { file, offset } })
