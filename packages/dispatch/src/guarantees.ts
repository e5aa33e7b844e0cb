import type { CustomerId } from '@ibisstair/common'
import type { JobEntry, SchedulingState } from '@ibisstair/jobs'
import { countPeakAccelerators } from './urgent-demand.ts'

/** Accelerators that the urgent jobs of each customer need at a time. */
export const sumUrgentNeeds = (state: SchedulingState): Map<CustomerId | null, number> => {
  const needs = new Map<CustomerId | null, number>()
  for (const job of state.jobs.listActive()) {
    if (job.policy.priority !== 0) continue
    needs.set(job.spec.customer, (needs.get(job.spec.customer) ?? 0) + countPeakAccelerators(job))
  }
  return needs
}

/**
 * Returns how many accelerators the guarantees of all customers exceed the endpoints by that are neither leaving nor in a
 * drained failure domain; 0 if the guarantees fit.
 */
export const findGuaranteeShortage = ({ config, domainDrains, endpoints }: SchedulingState): number => {
  let shortage = 0
  for (const { guaranteedAccelerators } of config.config?.customers ?? []) shortage += guaranteedAccelerators
  for (const { capacity, domain, draining } of endpoints.list()) if (!draining && !domainDrains.isDrained(domain)) shortage -= capacity.accelerators
  return Math.max(0, shortage)
}

/** Whether all urgent jobs of the customer together stay within its guarantee. */
export const isGuaranteed = (state: SchedulingState, { spec, policy }: JobEntry, needs: ReadonlyMap<CustomerId | null, number>): boolean =>
  policy.priority === 0 && (needs.get(spec.customer) ?? 0) <= state.config.getGuarantee(spec.customer)
