import { readFileSync, statSync } from 'node:fs'
import { IbisError } from '@ibisstair/common'
import { type Config, parseConfig } from '@ibisstair/model'
import { parse } from 'yaml'
import { MAX_CONFIG_FILE_BYTES } from './constants.ts'

const readYaml = (file: string): unknown => {
  try {
    const { size } = statSync(file)
    if (size > MAX_CONFIG_FILE_BYTES) throw new Error(`has ${size} bytes, accepted are at most ${MAX_CONFIG_FILE_BYTES}`)
    return parse(readFileSync(file, 'utf8'), { maxAliasCount: 100 }) as unknown
  } catch (err) {
    throw new IbisError('invalid-request', `${file}: ${(err as Error).message}`)
  }
}

const EMPTY_SECTIONS = { version: 0, customers: [], kinds: [], fleet: { domains: [] }, drains: [] }

/** Reads a complete configuration (YAML or JSON); throws `invalid-request` with the file and field. */
export const readConfigFile = (file: string): Config => parseConfig(readYaml(file), file)

/** Like `readConfigFile`, but sections may be missing and are then empty. */
export const readPartialConfigFile = (file: string): Config => {
  const value = readYaml(file)
  const isRecord = typeof value === 'object' && value !== null && !Array.isArray(value)
  return parseConfig(isRecord ? { ...EMPTY_SECTIONS, ...value } : value, file)
}
