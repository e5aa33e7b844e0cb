import { type DomainId, invariant, type RackId } from '@ibisstair/common'
import { compareText } from './order.ts'
import { countFittingTasks } from './shape.ts'
import type { DomainConfig, RackConfig, Shape } from './types.ts'

interface FreeWorker {
  readonly rack: RackId
  readonly worker: number
  accelerators: number
  slots: number
}

interface WorkerTasks {
  readonly rack: RackId
  readonly worker: number
  readonly tasks: number
}

/**
 * The first rack and worker that may still have room for a shape. Free capacity only shrinks, so
 * earlier ones never have room again; this holds for one shape only. For adjacency `any`, `worker`
 * is an index over the workers of all racks.
 */
export interface PoolCursor {
  rack: number
  worker: number
}

/** Orders racks with small workers first, so that large workers stay free for large shapes. */
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

  createCursor (): PoolCursor {
    return { rack: 0, worker: 0 }
  }

  /**
   * Reserves capacity for one gang; returns `undefined` and reserves nothing when the whole gang
   * does not fit.
   */
  place (shape: Shape, cursor: PoolCursor): WorkerTasks[] | undefined {
    if (shape.adjacency === 'worker') return this.#placeOnWorker(shape, cursor)
    if (shape.adjacency === 'rack') return this.#placeInRack(shape, cursor)
    return this.#placeAnywhere(shape, cursor)
  }

  #placeOnWorker (shape: Shape, cursor: PoolCursor): WorkerTasks[] | undefined {
    for (; cursor.rack < this.#racks.length; cursor.rack += 1, cursor.worker = 0) {
      const workers = this.#racks[cursor.rack]!
      for (; cursor.worker < workers.length; cursor.worker += 1) {
        const worker = workers[cursor.worker]!
        if (countFittingTasks(shape, worker.accelerators, worker.slots) >= shape.tasks) return this.#placeTasks([worker], shape)
      }
    }
    return undefined
  }

  #placeInRack (shape: Shape, cursor: PoolCursor): WorkerTasks[] | undefined {
    for (; cursor.rack < this.#racks.length; cursor.rack += 1) {
      const parts = this.#placeTasks(this.#racks[cursor.rack]!, shape)
      if (parts) return parts
    }
    return undefined
  }

  #placeAnywhere (shape: Shape, cursor: PoolCursor): WorkerTasks[] | undefined {
    for (; cursor.worker < this.#workers.length; cursor.worker += 1) {
      const worker = this.#workers[cursor.worker]!
      if (countFittingTasks(shape, worker.accelerators, worker.slots) > 0) break
    }
    return this.#placeTasks(this.#workers, shape, cursor.worker)
  }

  #placeTasks (workers: readonly FreeWorker[], shape: Shape, startIndex = 0): WorkerTasks[] | undefined {
    const parts: Array<{ worker: FreeWorker, tasks: number }> = []
    let missing = shape.tasks
    for (let i = startIndex; i < workers.length; i++) {
      const worker = workers[i]!
      const tasks = Math.min(missing, countFittingTasks(shape, worker.accelerators, worker.slots))
      if (tasks === 0) continue
      parts.push({ worker, tasks })
      missing -= tasks
      if (missing === 0) break
    }
    if (missing > 0) return undefined
    for (const { worker, tasks } of parts) this.#reserve(worker, shape, tasks)
    return parts.map(({ worker, tasks }) => ({ rack: worker.rack, worker: worker.worker, tasks }))
  }

  #reserve (worker: FreeWorker, shape: Shape, tasks: number): void {
    worker.accelerators -= tasks * shape.acceleratorsPerTask
    worker.slots -= tasks * shape.slotsPerTask
    this.#freeAccelerators -= tasks * shape.acceleratorsPerTask
    invariant(worker.accelerators >= 0 && worker.slots >= 0, 'planned guarantees stay within the capacity of a worker', { worker, shape })
  }
}
