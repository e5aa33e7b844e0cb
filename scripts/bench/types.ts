import type { Shape, Urgency } from '@ibisstair/model'

export type DeploymentName = 'co-op' | 'guild'

export const PHASES = [
  'ordinary', 'flood-bulk', 'flood-urgent', 'heavy-caller', 'misdeclared', 'failing-workers', 'cancel-wave', 'cut-off'
] as const
export type Phase = typeof PHASES[number]

export interface Arrival {
  readonly id: string
  readonly atMs: number
  readonly domain: number
  readonly customer: string
  readonly caller: string
  readonly isSmallCaller: boolean
  readonly isFlood: boolean
  readonly kind: string
  readonly urgency: Urgency
  readonly shape: Shape
  readonly idempotent: boolean
  readonly runMs: number
  readonly declaredRunMs: number
  /** Accelerators that the job actually keeps busy, as a multiple of what it declares. */
  readonly sizeFactor: number
  readonly deadlineMs: number
  readonly cancelAtMs: number | undefined
}

export interface RunSpec {
  readonly deployment: DeploymentName
  readonly phase: Phase
  readonly policy: string
  readonly seed: number
  /** Runs only the small callers, to obtain the reference for their slowdown. */
  readonly alone: boolean
}

export interface RunResult {
  readonly spec: RunSpec
  readonly urgentP50: number
  readonly urgentP99: number
  readonly allP50: number
  readonly allP99: number
  readonly smallP99: number
  readonly jain: number
  readonly fragmentation: number
  readonly gangWaitP50Ms: number
  readonly gangWaitMaxMs: number
  readonly gangsUnfinished: number
  readonly guaranteesKept: number
  readonly refusedShare: number
  readonly failedShare: number
  readonly bulkMaxWaitMs: number
  readonly preemptions: number
  /** Kind of work of the flood, if there is exactly one. */
  readonly floodKind: string | undefined
  /** Jobs of each kind that were submitted during the flood and started in time, without those of the flood. */
  readonly goodput: Readonly<Record<string, number>>
}
