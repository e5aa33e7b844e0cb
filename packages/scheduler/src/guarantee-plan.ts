import type { CustomerId } from '@ibisstair/common'
import { invariant } from '@ibisstair/common'
import type { DomainShare, Shape } from '@ibisstair/model'
import type { Allocation, Rack, Worker } from './entities.ts'
import { countTasks, tasksOn } from './entities.ts'
import { OUTLIER_COST } from './constants.ts'
import type { Fleet } from './fleet.ts'

/** Capacity of one worker that a customer's guarantees are planned on. */
export class GuaranteedCapacity {
  accelerators = 0
  slots = 0
  usedAccelerators = 0
  usedSlots = 0

  constructor (readonly worker: Worker) {}

  get freeAccelerators (): number {
    return this.accelerators - this.usedAccelerators
  }

  get freeSlots (): number {
    return this.slots - this.usedSlots
  }
}

interface GuaranteeInstance {
  readonly customer: CustomerId
  readonly shape: Shape
  allocations: readonly Allocation[] | undefined
}

export interface Candidate {
  readonly worker: Worker
  readonly tasks: number
}

interface RankedCandidate extends Candidate {
  /** Order of preference, lowest first. */
  readonly cost: number
}

/** Chooses adjacent workers for a shape out of a list of capacities; `undefined` when they do not suffice. */
export const chooseAdjacent = (shape: Shape, capacities: readonly RankedCandidate[]): Allocation[] | undefined => {
  const sorted = [...capacities].sort((a, b) => a.cost - b.cost)
  if (shape.adjacency === 'worker') {
    const fitting = sorted.find(({ tasks }) => tasks >= shape.tasks)
    return fitting && [{ worker: fitting.worker, tasks: shape.tasks }]
  }
  if (shape.adjacency === 'any') return fillByCost(shape, sorted)?.allocations
  const byRack = new Map<Rack, RankedCandidate[]>()
  for (const capacity of sorted) {
    const group = byRack.get(capacity.worker.rack)
    if (group) group.push(capacity)
    else byRack.set(capacity.worker.rack, [capacity])
  }
  let best: { allocations: Allocation[], cost: number } | undefined
  for (const group of byRack.values()) {
    const found = fillByCost(shape, group)
    if (found && (!best || found.cost < best.cost)) best = found
  }
  return best?.allocations
}

const fillByCost = (shape: Shape, capacities: readonly RankedCandidate[]): { allocations: Allocation[], cost: number } | undefined => {
  const allocations: Allocation[] = []
  let left = shape.tasks
  let cost = 0
  for (const { worker, tasks, cost: workerCost } of capacities) {
    const taken = Math.min(left, tasks)
    if (taken === 0) continue
    allocations.push({ worker, tasks: taken })
    cost += workerCost
    left -= taken
    if (left === 0) return { allocations, cost }
  }
  return undefined
}

/**
 * Plans every guaranteed shape on concrete workers, its home. Work that runs inside its customer's
 * home is never preempted for another customer; everything else on a home is borrowed capacity
 * that the owner can take back. A sum of accelerators would not do: others' small guaranteed work,
 * spread over all workers, could block a large shape for ever.
 */
export class GuaranteePlan {
  #instances: GuaranteeInstance[] = []
  readonly #capacities = new Map<CustomerId, Map<Worker, GuaranteedCapacity>>()

  /** Guaranteed shapes for which the present workers have no place. */
  get unplacedCount (): number {
    return this.#instances.filter(({ allocations }) => !allocations).length
  }

  /** Takes over the guarantees of a configuration; `replan` places them. */
  configure (share: DomainShare): void {
    this.#instances = share.customers.flatMap((customer) => customer.guarantees.flatMap(({ shape, count }) =>
      Array.from({ length: count }, () => ({ customer: customer.id, shape, allocations: undefined }))))
    this.#instances.sort((a, b) => sizeOf(b.shape) - sizeOf(a.shape))
  }

  /** Keeps the places whose workers are still there and plans the others; starts afresh when that fails. */
  replan (fleet: Fleet): void {
    for (const instance of this.#instances) {
      if (instance.allocations?.some(({ worker }) => !worker.isUsable || fleet.get(worker.id) !== worker)) instance.allocations = undefined
    }
    this.#planUnplaced(fleet)
    if (this.unplacedCount > 0) {
      const kept = this.#instances.map(({ allocations }) => allocations)
      const missing = this.unplacedCount
      for (const instance of this.#instances) instance.allocations = undefined
      this.#planUnplaced(fleet)
      if (this.unplacedCount >= missing) this.#instances.forEach((instance, i) => { instance.allocations = kept[i] })
    }
    this.#rebuildCapacities(fleet)
  }

  capacitiesOf (customer: CustomerId): ReadonlyMap<Worker, GuaranteedCapacity> | undefined {
    return this.#capacities.get(customer)
  }

  /**
   * Home capacity of the customer for the shape, whoever uses it now. Work of a guaranteed shape also
   * gets what the customer's other work holds there, because the shape itself is what was promised.
   */
  listCandidates (customer: CustomerId, shape: Shape, isGuaranteedShape: boolean): Candidate[] {
    const places: Candidate[] = []
    for (const spot of this.#capacities.get(customer)?.values() ?? []) {
      if (!spot.worker.isUsable) continue
      const others = isGuaranteedShape ? this.#otherUsageOf(customer, spot.worker) : { accelerators: 0, slots: 0 }
      const tasks = countTasks(spot.freeAccelerators + others.accelerators, spot.freeSlots + others.slots, shape)
      if (tasks > 0) places.push({ worker: spot.worker, tasks })
    }
    return places
  }

  #otherUsageOf (customer: CustomerId, worker: Worker): { accelerators: number, slots: number } {
    const sum = { accelerators: 0, slots: 0 }
    for (const job of worker.jobs) {
      if (!job.usesGuarantee || job.isGuaranteedShape || job.metadata.customer !== customer) continue
      const tasks = tasksOn(job, worker)
      sum.accelerators += tasks * job.shape.acceleratorsPerTask
      sum.slots += tasks * job.shape.slotsPerTask
    }
    return sum
  }

  /** Counts the shape inside its customer's home if all of it lies there. */
  tryUse (customer: CustomerId, shape: Shape, allocations: readonly Allocation[]): boolean {
    const spots = this.#capacities.get(customer)
    if (!spots || allocations.length === 0) return false
    const fits = allocations.every(({ worker, tasks }) => {
      const spot = spots.get(worker)
      return spot && spot.freeAccelerators >= tasks * shape.acceleratorsPerTask && spot.freeSlots >= tasks * shape.slotsPerTask
    })
    if (fits) this.#addUsage(customer, shape, allocations, 1)
    return fits
  }

  release (customer: CustomerId, shape: Shape, allocations: readonly Allocation[]): void {
    this.#addUsage(customer, shape, allocations, -1)
  }

  #addUsage (customer: CustomerId, shape: Shape, allocations: readonly Allocation[], sign: 1 | -1): void {
    for (const { worker, tasks } of allocations) {
      const spot = this.#capacities.get(customer)?.get(worker)
      if (!spot) continue
      spot.usedAccelerators += sign * tasks * shape.acceleratorsPerTask
      spot.usedSlots += sign * tasks * shape.slotsPerTask
      worker.idleGuaranteedAccelerators -= sign * tasks * shape.acceleratorsPerTask
      invariant(spot.usedAccelerators >= 0 && spot.freeAccelerators >= 0 && spot.freeSlots >= 0, `home of ${customer} on ${worker.id} holds what was planned`)
    }
  }

  #planUnplaced (fleet: Fleet): void {
    const planned = new Map<Worker, { accelerators: number, slots: number }>()
    for (const { allocations, shape } of this.#instances) if (allocations) addPlanned(planned, shape, allocations)
    for (const instance of this.#instances) {
      if (instance.allocations) continue
      const { shape } = instance
      const capacities: RankedCandidate[] = []
      for (const worker of fleet.workers) {
        if (!worker.isUsable) continue
        const used = planned.get(worker)
        const accelerators = worker.info.accelerators - (used?.accelerators ?? 0)
        const tasks = countTasks(accelerators, worker.info.slots - (used?.slots ?? 0), shape)
        if (tasks > 0) capacities.push({ worker, tasks, cost: accelerators + (worker.isOutlier ? OUTLIER_COST : 0) })
      }
      instance.allocations = chooseAdjacent(shape, capacities)
      if (instance.allocations) addPlanned(planned, shape, instance.allocations)
    }
  }

  /** Empties the homes; the caller seats the running work again. */
  #rebuildCapacities (fleet: Fleet): void {
    for (const spots of this.#capacities.values()) for (const worker of spots.keys()) worker.idleGuaranteedAccelerators = 0
    for (const worker of fleet.workers) worker.idleGuaranteedAccelerators = 0
    this.#capacities.clear()
    for (const { customer, shape, allocations } of this.#instances) {
      for (const { worker, tasks } of allocations ?? []) {
        const spots = this.#capacities.get(customer) ?? new Map<Worker, GuaranteedCapacity>()
        this.#capacities.set(customer, spots)
        const spot = spots.get(worker) ?? new GuaranteedCapacity(worker)
        spots.set(worker, spot)
        spot.accelerators += tasks * shape.acceleratorsPerTask
        spot.slots += tasks * shape.slotsPerTask
        worker.idleGuaranteedAccelerators += tasks * shape.acceleratorsPerTask
      }
    }
  }
}

/** The places where the shape fits and nothing has to be preempted. */
export const findFreeAllocations = (shape: Shape, places: readonly Candidate[]): readonly Allocation[] | undefined =>
  chooseAdjacent(shape, places.map(({ worker, tasks }) => {
    const vacant = countTasks(worker.unnominatedAccelerators, worker.unnominatedSlots, shape)
    return { worker, tasks: Math.min(tasks, vacant), cost: worker.unnominatedAccelerators + (worker.isOutlier ? OUTLIER_COST : 0) }
  }))

const sizeOf = (shape: Shape): number => shape.tasks * Math.max(shape.acceleratorsPerTask, shape.slotsPerTask)

const addPlanned = (planned: Map<Worker, { accelerators: number, slots: number }>, shape: Shape, allocations: readonly Allocation[]): void => {
  for (const { worker, tasks } of allocations) {
    const used = planned.get(worker) ?? { accelerators: 0, slots: 0 }
    used.accelerators += tasks * shape.acceleratorsPerTask
    used.slots += tasks * shape.slotsPerTask
    planned.set(worker, used)
  }
}
