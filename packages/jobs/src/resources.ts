import type { Resources } from './types.ts'

export const NO_RESOURCES: Resources = { cpuMilli: 0, memMb: 0, accelerators: 0 }

export const addResources = (a: Resources, b: Resources): Resources => ({
  cpuMilli: a.cpuMilli + b.cpuMilli,
  memMb: a.memMb + b.memMb,
  accelerators: a.accelerators + b.accelerators
})

export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpuMilli: a.cpuMilli - b.cpuMilli,
  memMb: a.memMb - b.memMb,
  accelerators: a.accelerators - b.accelerators
})

/** Returns how many times `required` fits into `available`. */
export const countFits = (available: Resources, required: Resources): number => {
  const ratio = (have: number, need: number): number => need > 0 ? Math.floor(have / need) : Infinity
  return Math.max(0, Math.min(ratio(available.cpuMilli, required.cpuMilli), ratio(available.memMb, required.memMb), ratio(available.accelerators, required.accelerators)))
}

/** Whether `required` fits into `available`. */
export const isSufficientFor = (available: Resources, required: Resources): boolean =>
  available.cpuMilli >= required.cpuMilli && available.memMb >= required.memMb && available.accelerators >= required.accelerators
