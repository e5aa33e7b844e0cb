export interface InvariantViolation {
  readonly message: string
  readonly replay: unknown
}

export type InvariantListener = (violation: InvariantViolation) => void

const listeners = new Set<InvariantListener>()
let violations = 0

/**
 * Registers a listener that is called for each violation, to count and log it; returns a function
 * that removes it.
 */
export const onInvariantViolation = (listener: InvariantListener): () => void => {
  listeners.add(listener)
  return () => { listeners.delete(listener) }
}

export const getInvariantViolations = (): number => violations

/**
 * Asserts a rule that the owner of a piece of state must keep. A violation is counted, reported to
 * the listeners with the values needed to replay it, and thrown, so that no later step runs on an
 * inconsistent state.
 */
export function invariant (condition: unknown, message: string, replay?: unknown): asserts condition {
  if (condition) return
  violations += 1
  for (const listener of listeners) listener({ message, replay })
  throw new Error(`invariant violated: ${message}`)
}

export const assertNever = (value: never): never => {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}
