const UNIT_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const DURATION_PATTERN = /^(\d{1,9}(?:\.\d{1,3})?) ?(ms|s|m|h|d)$/

/**
 * Parses a duration such as `250ms`, `1.5 s`, `15m`, `8h` or `2d` to milliseconds; returns
 * `undefined` for any other text.
 */
export const parseDuration = (text: string): number | undefined => {
  const [, amount, unit] = DURATION_PATTERN.exec(text) ?? []
  if (amount === undefined || unit === undefined) return undefined
  return Math.round(Number(amount) * UNIT_MS[unit]!)
}
