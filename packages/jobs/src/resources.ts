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

/** How many times `part` fits into `whole`. */
export const countFits = (whole: Resources, part: Resources): number => {
  const ratio = (have: number, need: number): number => need > 0 ? Math.floor(have / need) : Infinity
  return Math.max(0, Math.min(ratio(whole.cpuMilli, part.cpuMilli), ratio(whole.memMb, part.memMb), ratio(whole.accelerators, part.accelerators)))
}

/** Whether `part` fits into `whole`. */
export const hasRoomFor = (whole: Resources, part: Resources): boolean =>
  whole.cpuMilli >= part.cpuMilli && whole.memMb >= part.memMb && whole.accelerators >= part.accelerators
