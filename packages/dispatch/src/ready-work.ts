import type { JobEntry, StepSpec } from '@ibisstair/jobs'

/** Tasks of one step that can be placed now: a whole gang, or single tasks of the same step. */
export interface ReadyWork {
  readonly job: JobEntry
  readonly occurrence: number
  readonly step: number
  readonly spec: StepSpec
  readonly indexes: readonly number[]
  readonly run: number
}

const listIndexes = (job: JobEntry, occurrence: number, step: number): number[] => {
  const { tasks } = job.getOccurrence(occurrence).steps[step]!
  return tasks.flatMap(({ isDone, active }, index) => (isDone || active ? [] : [index]))
}

/** What of a job can start at this time; a gang only when no member of an earlier run is left. */
export const listReadyWork = (job: JobEntry, wallMs: number): ReadyWork[] => {
  const ready: ReadyWork[] = []
  for (let occurrence = 0; occurrence < job.occurrenceCount; occurrence++) {
    if (job.getDueAtMs(occurrence) > wallMs) break
    const { steps } = job.getOccurrence(occurrence)
    steps.forEach((entry, step) => {
      const spec = job.spec.steps[step]!
      if (entry.doneTasks + entry.activeTasks >= spec.count && !(spec.gang && entry.activeTasks > 0)) return
      if (spec.gang && entry.activeTasks > 0) return
      if (!job.areDependenciesDone(occurrence, step)) return
      const indexes = listIndexes(job, occurrence, step)
      if (indexes.length > 0) ready.push({ job, occurrence, step, spec, indexes, run: entry.lastRun + 1 })
    })
  }
  return ready
}
