/** Compares by UTF-16 code units; locale rules differ between machines and would make replicas diverge. */
export const compareText = (a: string, b: string): number => {
  if (a === b) return 0
  return a < b ? -1 : 1
}
