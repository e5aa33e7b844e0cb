import { IbisError } from '@ibisstair/common'
import { MAX_OCCURRENCES, MAX_OPEN_TASKS_PER_JOB, MAX_STEPS } from './constants.ts'
import type { Recurrence, StepSpec } from './types.ts'

/** The parts of a job that decide how much state it needs. */
interface JobSize {
  readonly steps: readonly StepSpec[]
  readonly recurrence: Recurrence | null
}

export const countTasksPerOccurrence = ({ steps }: Pick<JobSize, 'steps'>): number =>
  steps.reduce((sum, { count }) => sum + count, 0)

/** Returns how many occurrences that are due may be open at a time; later ones wait, so that the state of a job is bounded. */
export const getMaxOpenOccurrences = (size: JobSize): number => {
  const fitting = Math.floor(MAX_OPEN_TASKS_PER_JOB / countTasksPerOccurrence(size))
  return Math.max(1, Math.min(size.recurrence?.occurrences ?? 1, fitting))
}

/** The largest number of tasks of the job whose state is kept at a time. */
export const countMaxOpenTasks = (size: JobSize): number => getMaxOpenOccurrences(size) * countTasksPerOccurrence(size)

const isCount = (value: number, max: number): boolean => Number.isSafeInteger(value) && value >= 1 && value <= max
const isDuration = (value: number): boolean => Number.isFinite(value) && value >= 0

const fail = (field: string, value: unknown, accepted: string): never => {
  throw new IbisError('invalid-request', `${field} is ${String(value)}; accepted is ${accepted}`)
}

const checkStep = ({ count, estimateMs, dependsOn, resources }: StepSpec, index: number): void => {
  if (!isCount(count, MAX_OPEN_TASKS_PER_JOB)) fail(`the task count of step ${index}`, count, `1 to ${MAX_OPEN_TASKS_PER_JOB}`)
  if (!isDuration(estimateMs)) fail(`the estimate of step ${index}`, estimateMs, 'a finite time of 0 or more')
  const invalid = dependsOn.find((earlier) => !Number.isSafeInteger(earlier) || earlier < 0 || earlier >= index)
  if (invalid !== undefined) fail(`a dependency of step ${index}`, invalid, 'the index of an earlier step')
  for (const [name, value] of Object.entries(resources)) if (!isDuration(value)) fail(`${name} of step ${index}`, value, 'a finite number of 0 or more')
}

/**
 * Checks a job before it is replicated: every replica keeps its state and every leader plans it, so that a job
 * that exhausts the memory of one, or makes its planning fail, would do so on one after the other.
 * Throws `invalid-request`.
 */
export const checkJob = (size: JobSize): void => {
  const { steps, recurrence } = size
  if (!isCount(steps.length, MAX_STEPS)) fail('the number of steps', steps.length, `1 to ${MAX_STEPS}`)
  steps.forEach(checkStep)
  const tasks = countTasksPerOccurrence(size)
  if (tasks > MAX_OPEN_TASKS_PER_JOB) fail('the number of tasks', tasks, `at most ${MAX_OPEN_TASKS_PER_JOB}`)
  if (recurrence === null) return
  if (!isCount(recurrence.occurrences, MAX_OCCURRENCES)) fail('the number of occurrences', recurrence.occurrences, `1 to ${MAX_OCCURRENCES}`)
  if (!isDuration(recurrence.intervalMs)) fail('the interval', recurrence.intervalMs, 'a finite time of 0 or more')
  if (!Number.isFinite(recurrence.startAtMs)) fail('the start time', recurrence.startAtMs, 'a finite time')
}
