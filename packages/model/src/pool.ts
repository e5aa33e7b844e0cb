import { type DomainId, invariant, type RackId } from '@ibisstair/common'
import { compareText } from './order.ts'
import { tasksInRoom } from './shape.ts'
import type { DomainConfig, RackConfig, Shape } from './types.ts'

interface FreeWorker {
  readonly rack: RackId
  readonly worker: number
  accelerators: number
  slots: number
}

interface Part {
  readonly rack: RackId
  readonly worker: number
  readonly tasks: number
}

/**
 * First rack and worker that may still hold the shape; valid for one shape only, as room only
 * shrinks. For adjacency `any` the worker counts over all racks.
 */
export interface PoolCursor {
  rack: number
  worker: number
}

/** Small workers are filled first, so that the large ones stay free for large shapes. */
const compareRacks = (a: RackConfig, b: RackConfig): number =>
  a.acceleratorsPerWorker - b.acceleratorsPerWorker ||
  a.slotsPerWorker - b.slotsPerWorker ||
  a.workers - b.workers ||
  compareText(a.id, b.id)

/** Free capacity of one failure domain while guarantees are planned. */
export class DomainPool {
  readonly id: DomainId
  readonly #racks: readonly (readonly FreeWorker[])[]
  readonly #workers: readonly FreeWorker[]
  #freeAccelerators: number

  constructor (readonly config: DomainConfig) {
    this.id = config.id
    this.#racks = [...config.racks].sort(compareRacks).map((rack) => Array.from({ length: rack.workers }, (_, worker) => ({
      rack: rack.id,
      worker,
      accelerators: rack.acceleratorsPerWorker,
      slots: rack.slotsPerWorker
    })))
    this.#workers = this.#racks.flat()
    this.#freeAccelerators = config.racks.reduce((sum, rack) => sum + rack.workers * rack.acceleratorsPerWorker, 0)
  }

  get freeAccelerators (): number {
    return this.#freeAccelerators
  }

  startCursor (): PoolCursor {
    return { rack: 0, worker: 0 }
  }

  /** Takes the room of one gang, or nothing when the gang does not fit whole. */
  place (shape: Shape, cursor: PoolCursor): Part[] | undefined {
    if (shape.adjacency === 'worker') return this.#placeOnWorker(shape, cursor)
    if (shape.adjacency === 'rack') return this.#placeInRack(shape, cursor)
    return this.#placeAnywhere(shape, cursor)
  }

  #placeOnWorker (shape: Shape, cursor: PoolCursor): Part[] | undefined {
    for (; cursor.rack < this.#racks.length; cursor.rack += 1, cursor.worker = 0) {
      const workers = this.#racks[cursor.rack]!
      for (; cursor.worker < workers.length; cursor.worker += 1) {
        const worker = workers[cursor.worker]!
        if (tasksInRoom(shape, worker.accelerators, worker.slots) >= shape.tasks) return this.#fill([worker], shape)
      }
    }
    return undefined
  }

  #placeInRack (shape: Shape, cursor: PoolCursor): Part[] | undefined {
    for (; cursor.rack < this.#racks.length; cursor.rack += 1) {
      const parts = this.#fill(this.#racks[cursor.rack]!, shape)
      if (parts) return parts
    }
    return undefined
  }

  #placeAnywhere (shape: Shape, cursor: PoolCursor): Part[] | undefined {
    for (; cursor.worker < this.#workers.length; cursor.worker += 1) {
      const worker = this.#workers[cursor.worker]!
      if (tasksInRoom(shape, worker.accelerators, worker.slots) > 0) break
    }
    return this.#fill(this.#workers, shape, cursor.worker)
  }

  #fill (workers: readonly FreeWorker[], shape: Shape, from = 0): Part[] | undefined {
    const parts: Array<{ worker: FreeWorker, tasks: number }> = []
    let missing = shape.tasks
    for (let i = from; i < workers.length; i++) {
      const worker = workers[i]!
      const tasks = Math.min(missing, tasksInRoom(shape, worker.accelerators, worker.slots))
      if (tasks === 0) continue
      parts.push({ worker, tasks })
      missing -= tasks
      if (missing === 0) break
    }
    if (missing > 0) return undefined
    for (const { worker, tasks } of parts) this.#take(worker, shape, tasks)
    return parts.map(({ worker, tasks }) => ({ rack: worker.rack, worker: worker.worker, tasks }))
  }

  #take (worker: FreeWorker, shape: Shape, tasks: number): void {
    worker.accelerators -= tasks * shape.acceleratorsPerTask
    worker.slots -= tasks * shape.slotsPerTask
    this.#freeAccelerators -= tasks * shape.acceleratorsPerTask
    invariant(worker.accelerators >= 0 && worker.slots >= 0, 'planned guarantees stay inside a worker', { worker, shape })
  }
}
