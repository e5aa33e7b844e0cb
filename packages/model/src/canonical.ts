import { compareText } from './order.ts'

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null

/** Encodes a value as JSON with sorted field names, so that equal values give equal text. */
export const encodeCanonical = (value: unknown): string =>
  JSON.stringify(value, (_, item: unknown) => {
    if (!isObject(item) || Array.isArray(item)) return item
    return Object.fromEntries(Object.entries(item).sort(([a], [b]) => compareText(a, b)))
  }) ?? 'null'

/**
 * Whether a value is nested more than `maxDepth` levels deep. It iterates level by level, because
 * recursion would overflow the stack on the values that must be rejected.
 */
export const exceedsDepth = (value: unknown, maxDepth: number): boolean => {
  let level = [value].filter(isObject)
  for (let depth = 0; level.length > 0; depth++) {
    if (depth >= maxDepth) return true
    level = level.flatMap((item) => Object.values(item).filter(isObject))
  }
  return false
}
