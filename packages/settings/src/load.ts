import { closeSync, fstatSync, openSync, readFileSync } from 'node:fs'
import { checkValue } from '@ibisstair/common'
import type * as v from 'valibot'
import { parse } from 'yaml'
import { MAX_SECRET_BYTES, MAX_SETTINGS_BYTES, MIN_SECRET_BYTES } from './constants.ts'
import { SettingsError } from './errors.ts'

const OTHERS_MODE_MASK = 0o007
/** Printable ASCII characters without the space; only these can be sent unchanged in an HTTP header. */
const SECRET_PATTERN = /^[\x21-\x7e]+$/

const getErrorMessage = (err: unknown): string => (err instanceof Error ? err.message : String(err))

const readBounded = (file: string, maxBytes: number, checkMode?: (mode: number) => void): string => {
  // One file descriptor is used for mode, size and content, so that all three belong to the same file.
  const fd = openSync(file, 'r')
  try {
    const stat = fstatSync(fd)
    if (!stat.isFile()) throw new SettingsError(`${file}: not a regular file`)
    checkMode?.(stat.mode)
    if (stat.size > maxBytes) throw new SettingsError(`${file}: has ${stat.size} bytes, accepted are at most ${maxBytes}`)
    return readFileSync(fd, 'utf8')
  } finally {
    closeSync(fd)
  }
}

const toSettingsError = (file: string, err: unknown): SettingsError =>
  err instanceof SettingsError ? err : new SettingsError(`${file}: ${getErrorMessage(err)}`)

/** Parses YAML text. Throws `SettingsError` with file, line and column when it is not valid YAML. */
export const parseYaml = (text: string, file: string): unknown => {
  try {
    return parse(text, { maxAliasCount: 100 }) as unknown
  } catch (err) {
    const [summary] = getErrorMessage(err).split('\n')
    throw new SettingsError(`${file}: ${summary?.replace(/:$/, '')}`)
  }
}

/** Reads a settings file and validates it. Throws `SettingsError` with the file and, for each invalid field, its value and what is accepted. */
export const loadSettings = <S extends v.GenericSchema>(file: string, schema: S): v.InferOutput<S> => {
  try {
    return checkValue(schema, parseYaml(readBounded(file, MAX_SETTINGS_BYTES), file), file)
  } catch (err) {
    const error = toSettingsError(file, err)
    // Messages of checkValue already start with the file name.
    if (err === error || !getErrorMessage(err).startsWith(`${file}: `)) throw error
    throw new SettingsError(getErrorMessage(err))
  }
}

const checkSecretMode = (file: string) => (mode: number): void => {
  if ((mode & OTHERS_MODE_MASK) === 0) return
  throw new SettingsError(`${file}: has mode ${(mode & 0o777).toString(8).padStart(4, '0')}, accepted are modes without permissions for others, for example 0600`)
}

/** Reads the shared secret of the deployment without its trailing line break. Error messages never contain any part of the secret. */
export const loadSecret = (file: string): string => {
  try {
    const secret = readBounded(file, MAX_SECRET_BYTES, checkSecretMode(file)).replace(/\r?\n$/, '')
    if (Buffer.byteLength(secret) < MIN_SECRET_BYTES) {
      throw new SettingsError(`${file}: the secret has ${Buffer.byteLength(secret)} bytes, accepted are at least ${MIN_SECRET_BYTES}`)
    }
    if (!SECRET_PATTERN.test(secret)) throw new SettingsError(`${file}: the secret must consist of printable ASCII characters without spaces`)
    return secret
  } catch (err) {
    throw toSettingsError(file, err)
  }
}
