import type { Shape } from '@ibisstair/model'
import { PREEMPT_RETRY_MS } from './constants.ts'
import type { Allocation, Job, Worker } from './entities.ts'
import { tasksOn } from './entities.ts'
import type { Candidate } from './guarantee-placement.ts'
import { chooseAdjacent } from './guarantee-placement.ts'

/** Non-idempotent work cannot be started again, so that stopping it loses the whole job. */
const NON_IDEMPOTENT_LOSS = 1e12

export interface VictimSet {
  readonly victims: readonly Job[]
  /** Accelerator milliseconds that are lost or at risk. */
  readonly loss: number
}

export interface Reclaim extends VictimSet {
  readonly allocations: readonly Allocation[]
}

/** Work that is lost when the job stops: accelerator milliseconds since its start, over all tasks of the gang. */
export const lostWorkOf = (job: Job, nowMs: number): number => {
  const ranMs = nowMs - (job.startedAtMs ?? nowMs)
  return Math.max(1, job.accelerators) * (1 + ranMs) + (job.metadata.idempotent ? 0 : NON_IDEMPOTENT_LOSS)
}

/** Selects the running jobs of a worker that lose the least work when stopped to free the given capacity. */
export const selectVictims = (worker: Worker, accelerators: number, slots: number, nowMs: number, mayStop: (job: Job) => boolean): VictimSet | undefined => {
  let missingAccelerators = accelerators - worker.freeAccelerators + worker.nominatedAccelerators
  let missingSlots = slots - worker.freeSlots + worker.nominatedSlots
  const candidates: { job: Job, loss: number, accelerators: number, slots: number }[] = []
  for (const job of worker.jobs) {
    const tasks = tasksOn(job, worker)
    const held = { accelerators: tasks * job.shape.acceleratorsPerTask, slots: tasks * job.shape.slotsPerTask }
    if (job.stoppingSinceMs !== undefined) {
      // A stop that takes too long is not counted on: its endpoint may be unreachable.
      if (nowMs - job.stoppingSinceMs >= PREEMPT_RETRY_MS) continue
      missingAccelerators -= held.accelerators
      missingSlots -= held.slots
    } else if (job.phase === 'running' && mayStop(job)) {
      candidates.push({ job, loss: lostWorkOf(job, nowMs), ...held })
    }
  }
  candidates.sort((a, b) => a.loss - b.loss)
  const chosen: typeof candidates = []
  for (const candidate of candidates) {
    if (missingAccelerators <= 0 && missingSlots <= 0) break
    const helps = (missingAccelerators > 0 && candidate.accelerators > 0) || (missingSlots > 0 && candidate.slots > 0)
    if (!helps) continue
    chosen.push(candidate)
    missingAccelerators -= candidate.accelerators
    missingSlots -= candidate.slots
  }
  if (missingAccelerators > 0 || missingSlots > 0) return undefined
  // A later, larger victim can make earlier ones unnecessary; the one with the highest loss is dropped first.
  for (const candidate of [...chosen].reverse()) {
    if (missingAccelerators + candidate.accelerators > 0 || missingSlots + candidate.slots > 0) continue
    chosen.splice(chosen.indexOf(candidate), 1)
    missingAccelerators += candidate.accelerators
    missingSlots += candidate.slots
  }
  return { victims: chosen.map(({ job }) => job), loss: chosen.reduce((sum, { loss }) => sum + loss, 0) }
}

/** Chooses the adjacent workers, among the candidates, on which placing the shape loses the least work. */
export const planReclaim = (shape: Shape, workerCandidates: readonly Candidate[], nowMs: number, mayStop: (job: Job) => boolean): Reclaim | undefined => {
  const select = (worker: Worker, tasks: number): VictimSet | undefined =>
    selectVictims(worker, tasks * shape.acceleratorsPerTask, tasks * shape.slotsPerTask, nowMs, mayStop)
  const capacities = workerCandidates.flatMap(({ worker, tasks }) => {
    const set = select(worker, tasks)
    return set ? [{ worker, tasks, cost: set.loss / tasks }] : []
  })
  const allocations = chooseAdjacent(shape, capacities)
  if (!allocations) return undefined
  const victims = new Set<Job>()
  let loss = 0
  for (const { worker, tasks } of allocations) {
    const set = select(worker, tasks)
    if (!set) return undefined
    for (const job of set.victims) victims.add(job)
    loss += set.loss
  }
  return { allocations, victims: [...victims], loss }
}
