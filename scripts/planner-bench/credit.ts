import type { Arrival, WorkClass } from './workload.ts'

/** A job that takes longer than this multiple of its objective earns no credit. */
const LATE_FACTOR = 3

/** Share of the jobs, those that need most accelerators, that count as the largest. */
const LARGEST_SHARE = 0.1

/** Credit earned as a share of the full credit. */
export interface CreditSummary {
  readonly credit: number
  readonly creditByClass: Readonly<Record<string, number>>
  /** Share of the urgent jobs that met their objective. */
  readonly urgentInTime: number
  readonly worstCustomer: number
  readonly largestJobs: number
}

interface Earning {
  readonly arrival: Arrival
  readonly full: number
  readonly earned: number
}

const getCredit = ({ workClass, atMs, taskMs }: Arrival, endedAtMs: number | undefined): number => {
  if (endedAtMs === undefined) return 0
  const objectiveMs = workClass.stretch * Math.max(...taskMs) + workClass.targetLatencyMs
  const elapsedMs = endedAtMs - atMs
  if (elapsedMs <= objectiveMs) return workClass.fullCredit
  return elapsedMs <= LATE_FACTOR * objectiveMs ? workClass.lateCredit : 0
}

const toEarnings = (workClass: WorkClass, arrivals: readonly Arrival[], endedAtMs: ReadonlyMap<string, number>): Earning[] => {
  const meanTasks = arrivals.reduce((sum, { taskMs }) => sum + taskMs.length, 0) / arrivals.length
  return arrivals.map((arrival) => {
    const weight = Math.min(4, 0.3 + 0.7 * arrival.taskMs.length / meanTasks)
    return { arrival, full: weight * workClass.fullCredit, earned: weight * getCredit(arrival, endedAtMs.get(arrival.spec.id)) }
  })
}

const getShare = (earnings: readonly Earning[]): number => {
  const full = earnings.reduce((sum, earning) => sum + earning.full, 0)
  return full === 0 ? 1 : earnings.reduce((sum, { earned }) => sum + earned, 0) / full
}

const getShareInTime = (earnings: readonly Earning[]): number =>
  earnings.filter(({ earned, full }) => earned === full).length / Math.max(1, earnings.length)

const countAccelerators = ({ arrival: { spec: { steps: [step] }, taskMs } }: Earning): number => taskMs.length * step!.resources.accelerators

export const summarizeCredit = (classes: readonly WorkClass[], arrivals: readonly Arrival[], endedAtMs: ReadonlyMap<string, number>): CreditSummary => {
  const byClass = classes.map((workClass) => toEarnings(workClass, arrivals.filter((arrival) => arrival.workClass === workClass), endedAtMs))
  const all = byClass.flat()
  const byCustomer = new Map<string | null, Earning[]>()
  for (const earning of all) byCustomer.set(earning.arrival.spec.customer, [...byCustomer.get(earning.arrival.spec.customer) ?? [], earning])
  const largest = [...all].sort((a, b) => countAccelerators(b) - countAccelerators(a)).slice(0, Math.ceil(LARGEST_SHARE * all.length))
  return {
    credit: getShare(all),
    creditByClass: Object.fromEntries(classes.map(({ name }, i) => [name, getShare(byClass[i]!)])),
    urgentInTime: getShareInTime(all.filter(({ arrival }) => arrival.workClass.priority === 0)),
    worstCustomer: Math.min(...[...byCustomer.values()].map(getShare)),
    largestJobs: getShare(largest)
  }
}
