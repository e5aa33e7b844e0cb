import type { Shape } from '@ibisstair/model'
import { CHECKPOINT_GRACE_MS, MAX_PLANNED_WORKERS } from './constants.ts'
import type { Allocation, Job, Worker } from './entities.ts'
import { countTasks, tasksOn } from './entities.ts'
import type { Fleet } from './fleet.ts'

export interface PlannedStart {
  readonly allocations: readonly Allocation[]
  readonly startAtMs: number
}

interface FitTime {
  readonly worker: Worker
  readonly atMs: number
  /** Tasks of the shape that fit on the worker from then on. */
  readonly tasks: number
}

/** Lists the times at which more tasks of the shape fit on a worker as its jobs end. */
const listFitTimes = (worker: Worker, shape: Shape, nowMs: number, expectedEndOf: (job: Job) => number): FitTime[] => {
  let accelerators = worker.availableAccelerators
  let slots = worker.availableSlots
  let tasks = countTasks(accelerators, slots, shape)
  const fitTimes: FitTime[] = tasks > 0 ? [{ worker, atMs: nowMs, tasks }] : []
  const ends = [...worker.jobs].map((job) => ({ job, atMs: job.stoppingSinceMs === undefined ? expectedEndOf(job) : job.stoppingSinceMs + CHECKPOINT_GRACE_MS }))
  ends.sort((a, b) => a.atMs - b.atMs)
  for (const { job, atMs } of ends) {
    accelerators += tasksOn(job, worker) * job.shape.acceleratorsPerTask
    slots += tasksOn(job, worker) * job.shape.slotsPerTask
    const fitting = countTasks(accelerators, slots, shape)
    if (fitting > tasks) fitTimes.push({ worker, atMs: Math.max(nowMs, atMs), tasks: fitting })
    tasks = Math.max(tasks, fitting)
  }
  return fitTimes
}

const planWithin = (workers: readonly Worker[], shape: Shape, nowMs: number, expectedEndOf: (job: Job) => number): PlannedStart | undefined => {
  const fitTimes = workers.flatMap((worker) => listFitTimes(worker, shape, nowMs, expectedEndOf)).sort((a, b) => a.atMs - b.atMs)
  const tasksByWorker = new Map<Worker, number>()
  let total = 0
  for (const { worker, atMs, tasks } of fitTimes) {
    total += tasks - (tasksByWorker.get(worker) ?? 0)
    tasksByWorker.set(worker, tasks)
    if (total < shape.tasks) continue
    return { allocations: removeSurplus(tasksByWorker, total - shape.tasks), startAtMs: atMs }
  }
  return undefined
}

const removeSurplus = (tasksByWorker: ReadonlyMap<Worker, number>, surplus: number): Allocation[] => {
  const allocations: Allocation[] = []
  let left = surplus
  for (const [worker, tasks] of tasksByWorker) {
    const dropped = Math.min(left, tasks)
    left -= dropped
    if (tasks > dropped) allocations.push({ worker, tasks: tasks - dropped })
  }
  return allocations
}

const listWorkerGroups = (fleet: Fleet, shape: Shape): Worker[][] => {
  const usable = (workers: Iterable<Worker>): Worker[] => [...workers].filter((worker) => worker.isUsable && countTasks(worker.info.accelerators, worker.info.slots, shape) > 0)
  if (shape.adjacency === 'rack') return [...fleet.racks].map((rack) => usable(rack.workers))
  const workers = usable(fleet.workers).slice(0, MAX_PLANNED_WORKERS)
  return shape.adjacency === 'worker' ? workers.map((worker) => [worker]) : [workers]
}

/** Returns the adjacent workers on which a large shape can start earliest, and that time. */
export const planStart = (fleet: Fleet, shape: Shape, nowMs: number, expectedEndOf: (job: Job) => number): PlannedStart | undefined => {
  let best: PlannedStart | undefined
  for (const workers of listWorkerGroups(fleet, shape)) {
    const plan = planWithin(workers, shape, nowMs, expectedEndOf)
    if (plan && (!best || plan.startAtMs < best.startAtMs)) best = plan
  }
  return best
}
