import type { EndpointId, RackId } from '@ibisstair/common'
import { invariant } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'
import type { Allocation, Job } from './entities.ts'
import { Rack, Worker } from './entities.ts'

/** Workers with at least this many available accelerators share the last bucket of the index. */
export const LAST_BUCKET = 64

/** The workers of one failure domain, indexed by what is available on them. */
export class Fleet {
  readonly #workers = new Map<EndpointId, Worker>()
  readonly #racks = new Map<RackId, Rack>()
  readonly #buckets: Worker[][] = Array.from({ length: LAST_BUCKET + 1 }, () => [])
  #drains: ReadonlySet<EndpointId> = new Set()
  /** Changes whenever capacity may have become available, so that a failed search is not repeated before then. */
  epoch = 0
  /** Changes whenever the set of usable workers or their capacity changes. */
  layoutVersion = 0
  availableAccelerators = 0
  totalAccelerators = 0
  totalSlots = 0

  get workers (): IterableIterator<Worker> {
    return this.#workers.values()
  }

  get racks (): IterableIterator<Rack> {
    return this.#racks.values()
  }

  get size (): number {
    return this.#workers.size
  }

  get (id: EndpointId): Worker | undefined {
    return this.#workers.get(id)
  }

  /** Usable workers whose available accelerators equal `bucket` (or more, in the last bucket). */
  getBucket (bucket: number): readonly Worker[] {
    return this.#buckets[Math.min(bucket, LAST_BUCKET)]!
  }

  setDrains (drains: readonly EndpointId[]): void {
    this.#drains = new Set(drains)
    for (const worker of this.#workers.values()) {
      worker.drained = this.#drains.has(worker.id)
      this.reindex(worker)
    }
    this.#updateTotals()
  }

  /** Adds or updates a worker. A new incarnation starts empty; jobs of the old one keep the old `Worker` object. */
  put (info: EndpointInfo): Worker {
    const known = this.#workers.get(info.id)
    if (known && info.incarnation < known.info.incarnation) return known
    if (known && known.info.incarnation === info.incarnation && known.rack.id === info.rack) {
      const wasUsable = known.isUsable
      const changed = info.accelerators !== known.info.accelerators || info.slots !== known.info.slots
      known.freeAccelerators += info.accelerators - known.info.accelerators
      known.freeSlots += info.slots - known.info.slots
      known.info = info
      known.up = true
      this.reindex(known)
      if (changed || wasUsable !== known.isUsable) this.#updateTotals()
      return known
    }
    if (known) this.#detach(known)
    const worker = new Worker(info, this.#rackOf(info.rack))
    worker.drained = this.#drains.has(info.id)
    worker.rack.workers.add(worker)
    this.#workers.set(info.id, worker)
    this.reindex(worker)
    this.#updateTotals()
    return worker
  }

  setDown (id: EndpointId): void {
    const worker = this.#workers.get(id)
    if (!worker) return
    worker.up = false
    this.reindex(worker)
    if (worker.jobs.size === 0) this.#detach(worker)
    this.#updateTotals()
  }

  setQuarantined (id: EndpointId, quarantined: boolean): void {
    const worker = this.#workers.get(id)
    if (!worker || worker.quarantined === quarantined) return
    worker.quarantined = quarantined
    this.reindex(worker)
    this.#updateTotals()
  }

  /** Excludes the worker from placement for a short time; guarantees assigned to it stay there. */
  setRefusing (worker: Worker, refusing: boolean): void {
    worker.isRefusingStarts = refusing
    this.reindex(worker)
    if (!refusing) this.epoch += 1
  }

  allocate (job: Job, allocations: readonly Allocation[]): void {
    for (const { worker, tasks } of allocations) {
      worker.freeAccelerators -= tasks * job.shape.acceleratorsPerTask
      worker.freeSlots -= tasks * job.shape.slotsPerTask
      worker.jobs.add(job)
      invariant(worker.freeAccelerators >= 0 && worker.freeSlots >= 0, `worker ${worker.id} is over-committed by job ${job.id}`)
      this.reindex(worker)
    }
    job.allocations = allocations
  }

  release (job: Job): void {
    for (const { worker, tasks } of job.allocations) {
      worker.freeAccelerators += tasks * job.shape.acceleratorsPerTask
      worker.freeSlots += tasks * job.shape.slotsPerTask
      worker.jobs.delete(job)
      this.reindex(worker)
      if (!worker.up && worker.jobs.size === 0 && this.#workers.get(worker.id) === worker) this.#detach(worker)
    }
    job.allocations = []
    this.epoch += 1
  }

  /** Nominates capacity of victims for a waiting job (`sign` 1) or withdraws the nomination (-1). */
  addNominated (job: Job, allocations: readonly Allocation[], sign: 1 | -1): void {
    for (const { worker, tasks } of allocations) {
      worker.nominatedAccelerators += sign * tasks * job.shape.acceleratorsPerTask
      worker.nominatedSlots += sign * tasks * job.shape.slotsPerTask
      this.reindex(worker)
    }
    if (sign === -1) this.epoch += 1
  }

  /** Sets capacity aside for a planned start (`sign` 1) or gives it back (-1). */
  addPlanned (job: Job, allocations: readonly Allocation[], sign: 1 | -1): void {
    for (const { worker, tasks } of allocations) {
      worker.plannedAccelerators += sign * tasks * job.shape.acceleratorsPerTask
      worker.plannedSlots += sign * tasks * job.shape.slotsPerTask
      this.reindex(worker)
    }
    if (sign === -1) this.epoch += 1
  }

  /** Brings the index and the sums up to date after a change of one worker. */
  reindex (worker: Worker): void {
    const usable = worker.isUsable && this.#workers.get(worker.id) === worker
    const accelerators = usable ? worker.availableAccelerators : 0
    const whole = usable && accelerators === worker.info.accelerators ? 1 : 0
    const { rack } = worker
    rack.availableAccelerators += accelerators - worker.indexedAccelerators
    rack.wholeWorkers += whole - worker.indexedWholeWorkers
    this.availableAccelerators += accelerators - worker.indexedAccelerators
    worker.indexedAccelerators = accelerators
    worker.indexedWholeWorkers = whole
    this.#moveToBucket(worker, usable ? Math.min(accelerators, LAST_BUCKET) : undefined)
  }

  #moveToBucket (worker: Worker, bucket: number | undefined): void {
    if (worker.bucket === bucket) return
    if (worker.bucket !== undefined) {
      const members = this.#buckets[worker.bucket]!
      const last = members.pop()!
      if (last !== worker) {
        members[worker.bucketPosition] = last
        last.bucketPosition = worker.bucketPosition
      }
    }
    worker.bucket = bucket
    if (bucket === undefined) return
    worker.bucketPosition = this.#buckets[bucket]!.push(worker) - 1
  }

  #rackOf (id: RackId): Rack {
    const known = this.#racks.get(id)
    if (known) return known
    const rack = new Rack(id)
    this.#racks.set(id, rack)
    return rack
  }

  #detach (worker: Worker): void {
    worker.up = false
    if (this.#workers.get(worker.id) === worker) this.#workers.delete(worker.id)
    this.reindex(worker)
    worker.rack.workers.delete(worker)
    if (worker.rack.workers.size === 0) this.#racks.delete(worker.rack.id)
  }

  #updateTotals (): void {
    this.epoch += 1
    this.layoutVersion += 1
    this.totalAccelerators = 0
    this.totalSlots = 0
    for (const worker of this.#workers.values()) {
      if (!worker.isUsable) continue
      this.totalAccelerators += worker.info.accelerators
      this.totalSlots += worker.info.slots
    }
  }
}
