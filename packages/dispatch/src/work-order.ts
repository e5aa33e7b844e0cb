import type { CustomerShares } from './customer-shares.ts'
import { isGuaranteed } from './guarantees.ts'
import type { PassView } from './plan-types.ts'
import { deferHopeless } from './hopeless-work.ts'
import { getLateness, LATENESS_TOO_LATE, listReadyWork, type ReadyWork } from './ready-work.ts'
import { findStarvingGang } from './reserving-gangs.ts'
import { isDeferrable } from './deferrable-limits.ts'

const RANK_GUARANTEED = 0
const RANK_URGENT = 1
/** Other work follows in the order of its priority. */
const RANK_SUSPECT = 2

/** In place of the lateness of hopeless work, which comes after work that is too late. */
const LATENESS_HOPELESS = LATENESS_TOO_LATE + 1

/** In place of the lateness of the starving gang, which goes before other work of its priority. */
const LATENESS_STARVING = -1

/** In place of the share rank of work for which runs are being stopped, so that it goes first. */
const SHARE_RANK_CLAIMANT = -1

/** What the order by shares needs beside the pass. */
export interface OrderContext {
  readonly shares: CustomerShares
  /** Whether capacity is claimed for the work. */
  hasClaim (work: ReadyWork): boolean
}

interface RankedWork {
  readonly work: ReadyWork
  readonly rank: number
  readonly lateness: number
}

/** A guarantee does not end when the job is late, so that the lateness of guaranteed work does not count. */
const toRanked = (ready: ReadyWork, pass: PassView): RankedWork => {
  const { state, needs, wallMs, history } = pass
  const { job, isSuspect } = ready
  if (isGuaranteed(state, job, needs)) return { work: ready, rank: RANK_GUARANTEED, lateness: 0 }
  const rank = job.policy.priority === 0 ? RANK_URGENT : isSuspect ? RANK_SUSPECT : RANK_SUSPECT + job.policy.priority
  const { work, isHopeless } = deferHopeless(ready, pass)
  return { work, rank, lateness: isHopeless ? LATENESS_HOPELESS : getLateness(job, wallMs, history) }
}

const compare = (a: RankedWork, b: RankedWork): number =>
  a.rank - b.rank || a.lateness - b.lateness || a.work.job.acceptedAtMs - b.work.job.acceptedAtMs

/**
 * Work within a guarantee, and work that is too late, keeps its place whatever its customer uses. So does deferrable work:
 * its jobs have many tasks, and turns among customers let all of these jobs end late in place of some. Work for which runs are
 * being stopped goes first: if the capacity went to another customer's work, the runs would have been stopped in vain.
 */
const rankByShare = ({ work, rank, lateness }: RankedWork, { shares, hasClaim }: OrderContext): number => {
  if (rank === RANK_GUARANTEED || lateness >= LATENESS_TOO_LATE || isDeferrable(work.job)) return 0
  const shareRank = shares.rankNext(work)
  return hasClaim(work) ? SHARE_RANK_CLAIMANT : shareRank
}

/** Orders work of equal rank and lateness by the shares of the customers; expects it in the order of `compare`. */
const orderByShares = (ranked: readonly RankedWork[], context: OrderContext): RankedWork[] => ranked
  .map((entry) => ({ entry, shareRank: rankByShare(entry, context) }))
  .sort((a, b) => a.entry.rank - b.entry.rank || a.entry.lateness - b.entry.lateness || a.shareRank - b.shareRank)
  .map(({ entry }) => entry)

/** Work that can start now, in the order in which it is placed. */
export interface WorkOrder {
  readonly ready: readonly ReadyWork[]
  /** The gang for which capacity is reserved before other work of its priority is placed; always null without fair shares. */
  readonly starving: ReadyWork | null
}

/**
 * Returns the most urgent work first. Within a priority the order is: urgent work within its customer's guarantee, work that
 * can be in time, late work, work that is too late, and work that has failed on several healthy endpoints. Among equals
 * the oldest comes first; with fair shares, work of customers that use less comes before it. Suspect work that is not
 * urgent comes after urgent work: an endpoint that has crashed returns empty.
 */
export const listWork = (pass: PassView, context: OrderContext): WorkOrder => {
  const ready = [...pass.state.jobs.listActive()].flatMap((job) => listReadyWork(job, pass.wallMs))
  const starving = findStarvingGang(ready, pass)
  const ranked = ready.map((work) => work === starving ? { ...toRanked(work, pass), lateness: LATENESS_STARVING } : toRanked(work, pass)).sort(compare)
  const ordered = pass.policy.fairShares ? orderByShares(ranked, context) : ranked
  return { ready: ordered.map(({ work }) => work), starving }
}
