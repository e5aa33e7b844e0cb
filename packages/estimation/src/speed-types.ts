import type { EndpointId } from '@ibisstair/common'

/** What one run tells about the speed of its endpoint. */
export interface RateObservation {
  readonly endpoint: EndpointId
  /** All endpoints of the run's gang; absent for a single task. */
  readonly members?: readonly EndpointId[]
  readonly service: string
  readonly queue: string
  /** Names the step of the job; its tasks have about the same work. */
  readonly step: string
  /** Names the run among those of the step; the members of a gang share it. A later observation of a run replaces the earlier one. */
  readonly run: string
  readonly msPerPercent: number
  /** Time over which the rate was observed; a short one counts less. */
  readonly observedMs: number
  readonly nowMs: number
}

/** The end of a run that did its whole work at the endpoint. */
export type EndObservation = Omit<RateObservation, 'msPerPercent' | 'observedMs'> & { readonly runMs: number }

export interface EndpointSpeed {
  /** Relative to the median of the service. */
  readonly speed: number
  /** 0 for an unknown speed, towards 1 for a well-known one. */
  readonly confidence: number
  /** Time since the last observation. */
  readonly ageMs: number
}

/** Copy of the estimates, about 19 bytes an endpoint as JSON. The three columns have the same order. */
export interface SpeedSnapshot {
  /** Ids, separated by spaces. */
  readonly ids: string
  /** Speeds in thousandths. */
  readonly speeds: readonly number[]
  /** Confidence in tenths, one digit each. */
  readonly confidences: string
}
