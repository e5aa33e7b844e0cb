import * as v from 'valibot'
import { readChecked, writeAtomically } from './atomic-file.ts'
import { createDamagedError } from './errors.ts'
import type { FileSystem } from './types.ts'

/** File that holds one value; a write replaces it atomically and syncs it. */
export class ValueFile<S extends v.GenericSchema> {
  readonly #fs: FileSystem
  readonly #schema: S

  constructor (fs: FileSystem, readonly path: string, schema: S) {
    this.#fs = fs
    this.#schema = schema
  }

  /** Resolves to null when the file is missing. Rejects with `data-damaged` when the checksum or the schema does not match. */
  async read (): Promise<v.InferOutput<S> | null> {
    const value = await readChecked(this.#fs, this.path)
    if (value === undefined) return null
    const result = v.safeParse(this.#schema, value)
    if (!result.success) throw createDamagedError(this.path, 0, 'the value does not match its schema')
    return result.output
  }

  /** Replaces the value. Rejects with `disk-full` when there is no space; then the file still has the old value. */
  async write (value: v.InferOutput<S>): Promise<void> {
    await writeAtomically(this.#fs, this.path, value)
  }
}
