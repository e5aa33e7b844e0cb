import { compareText } from './order.ts'

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null

/** JSON with sorted field names, so that equal values give equal text. */
export const encodeCanonical = (value: unknown): string =>
  JSON.stringify(value, (_, item: unknown) => {
    if (!isObject(item) || Array.isArray(item)) return item
    return Object.fromEntries(Object.entries(item).sort(([a], [b]) => compareText(a, b)))
  }) ?? 'null'

/** Walks level by level, because recursion would overflow on the values it has to refuse. */
export const exceedsDepth = (value: unknown, maxDepth: number): boolean => {
  let level = [value].filter(isObject)
  for (let depth = 0; level.length > 0; depth++) {
    if (depth >= maxDepth) return true
    level = level.flatMap((item) => Object.values(item).filter(isObject))
  }
  return false
}
