import { assignBlame, type CrashedRun } from '@ibisstair/crashes'
import { mustParseTaskId } from './task-id.ts'
import type { ActiveRun, EndpointIncarnation, LostRun, Silence } from './types.ts'

/** How an incarnation ended, as far as the leader of the time knows. */
export interface IncarnationOutcome {
  readonly hasCrashed: boolean
  readonly silence: Silence | null
  /** Registered endpoints. */
  readonly endpoints: number
  readonly atMs: number
}

/** Returns null if it is not known when the endpoint fell silent, or if the clock was set meanwhile. */
export const toRanMs = ({ startedAtMs }: ActiveRun, silence: Silence | null): number | null => {
  if (silence === null || silence.sinceMs === null) return null
  const ranMs = silence.sinceMs - startedAtMs
  return ranMs >= 0 ? ranMs : null
}

type RunWithoutBlame = Omit<LostRun, 'blame'>

/**
 * Blames the runs of a crashed endpoint. `listJobs` returns the jobs with runs on an incarnation: of the endpoints
 * that fell silent together, those with a run of the same job may have crashed under that job, too.
 */
export const blameRuns = (runs: readonly RunWithoutBlame[], { silence, endpoints }: IncarnationOutcome, listJobs: (endpoint: EndpointIncarnation) => ReadonlySet<string>): LostRun[] => {
  const jobsElsewhere = (silence?.together ?? []).map(listJobs)
  const crashed = runs.map(({ task, ranMs }): CrashedRun => {
    const { job } = mustParseTaskId(task)
    return { job, ranMs, crashesElsewhere: jobsElsewhere.filter((jobs) => !jobs.has(job)).length }
  })
  const blames = assignBlame(crashed, endpoints)
  return runs.map((run, i) => ({ ...run, blame: blames[i]! }))
}
