import { posix } from 'node:path'
import * as v from 'valibot'
import { IbisError } from '@ibisstair/common'
import type { RandomSource } from '@ibisstair/timers'
import { createDamagedError } from './errors.ts'
import type { FileSystem } from './types.ts'
import { ValueFile } from './value-file.ts'

const IDENTITY_FILE = 'incarnation'
const FIRST_INCARNATION = '1'
const GROUP_NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,63}$/

const identitySchema = v.object({
  incarnation: v.pipe(v.string(), v.nonEmpty()),
  /** Groups whose state was created in this folder. If the state of one is missing, it was lost, and the group must not start empty. */
  groups: v.array(v.string())
})

type Identity = v.InferOutput<typeof identitySchema>

/** The folder that holds all durable state of a process, including the incarnation of its node. */
export class DataFolder {
  readonly fs: FileSystem
  readonly #file: ValueFile<typeof identitySchema>
  #identity: Identity

  private constructor (fs: FileSystem, readonly path: string, identity: Identity, readonly isNew: boolean) {
    this.fs = fs
    this.#file = DataFolder.#identityFile(fs, path)
    this.#identity = identity
  }

  /** Creates the folder with incarnation "1" at installation. Rejects with `invalid-request` when the folder exists. */
  static async init (fs: FileSystem, path: string): Promise<DataFolder> {
    if (!await fs.makeFolder(path)) {
      throw new IbisError('invalid-request', `data folder ${path} already exists`, { info: { folder: path } })
    }
    const identity = await DataFolder.#createIdentity(fs, path, FIRST_INCARNATION)
    return new DataFolder(fs, path, identity, false)
  }

  /** Opens the folder. Without an identity file, initialises it with incarnation "1", as for an initial member at installation. */
  static async openOrInit (fs: FileSystem, path: string): Promise<DataFolder> {
    const identity = await DataFolder.#identityFile(fs, path).read()
    if (identity) return new DataFolder(fs, path, identity, false)
    await fs.makeFolder(path)
    return new DataFolder(fs, path, await DataFolder.#createIdentity(fs, path, FIRST_INCARNATION), false)
  }

  /**
   * Opens the folder. When it is missing or empty, creates it with a new random incarnation and sets `isNew`.
   * Rejects with `data-damaged` when the folder has content but no identity file.
   */
  static async open (fs: FileSystem, path: string, random: RandomSource): Promise<DataFolder> {
    const identity = await DataFolder.#identityFile(fs, path).read()
    if (identity) return new DataFolder(fs, path, identity, false)
    const names = await fs.list(path) ?? []
    if (names.some((name) => name !== `${IDENTITY_FILE}.tmp`)) {
      throw createDamagedError(posix.join(path, IDENTITY_FILE), 0, 'the file is missing, but the folder is not empty')
    }
    await fs.makeFolder(path)
    return new DataFolder(fs, path, await DataFolder.#createIdentity(fs, path, random.token()), true)
  }

  get incarnation (): string {
    return this.#identity.incarnation
  }

  /** Whether the folder was created at installation, which makes the node an initial member of its groups. */
  get isFirstIncarnation (): boolean {
    return this.incarnation === FIRST_INCARNATION
  }

  hasGroup (group: string): boolean {
    return this.#identity.groups.includes(group)
  }

  /** Records durably that the state of the group was created in this folder. */
  async addGroup (group: string): Promise<void> {
    if (this.hasGroup(group)) return
    const identity = { ...this.#identity, groups: [...this.#identity.groups, group] }
    await this.#file.write(identity)
    this.#identity = identity
  }

  /** Creates the folder of the group when it is missing, and resolves to its path. */
  async makeGroupFolder (group: string): Promise<string> {
    if (!GROUP_NAME_PATTERN.test(group)) throw new IbisError('invalid-request', `group name ${group} is not accepted; use lower-case letters, digits, dots and hyphens`)
    const folder = posix.join(this.path, `group-${group}`)
    await this.fs.makeFolder(folder)
    await this.fs.syncFolder(this.path)
    return folder
  }

  static #identityFile (fs: FileSystem, path: string): ValueFile<typeof identitySchema> {
    return new ValueFile(fs, posix.join(path, IDENTITY_FILE), identitySchema)
  }

  static async #createIdentity (fs: FileSystem, path: string, incarnation: string): Promise<Identity> {
    const identity = { incarnation, groups: [] }
    await fs.syncFolder(posix.dirname(path))
    await DataFolder.#identityFile(fs, path).write(identity)
    return identity
  }
}
