import type { Shape } from '@ibisstair/model'
import { OUTLIER_COST } from './constants.ts'
import type { Allocation, Rack, Worker } from './entities.ts'
import { countTasks } from './entities.ts'
import { fillInOrder } from './first-fit.ts'
import type { Fleet } from './fleet.ts'
import { LAST_BUCKET } from './fleet.ts'

/** Workers examined in each bucket; bounds the cost of a decision in a large domain. */
const CANDIDATES_PER_BUCKET = 12

/** A whole free worker in a rack that could hold a large gang is worth more than any remainder. */
const WHOLE_WORKER_COST = 100

/** Capacity that a guarantee may need at any moment; using it risks a preemption. */
const IDLE_GUARANTEE_COST = 30

/** Cost of using a worker; lower is better. Measures how much the placement reduces the room for large shapes. */
export type WorkerCost = (worker: Worker, accelerators: number) => number

/** Cost by what is left: small remainders first, whole workers last, and those of emptier racks last of all. */
export const costOfRemainder: WorkerCost = (worker, accelerators) => {
  const left = worker.availableAccelerators - accelerators
  const breaksWhole = worker.availableAccelerators === worker.info.accelerators && accelerators > 0
  return left + (breaksWhole ? WHOLE_WORKER_COST + 10 * worker.rack.wholeWorkers : 0) + (worker.isOutlier ? OUTLIER_COST : 0)
}

/** Also avoids idle guaranteed capacity, so that it stays free for the guaranteed shapes. */
export const costWithGuarantees: WorkerCost = (worker, accelerators) => {
  const left = worker.availableAccelerators - accelerators
  const takenFromGuarantees = Math.max(0, worker.idleGuaranteedAccelerators - left) - Math.max(0, worker.idleGuaranteedAccelerators - worker.availableAccelerators)
  return costOfRemainder(worker, accelerators) + IDLE_GUARANTEE_COST * takenFromGuarantees
}

const findWorker = (fleet: Fleet, shape: Shape, cost: WorkerCost): Allocation[] | undefined => {
  const accelerators = shape.tasks * shape.acceleratorsPerTask
  const slots = shape.tasks * shape.slotsPerTask
  let best: Worker | undefined
  let bestCost = Infinity
  for (let bucket = Math.min(accelerators, LAST_BUCKET); bucket <= LAST_BUCKET; bucket++) {
    const workers = fleet.getBucket(bucket)
    for (let i = 0; i < workers.length && i < CANDIDATES_PER_BUCKET; i++) {
      const worker = workers[i]!
      if (worker.availableSlots < slots || worker.availableAccelerators < accelerators) continue
      const workerCost = cost(worker, accelerators)
      if (workerCost >= bestCost) continue
      best = worker
      bestCost = workerCost
    }
  }
  return best && [{ worker: best, tasks: shape.tasks }]
}

const sortByCost = (shape: Shape, cost: WorkerCost) => (workers: Iterable<Worker>): Worker[] => {
  const costs = new Map<Worker, number>()
  for (const worker of workers) {
    const tasks = countTasks(worker.availableAccelerators, worker.availableSlots, shape)
    if (worker.isUsable && tasks > 0) costs.set(worker, cost(worker, tasks * shape.acceleratorsPerTask))
  }
  return [...costs.keys()].sort((a, b) => costs.get(a)! - costs.get(b)!)
}

const findRack = (fleet: Fleet, shape: Shape, cost: WorkerCost): Allocation[] | undefined => {
  const accelerators = shape.tasks * shape.acceleratorsPerTask
  const sort = sortByCost(shape, cost)
  let best: Allocation[] | undefined
  let bestCost = Infinity
  for (const rack of fleet.racks) {
    if (rack.availableAccelerators < accelerators) continue
    const rackCost = costOfRack(rack, accelerators)
    if (rackCost >= bestCost) continue
    const found = fillInOrder(shape, sort(rack.workers))
    if (!found) continue
    best = found
    bestCost = rackCost
  }
  return best
}

const costOfRack = (rack: Rack, accelerators: number): number => rack.availableAccelerators - accelerators

const findInDomain = (fleet: Fleet, shape: Shape, cost: WorkerCost): Allocation[] | undefined => {
  if (shape.tasks === 1) return findWorker(fleet, shape, cost)
  const candidates: Worker[] = []
  for (let bucket = Math.min(shape.acceleratorsPerTask, LAST_BUCKET); bucket <= LAST_BUCKET; bucket++) {
    const workers = fleet.getBucket(bucket)
    for (let i = 0; i < workers.length && i < shape.tasks; i++) candidates.push(workers[i]!)
  }
  return fillInOrder(shape, sortByCost(shape, cost)(candidates))
}

/** The cheapest adjacent set of available accelerators for the shape. */
export const findBestFit = (fleet: Fleet, shape: Shape, cost: WorkerCost = costOfRemainder): readonly Allocation[] | undefined => {
  if (fleet.availableAccelerators < shape.tasks * shape.acceleratorsPerTask) return undefined
  if (shape.adjacency === 'worker') return findWorker(fleet, shape, cost)
  if (shape.adjacency === 'rack' && shape.tasks > 1) return findRack(fleet, shape, cost)
  return findInDomain(fleet, shape, cost)
}
