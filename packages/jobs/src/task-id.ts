import { asId, invariant, type JobId, type TaskId } from '@ibisstair/common'

export interface TaskRef {
  readonly job: JobId
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

export const toTaskId = ({ job, occurrence, step, index }: TaskRef): TaskId =>
  asId<TaskId>(`${job}.${occurrence}.${step}.${index}`)

/** Null when the text has another form, which only an endpoint's report can have. */
export const parseTaskId = (task: string): TaskRef | null => {
  const parts = task.split('.')
  if (parts.length !== 4) return null
  const [occurrence, step, index] = parts.slice(1).map(Number) as [number, number, number]
  if (![occurrence, step, index].every((value) => Number.isSafeInteger(value) && value >= 0)) return null
  return { job: asId<JobId>(parts[0]!), occurrence, step, index }
}

export const mustParseTaskId = (task: TaskId): TaskRef => {
  const ref = parseTaskId(task)
  invariant(ref, 'a task id of this system can be parsed', { task })
  return ref
}
