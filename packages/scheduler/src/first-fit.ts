import type { Shape } from '@ibisstair/model'
import type { Allocation, Worker } from './entities.ts'
import { countTasks } from './entities.ts'
import type { Fleet } from './fleet.ts'

/** Fills the shape from workers in the given order. */
export const fillInOrder = (shape: Shape, workers: Iterable<Worker>): Allocation[] | undefined => {
  const allocations: Allocation[] = []
  let left = shape.tasks
  for (const worker of workers) {
    if (!worker.isUsable) continue
    const tasks = Math.min(left, countTasks(worker.availableAccelerators, worker.availableSlots, shape))
    if (tasks === 0) continue
    allocations.push({ worker, tasks })
    left -= tasks
    if (left === 0) return allocations
  }
  return undefined
}

/** The first set of workers that holds the shape, in the order in which the workers appeared. */
export const findFirstFit = (fleet: Fleet, shape: Shape): readonly Allocation[] | undefined => {
  if (shape.adjacency === 'any') return fillInOrder(shape, fleet.workers)
  if (shape.adjacency === 'worker') {
    for (const worker of fleet.workers) {
      if (worker.isUsable && countTasks(worker.availableAccelerators, worker.availableSlots, shape) >= shape.tasks) return [{ worker, tasks: shape.tasks }]
    }
    return undefined
  }
  for (const rack of fleet.racks) {
    const found = fillInOrder(shape, rack.workers)
    if (found) return found
  }
  return undefined
}
