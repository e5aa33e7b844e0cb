export const percentile = (values: readonly number[], fraction: number): number => {
  if (values.length === 0) return 0
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]!
}

export const median = (values: readonly number[]): number => percentile(values, 0.5)

/** Jain's fairness index: 1 when all values are equal, 1/n when all but one are 0. */
export const jainIndex = (values: readonly number[]): number => {
  const sum = values.reduce((total, value) => total + value, 0)
  const squares = values.reduce((total, value) => total + value * value, 0)
  return squares === 0 ? 1 : sum * sum / (values.length * squares)
}

/** Formats the median with the lowest and the highest value. */
export const formatSpread = (values: readonly number[], digits: number): string => {
  const low = Math.min(...values)
  const high = Math.max(...values)
  return `${median(values).toFixed(digits)} (${low.toFixed(digits)}–${high.toFixed(digits)})`
}
