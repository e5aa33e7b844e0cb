import type { ChangeId } from '@ibisstair/common'

/** Address of an entry's listener for operators. */
export interface EntryTarget {
  readonly address: string
  readonly port: number
}

/** Outcome of an accepted change: the configuration version that it created. */
export interface ChangeResult {
  readonly version: number
  readonly changeId: ChangeId
}
