import type { ChangeId } from '@ibisstair/common'

export interface EntryTarget {
  readonly address: string
  readonly port: number
}

export interface ChangeResult {
  readonly version: number
  readonly changeId: ChangeId
}
