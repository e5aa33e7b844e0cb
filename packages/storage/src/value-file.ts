import * as v from 'valibot'
import { readChecked, writeAtomically } from './atomic-file.ts'
import { createDamagedError } from './errors.ts'
import type { FileSystem } from './types.ts'

/** One value in a file, replaced atomically and synced. */
export class ValueFile<S extends v.GenericSchema> {
  readonly #fs: FileSystem
  readonly #schema: S

  constructor (fs: FileSystem, readonly path: string, schema: S) {
    this.#fs = fs
    this.#schema = schema
  }

  /** Resolves to null when the file is missing; throws `data-damaged` when it is invalid. */
  async read (): Promise<v.InferOutput<S> | null> {
    const value = await readChecked(this.#fs, this.path)
    if (value === undefined) return null
    const result = v.safeParse(this.#schema, value)
    if (!result.success) throw createDamagedError(this.path, 0, 'the value has an unknown form')
    return result.output
  }

  /** Rejects with `disk-full`, after which the old value is still in the file. */
  async write (value: v.InferOutput<S>): Promise<void> {
    await writeAtomically(this.#fs, this.path, value)
  }
}
