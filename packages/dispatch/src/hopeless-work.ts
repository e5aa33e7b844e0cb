import type { PassView } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'

export interface HopefulWork {
  readonly work: ReadyWork
  /** Whether the work comes after other work of its priority. */
  readonly isHopeless: boolean
}

/**
 * Puts back tasks that are unlikely to succeed, so that their last attempts take no capacity from other work of their
 * priority: within a step they wait until the others have started, and then for other work. Suspect work keeps its own
 * order, and tasks that last are restarted however they end. Guaranteed work must not be passed in.
 */
export const putBackHopeless = (work: ReadyWork, { history }: Pick<PassView, 'history'>): HopefulWork => {
  if (work.isSuspect || work.spec.longRunning) return { work, isHopeless: false }
  const hopeless = new Set(history.listHopeless(work))
  if (hopeless.size === 0) return { work, isHopeless: false }
  const hopeful = work.indexes.filter((index) => !hopeless.has(index))
  if (hopeful.length === 0 || work.spec.gang) return { work, isHopeless: true }
  return { work: { ...work, indexes: hopeful }, isHopeless: false }
}
