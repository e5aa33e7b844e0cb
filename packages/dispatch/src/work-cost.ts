import type { Resources } from '@ibisstair/jobs'

/** An accelerator counts as this many cores when thrown-away work is compared. */
const CORES_PER_ACCELERATOR = 8

/** What a task occupies, in cores. */
export const coresOf = ({ cpuMilli, accelerators }: Resources): number => cpuMilli / 1_000 + accelerators * CORES_PER_ACCELERATOR
