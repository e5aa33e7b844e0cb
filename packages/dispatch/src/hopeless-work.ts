import type { PassView } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'

/** Work without its hopeless tasks, unless it has no others. */
export interface WorkWithoutHopeless {
  readonly work: ReadyWork
  /** Whether the work itself is hopeless and comes after other work of its priority. */
  readonly isHopeless: boolean
}

/**
 * Defers tasks that are unlikely to succeed, so that their last attempts take no capacity from other work of their
 * priority: within a step they wait until the others have started, and then for other work. Suspect work keeps its own
 * order, and long-running tasks are restarted however they end. Guaranteed work must not be passed in.
 */
export const deferHopeless = (work: ReadyWork, { history }: Pick<PassView, 'history'>): WorkWithoutHopeless => {
  if (work.isSuspect || work.spec.longRunning) return { work, isHopeless: false }
  const hopeless = new Set(history.listHopeless(work))
  if (hopeless.size === 0) return { work, isHopeless: false }
  const hopeful = work.indexes.filter((index) => !hopeless.has(index))
  if (hopeful.length === 0 || work.spec.gang) return { work, isHopeless: true }
  return { work: { ...work, indexes: hopeful }, isHopeless: false }
}
