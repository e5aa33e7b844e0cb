import type { CustomerId, RackId } from '@ibisstair/common'
import type { Resources } from '@ibisstair/jobs'
import type { ReadyWork } from './ready-work.ts'

/**
 * Why work was not placed by a pass:
 * `no-suitable-endpoint`: no endpoint of the service is registered, or none has the label;
 * `larger-than-fleet`: it does not fit all registered endpoints if they were idle;
 * `claimed`: capacity is claimed for it, and the runs that were stopped for it have not ended;
 * `apart-as-suspect`: it is suspect, and waits for an endpoint without other runs;
 * `held-for-other-work`: it fits capacity that nothing uses, and which is claimed or reserved, or outside of the
 * share of deferrable work;
 * `one-rack`: it fits across racks, or away from its data;
 * `kept-for-suspect`: it fits endpoints that are kept for suspect work of another job;
 * `endpoints-out-of-use`: it would fit if endpoints that get no new work at present were in use: their free
 * capacity, or all of it if other runs there ended, too;
 * `no-capacity`: other runs use the capacity.
 */
export type WaitReason =
  | { readonly type: 'no-suitable-endpoint', readonly cause: 'none-registered' | 'label', readonly label: string | null }
  | { readonly type: 'larger-than-fleet' }
  | { readonly type: 'claimed' }
  | { readonly type: 'apart-as-suspect' }
  | { readonly type: 'held-for-other-work', readonly by: 'claim-or-reservation' | 'limit-of-deferrable-work' }
  | { readonly type: 'one-rack', readonly dataRack: RackId | null }
  | { readonly type: 'kept-for-suspect' }
  | { readonly type: 'endpoints-out-of-use', readonly fits: 'free' | 'idle' }
  | { readonly type: 'no-capacity' }

export type WaitReasonType = WaitReason['type']

export const WAIT_REASON_TYPES = [
  'no-suitable-endpoint', 'larger-than-fleet', 'claimed', 'apart-as-suspect', 'held-for-other-work', 'one-rack', 'kept-for-suspect', 'endpoints-out-of-use', 'no-capacity'
] as const satisfies readonly WaitReasonType[]

/** Capacity of some endpoints of a service after the starts of the pass. */
export interface CapacityFigures {
  readonly endpoints: number
  readonly total: Resources
  /** Not used by runs. */
  readonly free: Resources
  /** Share in use by each measure; null where there is no capacity. */
  readonly usedShares: { readonly accelerators: number | null, readonly cores: number | null, readonly memory: number | null }
}

/** What one piece of waiting work waits for, with the figures that decided it. */
export interface WaitingEntry {
  readonly work: ReadyWork
  readonly reason: WaitReason
  readonly waitedMs: number
  /** Dominant share of the work's customer in its service; null without fair shares. */
  readonly customerShare: number | null
  readonly isStalled: boolean
  readonly mayPreempt: boolean
  /** Tasks of the work that would fit the free capacity of usable endpoints, across racks. */
  readonly fittingTasks: number
  readonly usable: CapacityFigures
  /** Free capacity of usable endpoints that is neither claimed nor reserved. */
  readonly unclaimed: Resources
  readonly registered: CapacityFigures
}

/** What one customer uses and waits for. */
export interface CustomerFigures {
  readonly customer: CustomerId | null
  /** The largest of its dominant shares in the services. */
  readonly share: number
  /** Its waiting work as it is estimated, in core seconds. */
  readonly backlogCoreS: number
}

/** The waiting work as of one examination. */
export interface WaitingSurvey {
  readonly entries: readonly WaitingEntry[]
  /** Work that was due for an examination and was left for a later one. */
  readonly leftOut: number
  /** Work that has waited for long enough to be examined. */
  readonly waiting: number
  /** Work among it by the reason that the last examination found; other work has not been examined yet. */
  readonly byReason: ReadonlyMap<WaitReasonType, number>
  /** Longest time for which any work has waited without a placement. */
  readonly longestMs: number
  /** The customers with the largest share or backlog; none without fair shares. */
  readonly customers: readonly CustomerFigures[]
}
