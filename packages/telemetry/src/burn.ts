import type { KindOfWork } from '@ibisstair/common'
import { BURN_THRESHOLD, LONG_WINDOW_MS, MIN_ERROR_BUDGET, OBJECTIVE_BUCKET_MS, SHORT_WINDOW_MS } from './constants.ts'
import type {
  BurnReport, BurnVerdict, MergedObjective, MetricsBody, ObjectiveBucket, ObjectiveCounts, WindowBurn
} from './types.ts'

const mergeBuckets = (lists: ReadonlyArray<readonly ObjectiveBucket[]>): ObjectiveBucket[] => {
  const merged = new Map<number, ObjectiveBucket>()
  for (const [startMs, good, total] of lists.flat()) {
    const existing = merged.get(startMs)
    merged.set(startMs, [startMs, (existing?.[1] ?? 0) + good, (existing?.[2] ?? 0) + total])
  }
  return [...merged.values()].sort((a, b) => a[0] - b[0])
}

const mergeKind = (kind: KindOfWork, newestFirst: readonly ObjectiveCounts[]): MergedObjective => {
  const { startWithinMs, target } = newestFirst[0]!
  return {
    kind,
    startWithinMs,
    target,
    buckets: mergeBuckets(newestFirst.map(({ buckets }) => buckets)),
    mixed: newestFirst.some((counts) => counts.startWithinMs !== startWithinMs || counts.target !== target)
  }
}

/** Keeps only the newest body of each node, so that a node that is read twice is counted once. */
const keepNewestPerNode = (bodies: readonly MetricsBody[]): MetricsBody[] => {
  const newestFirst = [...bodies].sort((a, b) => b.atMs - a.atMs)
  const seen = new Set<string>()
  return newestFirst.filter(({ node }) => !seen.has(node) && seen.add(node))
}

/** Sums the counts of several entries by kind and bucket. */
export const mergeObjectives = (bodies: readonly MetricsBody[]): MergedObjective[] => {
  const byKind = new Map<KindOfWork, ObjectiveCounts[]>()
  for (const counts of keepNewestPerNode(bodies).flatMap(({ objectives }) => objectives)) {
    const existing = byKind.get(counts.kind)
    if (existing) existing.push(counts)
    else byKind.set(counts.kind, [counts])
  }
  return [...byKind].map(([kind, counts]) => mergeKind(kind, counts)).sort((a, b) => (a.kind < b.kind ? -1 : 1))
}

/** Sums the counters of several nodes by name and sorts them by name. */
export const mergeCounters = (bodies: readonly MetricsBody[]): Record<string, number> => {
  const merged = new Map<string, number>()
  for (const [name, value] of keepNewestPerNode(bodies).flatMap(({ counters }) => Object.entries(counters))) {
    merged.set(name, (merged.get(name) ?? 0) + value)
  }
  return Object.fromEntries([...merged].sort(([a], [b]) => (a < b ? -1 : 1)))
}

const errorBudget = (target: number): number => Math.max(MIN_ERROR_BUDGET, 1 - target)

/** Returns counts and burn rate over the buckets that overlap the window ending at `atMs`. The burn rate is 0 without requests. */
export const burnOver = ({ buckets, target }: ObjectiveCounts, windowMs: number, atMs: number): WindowBurn => {
  const bucketsInWindow = buckets.filter(([startMs]) => startMs <= atMs && startMs + OBJECTIVE_BUCKET_MS > atMs - windowMs)
  const good = bucketsInWindow.reduce((sum, bucket) => sum + bucket[1], 0)
  const total = bucketsInWindow.reduce((sum, bucket) => sum + bucket[2], 0)
  const badFraction = total === 0 ? 0 : (total - good) / total
  return { windowMs, good, total, burnRate: badFraction / errorBudget(target) }
}

const toVerdict = (short: WindowBurn, long: WindowBurn, threshold: number): BurnVerdict => {
  if (long.total === 0) return 'no-data'
  const isShortOver = short.burnRate > threshold
  const isLongOver = long.burnRate > threshold
  if (isShortOver && isLongOver) return 'burning'
  if (isShortOver) return 'at-risk'
  return isLongOver ? 'recovering' : 'ok'
}

/** Reports `burning` only when both windows exceed the threshold, so that neither a short burst nor an ended fault is reported as such. */
export const reportBurn = (counts: MergedObjective, atMs: number, threshold = BURN_THRESHOLD): BurnReport => {
  const short = burnOver(counts, SHORT_WINDOW_MS, atMs)
  const long = burnOver(counts, LONG_WINDOW_MS, atMs)
  const { kind, startWithinMs, target, mixed } = counts
  return { kind, startWithinMs, target, mixed, short, long, budgetRemaining: 1 - long.burnRate, verdict: toVerdict(short, long, threshold) }
}
