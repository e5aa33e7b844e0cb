import { MAX_BYSTANDER_CRASHES, MAX_CRASHES, MAX_POSSIBLE_CRASHES, MAX_PROBATION_MS, MAX_SOLE_CRASHES, MIN_PROBATION_MS, START_WINDOW_MS } from './constants.ts'
import type { Blame, TaskCrash, Verdict } from './types.ts'

const listWith = (crashes: readonly TaskCrash[], ...blames: readonly Blame[]): TaskCrash[] =>
  crashes.filter(({ blame }) => blames.includes(blame))

/** Crashes at one address count once: the fault may be the endpoint's. */
const countAddresses = (crashes: readonly TaskCrash[]): number => new Set(crashes.map(({ address }) => address)).size

/** Crashes in which the task may have had a part, wherever they were. */
const listSuspicious = (crashes: readonly TaskCrash[]): TaskCrash[] =>
  crashes.filter(({ blame, ranMs }) => blame !== 'bystander' && (blame !== 'outside' || (ranMs ?? Infinity) <= START_WINDOW_MS))

const isGuilty = (crashes: readonly TaskCrash[]): boolean =>
  countAddresses(listWith(crashes, 'sole')) >= MAX_SOLE_CRASHES ||
  countAddresses(listWith(crashes, 'sole', 'shared', 'possible')) >= MAX_POSSIBLE_CRASHES ||
  listSuspicious(crashes).length >= MAX_CRASHES

const isSuspect = (crashes: readonly TaskCrash[]): boolean =>
  listWith(crashes, 'sole', 'shared').length > 0 || listWith(crashes, 'possible', 'bystander').length >= MAX_BYSTANDER_CRASHES

/** Judges a task by the crashes of endpoints under it. */
export const judge = (crashes: readonly TaskCrash[]): Verdict => {
  if (isGuilty(crashes)) return 'guilty'
  return isSuspect(crashes) ? 'suspect' : 'clear'
}

/** Returns how long a run of the task must last until its crashes are forgotten: well past the age at which an endpoint crashed under it. */
export const getProbationMs = (crashes: readonly TaskCrash[]): number => {
  const suspicious = listSuspicious(crashes)
  const relevant = suspicious.length > 0 ? suspicious : crashes
  const longestMs = Math.max(0, ...relevant.map(({ ranMs }) => ranMs ?? 0))
  return Math.min(MAX_PROBATION_MS, Math.max(MIN_PROBATION_MS, 2 * longestMs))
}
