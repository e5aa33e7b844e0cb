import type { Adjacency, Urgency } from '@ibisstair/model'

export const TOGETHER = ['same-worker', 'same-rack', 'anywhere'] as const
export const SHARES = ['small', 'ordinary', 'large'] as const

export type Together = typeof TOGETHER[number]
export type Share = typeof SHARES[number]

export const ADJACENCY_BY_TOGETHER: Readonly<Record<Together, Adjacency>> = {
  'same-worker': 'worker',
  'same-rack': 'rack',
  anywhere: 'any'
}

/**
 * Weights in dominant-resource fairness; a large team gets four times as much capacity above the
 * guarantees as a small one.
 */
export const PRIORITY_BY_SHARE: Readonly<Record<Share, number>> = { small: 0.5, ordinary: 1, large: 2 }

export const DEFAULT_ON_TIME_PERCENT: Readonly<Record<Urgency, number>> = { urgent: 99, normal: 95, bulk: 90 }

/** Minimum queue limit, for a team that underestimates its number of callers. */
export const MIN_QUEUE_LIMIT = 16

/** Bulk work waits for all other work, so a shorter time to the start is rarely met under load. */
export const SHORT_BULK_START_MS = 60_000
