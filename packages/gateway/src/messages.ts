import type { CustomerId, RequestKey } from '@ibisstair/common'
import type { JobRequest } from '@ibisstair/model'

/** Parameters of the calls from an entry to the leader of a failure domain. */
export interface SubmitParams {
  readonly request: JobRequest
  readonly waitMs: number
}

export interface KeyParams {
  readonly customer: CustomerId
  readonly key: RequestKey
}

export interface WaitParams extends KeyParams {
  readonly waitMs: number
}
