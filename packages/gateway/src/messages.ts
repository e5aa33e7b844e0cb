import type { CustomerId, RequestKey } from '@ibisstair/common'
import type { JobRequest } from '@ibisstair/model'

/** Parameters of `job.submit`, sent by an entry to the leader of a failure domain. */
export interface SubmitParams {
  readonly request: JobRequest
  readonly waitMs: number
}

/** Parameters of `job.cancel` and `job.explain`: the request, named by customer and key. */
export interface KeyParams {
  readonly customer: CustomerId
  readonly key: RequestKey
}

/** Parameters of `job.wait`. */
export interface WaitParams extends KeyParams {
  readonly waitMs: number
}
