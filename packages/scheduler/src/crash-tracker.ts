import type { EndpointId } from '@ibisstair/common'
import { assignBlame, COINCIDENCE_MS, judge, type CrashedRun, type TaskCrash, type Verdict } from '@ibisstair/crashes'
import type { Job } from './entities.ts'

/** Crashes that are remembered, in order to see which coincide. */
const MAX_REMEMBERED_CRASHES = 1_024

interface Crash {
  readonly endpointId: EndpointId
  readonly atMs: number
  /** The jobs that ran on the endpoint, with the time since their start; null for a start that was not confirmed. */
  readonly runs: ReadonlyArray<{ readonly job: Job, readonly attempt: number, readonly ranMs: number | null }>
}

/** Remembers the crashes of endpoints with the jobs that ran there, to find work that crashes endpoint after endpoint. */
export class CrashTracker {
  #crashes: readonly Crash[] = []

  record (endpointId: EndpointId, jobs: readonly Job[], nowMs: number): void {
    const runs = jobs.map((job) => ({ job, attempt: job.attempt, ranMs: job.startedAtMs === undefined ? null : nowMs - job.startedAtMs }))
    for (const { job, ranMs } of runs) job.explain(nowMs, 'endpoint-crashed', { endpoint: endpointId, ranMs: ranMs ?? 'unknown', jobsThere: jobs.length })
    this.#crashes = [...this.#crashes, { endpointId, atMs: nowMs, runs }].slice(-MAX_REMEMBERED_CRASHES)
  }

  /** Judges a job by the crashes under it. Those that coincide are reported one after the other, so that blame is assigned only here. */
  judge (job: Job, endpoints: number): Verdict {
    return judge(this.#crashes.flatMap((crash) => this.#describe(crash, job, endpoints) ?? []))
  }

  #describe ({ endpointId, atMs, runs }: Crash, job: Job, endpoints: number): TaskCrash | null {
    const index = runs.findIndex((run) => run.job === job)
    if (index < 0) return null
    const crashesElsewhere = this.#countOthers(endpointId, atMs)
    const blames = assignBlame(runs.map((run): CrashedRun => ({ job: run.job.id, ranMs: run.ranMs, crashesElsewhere })), endpoints)
    const { attempt, ranMs } = runs[index]!
    return { address: endpointId, run: attempt, ranMs, blame: blames[index]!, atMs }
  }

  #countOthers (endpointId: EndpointId, atMs: number): number {
    const coincident = this.#crashes.filter((crash) => crash.endpointId !== endpointId && Math.abs(crash.atMs - atMs) <= COINCIDENCE_MS)
    return new Set(coincident.map((crash) => crash.endpointId)).size
  }
}
