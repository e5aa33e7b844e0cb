import type { CustomerId } from '@ibisstair/common'
import { invariant } from '@ibisstair/common'
import type { DomainShare, Shape } from '@ibisstair/model'
import type { Allocation, Rack, Worker } from './entities.ts'
import { countTasks, tasksOn } from './entities.ts'
import { OUTLIER_COST } from './constants.ts'
import type { Fleet } from './fleet.ts'

/** Capacity of one worker that is set aside for a customer's guarantees. */
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

/** A worker and the number of tasks of the shape that it can hold. */
export interface Candidate {
  readonly worker: Worker
  readonly tasks: number
}

interface RankedCandidate extends Candidate {
  /** Order of preference, lowest first. */
  readonly cost: number
}

/** Chooses adjacent workers for a shape, cheapest first; returns `undefined` when the candidates do not suffice. */
export const chooseAdjacent = (shape: Shape, candidates: readonly RankedCandidate[]): Allocation[] | undefined => {
  const sorted = [...candidates].sort((a, b) => a.cost - b.cost)
  if (shape.adjacency === 'worker') {
    const fitting = sorted.find(({ tasks }) => tasks >= shape.tasks)
    return fitting && [{ worker: fitting.worker, tasks: shape.tasks }]
  }
  if (shape.adjacency === 'any') return fillByCost(shape, sorted)?.allocations
  const byRack = new Map<Rack, RankedCandidate[]>()
  for (const candidate of sorted) {
    const group = byRack.get(candidate.worker.rack)
    if (group) group.push(candidate)
    else byRack.set(candidate.worker.rack, [candidate])
  }
  let best: { allocations: Allocation[], cost: number } | undefined
  for (const group of byRack.values()) {
    const found = fillByCost(shape, group)
    if (found && (!best || found.cost < best.cost)) best = found
  }
  return best?.allocations
}

const fillByCost = (shape: Shape, candidates: readonly RankedCandidate[]): { allocations: Allocation[], cost: number } | undefined => {
  const allocations: Allocation[] = []
  let left = shape.tasks
  let cost = 0
  for (const { worker, tasks, cost: workerCost } of candidates) {
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
 * Assigns every guaranteed shape to specific workers. Work that runs on its customer's guaranteed capacity
 * is never preempted for another customer; other work on that capacity has borrowed it, and the owner
 * can reclaim it. Guaranteeing only a sum of accelerators is not enough: small guaranteed work of other
 * customers, spread over all workers, could block a large shape for ever.
 */
export class GuaranteePlacement {
  #instances: GuaranteeInstance[] = []
  readonly #capacities = new Map<CustomerId, Map<Worker, GuaranteedCapacity>>()

  /** Guaranteed shapes that do not fit on the present workers. */
  get unplacedCount (): number {
    return this.#instances.filter(({ allocations }) => !allocations).length
  }

  /** Sets the guarantees of a configuration; `replan` assigns them to workers. */
  configure (share: DomainShare): void {
    this.#instances = share.customers.flatMap((customer) => customer.guarantees.flatMap(({ shape, count }) =>
      Array.from({ length: count }, () => ({ customer: customer.id, shape, allocations: undefined }))))
    this.#instances.sort((a, b) => sizeOf(b.shape) - sizeOf(a.shape))
  }

  /** Keeps assignments whose workers are still usable and plans the others; plans all again if some do not fit. */
  replan (fleet: Fleet): void {
    for (const instance of this.#instances) {
      if (instance.allocations?.some(({ worker }) => !worker.isUsable || fleet.get(worker.id) !== worker)) instance.allocations = undefined
    }
    this.#planUnplaced(fleet)
    if (this.unplacedCount > 0) {
      const kept = this.#instances.map(({ allocations }) => allocations)
      const unplacedBefore = this.unplacedCount
      for (const instance of this.#instances) instance.allocations = undefined
      this.#planUnplaced(fleet)
      if (this.unplacedCount >= unplacedBefore) this.#instances.forEach((instance, i) => { instance.allocations = kept[i] })
    }
    this.#rebuildCapacities(fleet)
  }

  capacitiesOf (customer: CustomerId): ReadonlyMap<Worker, GuaranteedCapacity> | undefined {
    return this.#capacities.get(customer)
  }

  /**
   * Lists the customer's guaranteed capacity for the shape, including capacity that others borrow. A guaranteed
   * shape may also take what the customer's other work uses there, because the shape itself is guaranteed.
   */
  listCandidates (customer: CustomerId, shape: Shape, isGuaranteedShape: boolean): Candidate[] {
    const candidates: Candidate[] = []
    for (const capacity of this.#capacities.get(customer)?.values() ?? []) {
      if (!capacity.worker.isUsable) continue
      const others = isGuaranteedShape ? this.#otherUsageOf(customer, capacity.worker) : { accelerators: 0, slots: 0 }
      const tasks = countTasks(capacity.freeAccelerators + others.accelerators, capacity.freeSlots + others.slots, shape)
      if (tasks > 0) candidates.push({ worker: capacity.worker, tasks })
    }
    return candidates
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

  /** Counts the allocations against the customer's guarantee and returns true if all of them fit into it. */
  tryUse (customer: CustomerId, shape: Shape, allocations: readonly Allocation[]): boolean {
    const capacities = this.#capacities.get(customer)
    if (!capacities || allocations.length === 0) return false
    const fits = allocations.every(({ worker, tasks }) => {
      const capacity = capacities.get(worker)
      return capacity && capacity.freeAccelerators >= tasks * shape.acceleratorsPerTask && capacity.freeSlots >= tasks * shape.slotsPerTask
    })
    if (fits) this.#addUsage(customer, shape, allocations, 1)
    return fits
  }

  release (customer: CustomerId, shape: Shape, allocations: readonly Allocation[]): void {
    this.#addUsage(customer, shape, allocations, -1)
  }

  #addUsage (customer: CustomerId, shape: Shape, allocations: readonly Allocation[], sign: 1 | -1): void {
    for (const { worker, tasks } of allocations) {
      const capacity = this.#capacities.get(customer)?.get(worker)
      if (!capacity) continue
      capacity.usedAccelerators += sign * tasks * shape.acceleratorsPerTask
      capacity.usedSlots += sign * tasks * shape.slotsPerTask
      worker.idleGuaranteedAccelerators -= sign * tasks * shape.acceleratorsPerTask
      invariant(capacity.usedAccelerators >= 0 && capacity.freeAccelerators >= 0 && capacity.freeSlots >= 0, `use of the guarantee of ${customer} on ${worker.id} is within its capacity`)
    }
  }

  #planUnplaced (fleet: Fleet): void {
    const planned = new Map<Worker, { accelerators: number, slots: number }>()
    for (const { allocations, shape } of this.#instances) if (allocations) addPlanned(planned, shape, allocations)
    for (const instance of this.#instances) {
      if (instance.allocations) continue
      const { shape } = instance
      const candidates: RankedCandidate[] = []
      for (const worker of fleet.workers) {
        if (!worker.isUsable) continue
        const used = planned.get(worker)
        const accelerators = worker.info.accelerators - (used?.accelerators ?? 0)
        const tasks = countTasks(accelerators, worker.info.slots - (used?.slots ?? 0), shape)
        if (tasks > 0) candidates.push({ worker, tasks, cost: accelerators + (worker.isOutlier ? OUTLIER_COST : 0) })
      }
      instance.allocations = chooseAdjacent(shape, candidates)
      if (instance.allocations) addPlanned(planned, shape, instance.allocations)
    }
  }

  /** Rebuilds the guaranteed capacity with no use counted; the caller counts running work again. */
  #rebuildCapacities (fleet: Fleet): void {
    for (const capacities of this.#capacities.values()) for (const worker of capacities.keys()) worker.idleGuaranteedAccelerators = 0
    for (const worker of fleet.workers) worker.idleGuaranteedAccelerators = 0
    this.#capacities.clear()
    for (const { customer, shape, allocations } of this.#instances) {
      for (const { worker, tasks } of allocations ?? []) {
        const capacities = this.#capacities.get(customer) ?? new Map<Worker, GuaranteedCapacity>()
        this.#capacities.set(customer, capacities)
        const capacity = capacities.get(worker) ?? new GuaranteedCapacity(worker)
        capacities.set(worker, capacity)
        capacity.accelerators += tasks * shape.acceleratorsPerTask
        capacity.slots += tasks * shape.slotsPerTask
        worker.idleGuaranteedAccelerators += tasks * shape.acceleratorsPerTask
      }
    }
  }
}

/** Finds allocations among the candidates that need no preemption. */
export const findFreeAllocations = (shape: Shape, candidates: readonly Candidate[]): readonly Allocation[] | undefined =>
  chooseAdjacent(shape, candidates.map(({ worker, tasks }) => {
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
