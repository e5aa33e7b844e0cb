import type { DomainConfig, RackConfig, Shape } from './types.ts'

/** Returns how many tasks of a shape fit into the given free capacity at the same time. */
export const countFittingTasks = (shape: Shape, accelerators: number, slots: number): number => {
  const bySlots = Math.floor(slots / shape.slotsPerTask)
  if (shape.acceleratorsPerTask === 0) return bySlots
  return Math.min(bySlots, Math.floor(accelerators / shape.acceleratorsPerTask))
}

const countGangsInRack = (rack: RackConfig, shape: Shape): number => {
  const perWorker = countFittingTasks(shape, rack.acceleratorsPerWorker, rack.slotsPerWorker)
  if (shape.adjacency === 'worker') return Math.floor(perWorker / shape.tasks) * rack.workers
  return Math.floor(perWorker * rack.workers / shape.tasks)
}

/** Returns how many gangs of a shape an empty failure domain can hold at the same time. */
export const countFittingGangs = (domain: DomainConfig, shape: Shape): number => {
  if (shape.adjacency !== 'any') return domain.racks.reduce((sum, rack) => sum + countGangsInRack(rack, shape), 0)
  const tasks = domain.racks.reduce(
    (sum, rack) => sum + countFittingTasks(shape, rack.acceleratorsPerWorker, rack.slotsPerWorker) * rack.workers,
    0
  )
  return Math.floor(tasks / shape.tasks)
}

/**
 * Returns the most tasks of a shape that one empty worker, rack or domain (by adjacency) can run at
 * the same time.
 */
export const maxGangTasks = (domains: readonly DomainConfig[], shape: Shape): number => {
  const perDomain = domains.map((domain) => {
    const perRack = domain.racks.map((rack) => {
      const perWorker = countFittingTasks(shape, rack.acceleratorsPerWorker, rack.slotsPerWorker)
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
