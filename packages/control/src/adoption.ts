import type { EndpointId, JobId } from '@ibisstair/common'
import type { TaskListing, TaskView } from '@ibisstair/endpoint-tasks'
import type { Assignment, JobMetadata } from '@ibisstair/model'

export interface FoundTask {
  readonly endpointId: EndpointId
  readonly incarnation: number
  readonly listing: TaskListing
  /** When the endpoint was asked for its tasks. */
  readonly requestedAtMs: number
}

/** A gang that a previous leader started, as the endpoints report it. */
export interface FoundGang {
  readonly jobId: JobId
  readonly attempt: number
  readonly job: JobMetadata
  readonly assignments: readonly Assignment[]
  readonly views: readonly TaskView[]
  readonly tasks: readonly FoundTask[]
  /** The earliest time at which one of the endpoints was asked for its tasks. */
  readonly requestedAtMs: number
  /** Every member is running or done. */
  readonly isComplete: boolean
}

const isActive = ({ phase }: TaskView): boolean => phase === 'running' || phase === 'done'

const toGang = (tasks: readonly FoundTask[]): FoundGang => {
  const sorted = [...tasks].sort((a, b) => a.listing.grant.index - b.listing.grant.index)
  const { jobId, attempt, request } = sorted[0]!.listing.grant
  const indexes = new Set(sorted.map(({ listing }) => listing.grant.index))
  return {
    jobId,
    attempt,
    job: request,
    assignments: sorted.map(({ endpointId, incarnation, listing }) => ({
      index: listing.grant.index, taskId: listing.taskId, endpointId, incarnation
    })),
    views: sorted.map(({ listing }) => listing.view),
    tasks: sorted,
    requestedAtMs: Math.min(...sorted.map(({ requestedAtMs }) => requestedAtMs)),
    isComplete: indexes.size === request.shape.tasks && sorted.length === request.shape.tasks && sorted.every(({ listing }) => isActive(listing.view))
  }
}

/** Groups the tasks that endpoints list into the gangs that they belong to. */
export const groupIntoGangs = (tasks: readonly FoundTask[]): FoundGang[] => {
  const groups = new Map<string, FoundTask[]>()
  for (const task of tasks) {
    const { jobId, attempt } = task.listing.grant
    const name = `${jobId}.${attempt}`
    const group = groups.get(name)
    if (group) group.push(task)
    else groups.set(name, [task])
  }
  return [...groups.values()].map(toGang)
}
