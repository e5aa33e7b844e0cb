import { closeSync, fstatSync, openSync, readFileSync } from 'node:fs'
import { checkValue } from '@ibisstair/common'
import type * as v from 'valibot'
import { parse } from 'yaml'
import { MAX_SECRET_BYTES, MAX_SETTINGS_BYTES, MIN_SECRET_BYTES } from './constants.ts'
import { SettingsError } from './errors.ts'

const OTHERS_MASK = 0o007
/** Only these can be sent unchanged in an HTTP header. */
const SECRET_FORM = /^[\x21-\x7e]+$/

const messageOf = (err: unknown): string => (err instanceof Error ? err.message : String(err))

const readBounded = (file: string, maxBytes: number, checkMode?: (mode: number) => void): string => {
  // Mode, size and content are read through one descriptor, so that they belong to the same file.
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
  err instanceof SettingsError ? err : new SettingsError(`${file}: ${messageOf(err)}`)

/** Parses YAML text; throws `SettingsError` with the file, line and column. */
export const parseYaml = (text: string, file: string): unknown => {
  try {
    return parse(text, { maxAliasCount: 100 }) as unknown
  } catch (err) {
    const [summary] = messageOf(err).split('\n')
    throw new SettingsError(`${file}: ${summary?.replace(/:$/, '')}`)
  }
}

/** Throws `SettingsError` with the file, each wrong field, its value and what is accepted. */
export const loadSettings = <S extends v.GenericSchema>(file: string, schema: S): v.InferOutput<S> => {
  try {
    return checkValue(schema, parseYaml(readBounded(file, MAX_SETTINGS_BYTES), file), file)
  } catch (err) {
    const error = toSettingsError(file, err)
    // checkValue names the file itself.
    if (err === error || !messageOf(err).startsWith(`${file}: `)) throw error
    throw new SettingsError(messageOf(err))
  }
}

const checkSecretMode = (file: string) => (mode: number): void => {
  if ((mode & OTHERS_MASK) === 0) return
  throw new SettingsError(`${file}: has mode ${(mode & 0o777).toString(8).padStart(4, '0')}, accepted are modes without permissions for others, for example 0600`)
}

/** Reads the shared secret of the deployment, without the line end; no message contains any of it. */
export const loadSecret = (file: string): string => {
  try {
    const secret = readBounded(file, MAX_SECRET_BYTES, checkSecretMode(file)).replace(/\r?\n$/, '')
    if (Buffer.byteLength(secret) < MIN_SECRET_BYTES) {
      throw new SettingsError(`${file}: the secret has ${Buffer.byteLength(secret)} bytes, accepted are at least ${MIN_SECRET_BYTES}`)
    }
    if (!SECRET_FORM.test(secret)) throw new SettingsError(`${file}: accepted are printable ASCII characters without spaces`)
    return secret
  } catch (err) {
    throw toSettingsError(file, err)
  }
}
