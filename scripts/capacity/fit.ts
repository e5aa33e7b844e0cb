/** Returns the least-squares coefficients, one for each column of the rows, from the normal equations. */
export const fitLinear = (rows: ReadonlyArray<readonly number[]>, values: readonly number[]): number[] => {
  const size = rows[0]!.length
  const matrix = Array.from({ length: size }, (_, i) => [
    ...Array.from({ length: size }, (_, j) => rows.reduce((sum, row) => sum + row[i]! * row[j]!, 0)),
    rows.reduce((sum, row, k) => sum + row[i]! * values[k]!, 0)
  ])
  for (let column = 0; column < size; column++) eliminate(matrix, column)
  return matrix.map((row, i) => row[size]! / row[i]!)
}

/** Gauss-Jordan step with the largest remaining pivot. */
const eliminate = (matrix: number[][], column: number): void => {
  const remainingRows = matrix.slice(column)
  const pivot = remainingRows.reduce((best, row) => Math.abs(row[column]!) > Math.abs(best[column]!) ? row : best)
  const pivotIndex = matrix.indexOf(pivot)
  matrix[pivotIndex] = matrix[column]!
  matrix[column] = pivot
  for (const row of matrix) {
    if (row === pivot) continue
    const factor = row[column]! / pivot[column]!
    for (let j = column; j < row.length; j++) row[j]! -= factor * pivot[j]!
  }
}

/** Fits a line over one variable and returns its base (intercept) and slope. */
export const fitLine = (sizes: readonly number[], values: readonly number[]): { base: number, slope: number } => {
  const [base, slope] = fitLinear(sizes.map((size) => [1, size]), values)
  return { base: base!, slope: slope! }
}

export const getMedian = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? NaN
}

/** Formats the median with the smallest and the largest value. */
export const describeSpread = (values: readonly number[], digits = 1): string => {
  if (values.length === 0) return '-'
  const [min, median, max] = [Math.min(...values), getMedian(values), Math.max(...values)]
  return `${median.toFixed(digits)} (${min.toFixed(digits)}-${max.toFixed(digits)})`
}
