import type { FleetView } from '../../src/plan-types.ts'

/** A fleet without faults, but for what a test replaces. */
export const createFleetView = (part: Partial<FleetView> = {}): FleetView => ({
  isUsable: () => true,
  isSuspect: () => false,
  hasAnswered: () => true,
  hasAnsweredOfLate: () => true,
  getPenalty: () => 0,
  isConfirmed: () => true,
  estimateRemainingMs: () => null,
  getSpeed: () => 1,
  isSpeedKnown: () => true,
  isCold: () => false,
  ...part
})
