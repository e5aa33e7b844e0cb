import type { EndpointId, RackId } from '@ibisstair/common'
import type { EndpointInfo, Shape } from '@ibisstair/model'
import { countTasks, shapeKeyOf } from './entities.ts'

const MAX_ENDPOINTS = 10_000
const MAX_SHAPES = 1000

interface EndpointCapacity {
  readonly incarnation: number
  readonly rack: RackId
  readonly accelerators: number
  readonly slots: number
}

/** Capacity of all known workers, also those that are down: a shape is refused only if no empty worker or rack could hold it. */
export class CapacityHistory {
  readonly #capacities = new Map<EndpointId, EndpointCapacity>()
  readonly #results = new Map<string, boolean>()

  /** Returns false for an announcement of an incarnation that a newer one has replaced, also after the newer one went down. */
  record (info: EndpointInfo): boolean {
    const known = this.#capacities.get(info.id)
    if (known && info.incarnation < known.incarnation) return false
    if (known && known.incarnation === info.incarnation && known.rack === info.rack && known.accelerators === info.accelerators && known.slots === info.slots) return true
    if (!known && this.#capacities.size >= MAX_ENDPOINTS) this.#capacities.delete(this.#capacities.keys().next().value!)
    this.#capacities.set(info.id, { incarnation: info.incarnation, rack: info.rack, accelerators: info.accelerators, slots: info.slots })
    this.#results.clear()
    return true
  }

  canEverFit (shape: Shape): boolean {
    const key = shapeKeyOf(shape)
    const known = this.#results.get(key)
    if (known !== undefined) return known
    const answer = this.#computeCanEverFit(shape)
    if (this.#results.size >= MAX_SHAPES) this.#results.clear()
    this.#results.set(key, answer)
    return answer
  }

  #computeCanEverFit (shape: Shape): boolean {
    if (this.#capacities.size === 0) return true
    const groups = new Map<string, number>()
    for (const [id, { rack, accelerators, slots }] of this.#capacities) {
      const group = shape.adjacency === 'worker' ? id : shape.adjacency === 'rack' ? rack : 'domain'
      groups.set(group, (groups.get(group) ?? 0) + countTasks(accelerators, slots, shape))
    }
    return [...groups.values()].some((tasks) => tasks >= shape.tasks)
  }
}
