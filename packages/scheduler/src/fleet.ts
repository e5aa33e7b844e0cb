import type { EndpointId, RackId } from '@ibisstair/common'
import { invariant } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'
import type { Allocation, Job } from './entities.ts'
import { Rack, Worker } from './entities.ts'

/** The workers of one failure domain and what is free on them. */
export class Fleet {
  readonly #workers = new Map<EndpointId, Worker>()
  readonly #racks = new Map<RackId, Rack>()
  #drains: ReadonlySet<EndpointId> = new Set()
  /** Changes whenever capacity may have become available, so that a failed search is not repeated before. */
  epoch = 0

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

  setDrains (drains: readonly EndpointId[]): void {
    this.#drains = new Set(drains)
    for (const worker of this.#workers.values()) worker.drained = this.#drains.has(worker.id)
    this.epoch += 1
  }

  /** Adds or updates a worker. A new incarnation starts empty; the old one's jobs keep their old object. */
  put (info: EndpointInfo): Worker {
    const known = this.#workers.get(info.id)
    this.epoch += 1
    if (known && known.info.incarnation === info.incarnation && known.rack.id === info.rack) {
      known.freeAccelerators += info.accelerators - known.info.accelerators
      known.freeSlots += info.slots - known.info.slots
      known.info = info
      known.up = true
      return known
    }
    if (known) this.#detach(known)
    const worker = new Worker(info, this.#rackOf(info.rack))
    worker.drained = this.#drains.has(info.id)
    worker.rack.workers.add(worker)
    this.#workers.set(info.id, worker)
    return worker
  }

  setDown (id: EndpointId): void {
    const worker = this.#workers.get(id)
    if (!worker) return
    worker.up = false
    if (worker.jobs.size === 0) this.#detach(worker)
  }

  allocate (job: Job, allocations: readonly Allocation[]): void {
    for (const { worker, tasks } of allocations) {
      worker.freeAccelerators -= tasks * job.shape.acceleratorsPerTask
      worker.freeSlots -= tasks * job.shape.slotsPerTask
      worker.jobs.add(job)
      invariant(worker.freeAccelerators >= 0 && worker.freeSlots >= 0, `worker ${worker.id} is over-committed by job ${job.id}`)
    }
    job.allocations = allocations
  }

  release (job: Job): void {
    for (const { worker, tasks } of job.allocations) {
      worker.freeAccelerators += tasks * job.shape.acceleratorsPerTask
      worker.freeSlots += tasks * job.shape.slotsPerTask
      worker.jobs.delete(job)
      if (!worker.up && worker.jobs.size === 0 && this.#workers.get(worker.id) === worker) this.#detach(worker)
    }
    job.allocations = []
    this.epoch += 1
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
    worker.rack.workers.delete(worker)
    if (worker.rack.workers.size === 0) this.#racks.delete(worker.rack.id)
    if (this.#workers.get(worker.id) === worker) this.#workers.delete(worker.id)
  }
}
