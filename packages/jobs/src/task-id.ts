import { asId, invariant, type JobId, type TaskId } from '@ibisstair/common'

export interface TaskRef {
  readonly job: JobId
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

export const toTaskId = ({ job, occurrence, step, index }: TaskRef): TaskId =>
  asId<TaskId>(`${job}.${occurrence}.${step}.${index}`)

/** Returns null when the text is not a task id, which can only occur in an endpoint's report. */
export const parseTaskId = (task: string): TaskRef | null => {
  const parts = task.split('.')
  if (parts.length !== 4) return null
  const [occurrence, step, index] = parts.slice(1).map(Number) as [number, number, number]
  if (![occurrence, step, index].every((value) => Number.isSafeInteger(value) && value >= 0)) return null
  return { job: asId<JobId>(parts[0]!), occurrence, step, index }
}

export const mustParseTaskId = (task: TaskId): TaskRef => {
  const ref = parseTaskId(task)
  invariant(ref, 'task id must have the form JOB.OCCURRENCE.STEP.INDEX', { task })
  return ref
}
