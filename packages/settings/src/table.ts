const COLUMN_GAP = '  '

/** Formats rows as text with aligned columns, for the output of the command-line tools. */
export const formatTable = (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
  const lines = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...lines.map((line) => (line[column] ?? '').length)))
  return lines
    .map((line) => `${line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP).trimEnd()}\n`)
    .join('')
}
