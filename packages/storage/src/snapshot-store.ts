import { posix } from 'node:path'
import { IbisError } from '@ibisstair/common'
import { readChecked, writeAtomically } from './atomic-file.ts'
import { SNAPSHOTS_KEPT } from './constants.ts'
import { toStorageError } from './errors.ts'
import type { FileSystem } from './types.ts'

const SNAPSHOT_NAME_PATTERN = /^snapshot-(\d{16})$/
const TEMPORARY_NAME_PATTERN = /^snapshot-\d{16}\.tmp$/

export interface StoredSnapshot {
  /** Index of the last log record that the snapshot covers. */
  readonly index: number
  readonly value: unknown
}

export interface LoadedSnapshots {
  readonly newest: StoredSnapshot | null
  /** Index of the next older snapshot, whose content is not checked. It is usable only while the log still reaches back to it. */
  readonly previousIndex: number | null
  /** Indexes of damaged snapshots that are newer than `newest`. */
  readonly damaged: readonly number[]
}

/** Snapshots in one folder, named after the log index they cover. */
export class SnapshotStore {
  readonly #fs: FileSystem

  constructor (fs: FileSystem, readonly folder: string) {
    this.#fs = fs
  }

  /** Saves a snapshot and removes old ones. Rejects with `disk-full` when there is no space; then the older snapshots remain. */
  async save (index: number, value: unknown): Promise<void> {
    await writeAtomically(this.#fs, this.#pathOf(index), value)
    await this.#removeOld().catch((err: unknown) => { throw toStorageError(err, this.folder) })
  }

  /** Loads the newest valid snapshot. */
  async load (): Promise<LoadedSnapshots> {
    const damaged: number[] = []
    const indexes = await this.#listIndexes()
    for (const [position, index] of indexes.entries()) {
      const value = await this.#readValid(index)
      if (value !== undefined) return { newest: { index, value }, previousIndex: indexes[position + 1] ?? null, damaged }
      damaged.push(index)
    }
    return { newest: null, previousIndex: null, damaged }
  }

  async #readValid (index: number): Promise<unknown> {
    try {
      return await readChecked(this.#fs, this.#pathOf(index))
    } catch (err) {
      if (err instanceof IbisError && err.kind === 'data-damaged') return undefined
      throw err
    }
  }

  /** Resolves to the indexes of all snapshots in the folder, newest first. */
  async #listIndexes (): Promise<number[]> {
    const names = await this.#fs.list(this.folder) ?? []
    return names
      .map((name) => SNAPSHOT_NAME_PATTERN.exec(name)?.[1])
      .filter((digits) => digits !== undefined)
      .map(Number)
      .sort((a, b) => b - a)
  }

  /** Also removes temporary files that a crash left behind. */
  async #removeOld (): Promise<void> {
    const names = await this.#fs.list(this.folder) ?? []
    for (const name of names.filter((name) => TEMPORARY_NAME_PATTERN.test(name))) await this.#fs.remove(posix.join(this.folder, name))
    const indexes = await this.#listIndexes()
    for (const index of indexes.slice(SNAPSHOTS_KEPT)) await this.#fs.remove(this.#pathOf(index))
  }

  #pathOf (index: number): string {
    return posix.join(this.folder, `snapshot-${String(index).padStart(16, '0')}`)
  }
}
