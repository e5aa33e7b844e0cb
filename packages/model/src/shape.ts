import type { DomainConfig, RackConfig, Shape } from './types.ts'

/** How many tasks of a shape fit beside each other into the given free capacity. */
export const tasksInRoom = (shape: Shape, accelerators: number, slots: number): number => {
  const bySlots = Math.floor(slots / shape.slotsPerTask)
  if (shape.acceleratorsPerTask === 0) return bySlots
  return Math.min(bySlots, Math.floor(accelerators / shape.acceleratorsPerTask))
}

const countInRack = (rack: RackConfig, shape: Shape): number => {
  const perWorker = tasksInRoom(shape, rack.acceleratorsPerWorker, rack.slotsPerWorker)
  if (shape.adjacency === 'worker') return Math.floor(perWorker / shape.tasks) * rack.workers
  return Math.floor(perWorker * rack.workers / shape.tasks)
}

/** How many gangs of a shape an otherwise empty failure domain can hold at once. */
export const countFitting = (domain: DomainConfig, shape: Shape): number => {
  if (shape.adjacency !== 'any') return domain.racks.reduce((sum, rack) => sum + countInRack(rack, shape), 0)
  const tasks = domain.racks.reduce(
    (sum, rack) => sum + tasksInRoom(shape, rack.acceleratorsPerWorker, rack.slotsPerWorker) * rack.workers,
    0
  )
  return Math.floor(tasks / shape.tasks)
}

/** The most tasks of a shape that one worker, rack or domain (by adjacency) could ever run together. */
export const largestGang = (domains: readonly DomainConfig[], shape: Shape): number => {
  const perDomain = domains.map((domain) => {
    const perRack = domain.racks.map((rack) => {
      const perWorker = tasksInRoom(shape, rack.acceleratorsPerWorker, rack.slotsPerWorker)
      return shape.adjacency === 'worker' ? perWorker : perWorker * rack.workers
    })
    return shape.adjacency === 'any'
      ? perRack.reduce((sum, tasks) => sum + tasks, 0)
      : Math.max(0, ...perRack)
  })
  return Math.max(0, ...perDomain)
}

export const describeShape = (shape: Shape): string =>
  `${shape.tasks} tasks with ${shape.acceleratorsPerTask} accelerators and ${shape.slotsPerTask} slots each, adjacency ${shape.adjacency}`
