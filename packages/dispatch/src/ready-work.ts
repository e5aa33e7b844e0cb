import { judge } from '@ibisstair/crashes'
import { hasPassedProbation, type JobEntry, type StepEntry, type StepSpec, type TaskEntry } from '@ibisstair/jobs'
import type { WorkHistory } from './plan-types.ts'

/** Tasks of one step that can be placed now: a whole gang, or single tasks of the same step. */
export interface ReadyWork {
  readonly job: JobEntry
  readonly occurrence: number
  readonly step: number
  readonly spec: StepSpec
  readonly indexes: readonly number[]
  /** Number of the next run of a gang. */
  readonly run: number
  /** An endpoint has crashed under a task of the work, which may have caused it. */
  readonly isSuspect: boolean
}

/** Identifies waiting work in maps that outlive a planning pass. */
export const toWorkKey = ({ job, occurrence, step }: ReadyWork): string => `${job.spec.id}.${occurrence}.${step}`

/** Equal for work with the same placement requirements. Single tasks are placed one by one, so their number does not count. */
export const toShape = ({ job, spec, indexes }: ReadyWork): string => {
  const { resources: { cpuMilli, memMb, accelerators }, gang, tightlyCoupled, requiredLabel, dataRack, maxPerEndpoint } = spec
  const tasks = gang || tightlyCoupled ? `${spec.count}/${indexes.length}` : 'single'
  return [job.policy.service, tasks, cpuMilli, memMb, accelerators, gang, tightlyCoupled, requiredLabel, dataRack, maxPerEndpoint].join()
}

/** Whether the task may crash its endpoint: a run that has lasted long enough shows that it does not. */
const isSuspectTask = (task: TaskEntry, wallMs: number): boolean => {
  if (task.isDone || judge(task.crashes) !== 'suspect') return false
  return task.active === null || !hasPassedProbation(task, task.active, wallMs)
}

const listSuspectTasks = ({ hasCrashes, tasks }: StepEntry, wallMs: number): TaskEntry[] =>
  hasCrashes ? tasks.filter((task) => isSuspectTask(task, wallMs)) : []

/** Returns the tasks of the job that may crash their endpoints, of all occurrences and steps that have begun. */
export const listSuspects = (job: JobEntry, wallMs: number): TaskEntry[] =>
  job.listBegunOccurrences().flatMap(({ steps }) => steps.flatMap((entry) => listSuspectTasks(entry, wallMs)))

const listIndexes = ({ tasks }: StepEntry): number[] =>
  tasks.flatMap(({ isDone, active }, index) => (isDone || active ? [] : [index]))

/**
 * Returns the waiting tasks that can start now. Suspects go first. The other tasks of their step wait until the suspects
 * have passed their probation: if the job is given up, they would be lost. Long-running tasks only wait until the suspects
 * have started, as each of them has to run.
 */
const selectBySuspicion = (spec: StepSpec, entry: StepEntry, wallMs: number): Pick<ReadyWork, 'indexes' | 'isSuspect'> => {
  const waiting = listIndexes(entry)
  const suspects = new Set(listSuspectTasks(entry, wallMs))
  if (spec.gang || suspects.size === 0) return { indexes: waiting, isSuspect: suspects.size > 0 }
  const waitingSuspects = waiting.filter((index) => suspects.has(entry.tasks[index]!))
  if (waitingSuspects.length === 0 && spec.longRunning) return { indexes: waiting, isSuspect: false }
  return { indexes: waitingSuspects, isSuspect: true }
}

/** Returns the work of a job that can start now; a gang only when no member of an earlier run is active. */
export const listReadyWork = (job: JobEntry, wallMs: number): ReadyWork[] => {
  const ready: ReadyWork[] = []
  for (const occurrence of job.listDueOccurrences(wallMs)) {
    const { steps } = job.getOccurrence(occurrence)
    steps.forEach((entry, step) => {
      const spec = job.spec.steps[step]!
      if (entry.doneTasks + entry.activeTasks >= spec.count && !(spec.gang && entry.activeTasks > 0)) return
      if (spec.gang && entry.activeTasks > 0) return
      if (!job.areDependenciesDone(occurrence, step)) return
      const { indexes, isSuspect } = selectBySuspicion(spec, entry, wallMs)
      if (indexes.length > 0) ready.push({ job, occurrence, step, spec, indexes, run: entry.lastRun + 1, isSuspect })
    })
  }
  return ready
}

/** Expected run time of the longest chain of steps that depend on each other. */
export const estimateChainMs = (job: JobEntry, history: WorkHistory): number => {
  const ends: number[] = []
  for (const step of job.spec.steps) ends.push(history.estimateRunMs(job, step) + Math.max(0, ...step.dependsOn.map((earlier) => ends[earlier] ?? 0)))
  return Math.max(...ends)
}

/** Completion within this multiple of the objective is late, but still of some use. */
export const LATE_FACTOR = 3

/** `getLateness` of a job that is of no use any more. */
export const LATENESS_TOO_LATE = 2

/** Returns 0 when the job can meet its objective if it starts now and runs as expected, 1 when it is late but of some use, 2 when it is too late. */
export const getLateness = (job: JobEntry, wallMs: number, history: WorkHistory): 0 | 1 | 2 => {
  const chainMs = estimateChainMs(job, history)
  const objectiveMs = job.policy.targetLatencyMs + job.policy.stretch * chainMs
  const endMs = wallMs - job.acceptedAtMs + chainMs
  if (endMs <= objectiveMs) return 0
  return endMs <= LATE_FACTOR * objectiveMs ? 1 : LATENESS_TOO_LATE
}
