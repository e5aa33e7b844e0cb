import type { Resources } from '@ibisstair/jobs'

/** An accelerator counts as this many cores when lost work is compared. */
const CORES_PER_ACCELERATOR = 8

/** Returns the resources of a task in cores; accelerators are converted to cores. */
export const toCoreEquivalents = ({ cpuMilli, accelerators }: Resources): number => cpuMilli / 1_000 + accelerators * CORES_PER_ACCELERATOR
