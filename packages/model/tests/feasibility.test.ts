import { asId, type IbisError } from '@ibisstair/common'
import fc from 'fast-check'
import t from 'tap'
import {
  checkFeasible, type Config, countFittingGangs, EMPTY_CONFIG, getDomainShare, type GuaranteedShape, type GuaranteePlan,
  maxGangTasks, planGuarantees, type RackConfig, splitGuarantees, countFittingTasks
} from '../src/index.ts'
import { configs, shapes } from './arbitraries.ts'

const RUNS = { seed: 4202, numRuns: 400 }
t.before(() => { t.comment(`seed ${RUNS.seed}, ${RUNS.numRuns} runs`) })

const isAccepted = (config: Config): boolean => {
  try {
    checkFeasible(config)
    return true
  } catch (err) {
    if ((err as IbisError).kind !== 'config-infeasible') throw err
    return false
  }
}

/** Checks a plan independently: recomputes the usage of every worker from its gangs. */
const findPlanFault = (config: Config, plan: GuaranteePlan): string | undefined => {
  const used = new Map<string, { accelerators: number, slots: number, rack: RackConfig }>()
  for (const gang of plan.gangs) {
    const customer = config.customers.find(({ id }) => id === gang.customer)
    const guarantee = customer?.guarantees[gang.guarantee]
    const domain = config.fleet.domains.find(({ id }) => id === gang.domain)
    if (!guarantee || !domain) return 'a gang without guarantee or domain'
    const { shape } = guarantee
    if (guarantee.domain !== undefined && guarantee.domain !== gang.domain) return 'a pinned gang in another domain'
    if (gang.parts.reduce((sum, part) => sum + part.tasks, 0) !== shape.tasks) return 'a partial gang'
    const racks = new Set(gang.parts.map((part) => part.rack))
    const workers = new Set(gang.parts.map((part) => `${part.rack}/${part.worker}`))
    if (shape.adjacency === 'rack' && racks.size !== 1) return 'a rack gang in several racks'
    if (shape.adjacency === 'worker' && workers.size !== 1) return 'a worker gang on several workers'
    for (const part of gang.parts) {
      const rack = domain.racks.find(({ id }) => id === part.rack)
      if (!rack || part.worker < 0 || part.worker >= rack.workers) return 'a task on a worker that does not exist'
      const id = `${domain.id}/${part.rack}/${part.worker}`
      const use = used.get(id) ?? { accelerators: 0, slots: 0, rack }
      use.accelerators += part.tasks * shape.acceleratorsPerTask
      use.slots += part.tasks * shape.slotsPerTask
      used.set(id, use)
    }
  }
  for (const { accelerators, slots, rack } of used.values()) {
    if (accelerators > rack.acceleratorsPerWorker || slots > rack.slotsPerWorker) return 'an overfull worker'
  }
  return undefined
}

const isFullyPlanned = (plan: GuaranteePlan, config: Config): boolean =>
  config.customers.every((customer) => customer.guarantees.every(({ count }, i) =>
    plan.gangs.filter((gang) => gang.customer === customer.id && gang.guarantee === i).length === count))

t.test('an accepted configuration has a placement that respects worker capacity, adjacency and pinned domains', async (t) => {
  let accepted = 0
  fc.assert(fc.property(configs, (config) => {
    const plan = planGuarantees(config)
    t.equal(findPlanFault(config, plan), undefined)
    if (!isAccepted(config)) return
    accepted += 1
    t.ok(isFullyPlanned(plan, config), 'every guaranteed gang is planned')
  }), RUNS)
  t.ok(accepted > RUNS.numRuns / 10, `${accepted} accepted configurations were seen`)
})

interface FreeWorker { domain: string, rack: string, accelerators: number, slots: number }

/** Tries every placement, which is feasible only for fleets of a few workers. */
const fitsByExhaustion = (config: Config): boolean => {
  const workers: FreeWorker[] = config.fleet.domains.flatMap((domain) => domain.racks.flatMap((rack) =>
    Array.from({ length: rack.workers }, () => ({
      domain: domain.id, rack: `${domain.id}/${rack.id}`, accelerators: rack.acceleratorsPerWorker, slots: rack.slotsPerWorker
    }))))
  const gangs: GuaranteedShape[] = config.customers.flatMap((customer) =>
    customer.guarantees.flatMap((guarantee) => Array.from({ length: guarantee.count }, () => guarantee)))

  const placeGang = (g: number): boolean => {
    const gang = gangs[g]
    if (!gang) return true
    const groups = new Map<string, FreeWorker[]>()
    workers.forEach((worker, i) => {
      if (gang.domain !== undefined && worker.domain !== gang.domain) return
      const group = { worker: String(i), rack: worker.rack, any: worker.domain }[gang.shape.adjacency]
      groups.set(group, [...groups.get(group) ?? [], worker])
    })
    return [...groups.values()].some((group) => placeTasks(g, group, 0, gang.shape.tasks))
  }

  const placeTasks = (g: number, group: readonly FreeWorker[], i: number, missing: number): boolean => {
    if (missing === 0) return placeGang(g + 1)
    const worker = group[i]
    if (!worker) return false
    const { shape } = gangs[g]!
    const maxTasks = Math.min(missing, countFittingTasks(shape, worker.accelerators, worker.slots))
    for (let tasks = maxTasks; tasks >= 0; tasks--) {
      worker.accelerators -= tasks * shape.acceleratorsPerTask
      worker.slots -= tasks * shape.slotsPerTask
      const fits = placeTasks(g, group, i + 1, missing - tasks)
      worker.accelerators += tasks * shape.acceleratorsPerTask
      worker.slots += tasks * shape.slotsPerTask
      if (fits) return true
    }
    return false
  }
  return placeGang(0)
}

const tinyConfigs: fc.Arbitrary<Config> = fc.record({
  racks: fc.array(fc.record({
    domain: fc.constantFrom('d0', 'd1'),
    workers: fc.integer({ min: 1, max: 2 }),
    acceleratorsPerWorker: fc.integer({ min: 1, max: 4 }),
    slotsPerWorker: fc.integer({ min: 1, max: 4 })
  }), { minLength: 1, maxLength: 3 }),
  guarantees: fc.array(fc.record({
    shape: fc.record({
      tasks: fc.integer({ min: 1, max: 3 }),
      acceleratorsPerTask: fc.integer({ min: 0, max: 3 }),
      slotsPerTask: fc.integer({ min: 1, max: 2 }),
      adjacency: fc.constantFrom('worker' as const, 'rack' as const, 'any' as const)
    }),
    count: fc.integer({ min: 1, max: 2 })
  }), { minLength: 1, maxLength: 3 })
}).map(({ racks, guarantees }) => ({
  ...EMPTY_CONFIG,
  customers: [{ id: asId('c'), priority: 1, maxQueued: 1, guarantees }],
  fleet: {
    domains: ['d0', 'd1'].map((id) => ({
      id: asId(id),
      region: 'r',
      racks: racks.flatMap(({ domain, ...rack }, i) => domain === id ? [{ id: asId(`r${i}`), ...rack }] : [])
    }))
  }
}))

t.test('compared with exhaustive search, no infeasible configuration is accepted and few feasible ones are refused', async (t) => {
  const runs = { seed: 4303, numRuns: 3000 }
  let [feasible, refused] = [0, 0]
  fc.assert(fc.property(tinyConfigs, (config) => {
    const fits = fitsByExhaustion(config)
    const accepted = isAccepted(config)
    if (accepted) t.ok(fits, 'an accepted configuration has a placement')
    if (fits) feasible += 1
    if (fits && !accepted) refused += 1
  }), runs)
  t.comment(`seed ${runs.seed}: ${refused} of ${feasible} feasible configurations refused`)
  t.ok(feasible > 300, 'enough feasible configurations were seen')
  t.ok(refused <= feasible * 0.02, 'at most 2 % of the feasible configurations are refused')
})

t.test('domain shares add up to the guarantees and do not depend on the order of the configured lists', async (t) => {
  fc.assert(fc.property(configs, (config) => {
    const reversed: Config = {
      ...config,
      customers: [...config.customers].reverse(),
      fleet: { domains: [...config.fleet.domains].reverse() }
    }
    const shares = splitGuarantees(config)
    const reversedShares = splitGuarantees(reversed)
    for (const { id } of config.fleet.domains) t.same(reversedShares.get(id), shares.get(id))
    if (!isAccepted(config)) return
    for (const customer of config.customers) {
      const total = customer.guarantees.reduce((sum, { count }) => sum + count, 0)
      const split = config.fleet.domains
        .map(({ id }) => getDomainShare(config, id).customers.find((share) => share.id === customer.id)!)
        .flatMap((share) => share.guarantees)
        .reduce((sum, { count }) => sum + count, 0)
      t.equal(split, total)
    }
  }), RUNS)
})

t.test('some empty domain holds a gang exactly when the largest gang that fits has at least as many tasks', async (t) => {
  fc.assert(fc.property(configs, shapes, (config, shape) => {
    const fits = config.fleet.domains.some((domain) => countFittingGangs(domain, shape) > 0)
    t.equal(fits, maxGangTasks(config.fleet.domains, shape) >= shape.tasks)
  }), RUNS)
})

const fleetOf = (domains: readonly string[]): Config['fleet'] => ({
  domains: domains.map((id) => ({
    id: asId(id),
    region: 'r',
    racks: ['a', 'b'].map((rack) => ({ id: asId(rack), workers: 6, acceleratorsPerWorker: 8, slotsPerWorker: 8 }))
  }))
})

const withGuarantees = (guarantees: readonly GuaranteedShape[]): Config => ({
  ...EMPTY_CONFIG,
  fleet: fleetOf(['x', 'y']),
  customers: [{ id: asId('big'), priority: 1, maxQueued: 10, guarantees }]
})

const wholeRack = { tasks: 48, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'rack' } as const

t.test('a refusal names the customer, the shape and how many of its gangs fit', async (t) => {
  const err = t.throws(() => checkFeasible(withGuarantees([{ shape: wholeRack, count: 5 }]))) as unknown as IbisError
  t.equal(err.kind, 'config-infeasible')
  t.match(err.message, /customer big: 5 x 48 tasks .* adjacency rack guaranteed, the fleet has room for 4/)
  t.match(err.details, { customer: 'big', shape: wholeRack, count: 5, placed: 4 })
})

t.test('free accelerators in two racks do not satisfy a gang that needs one rack', async (t) => {
  t.ok(isAccepted(withGuarantees([{ shape: { ...wholeRack, tasks: 36 }, count: 4 }])))
  t.notOk(isAccepted(withGuarantees([{ shape: { ...wholeRack, tasks: 24 }, count: 7 }, { shape: { ...wholeRack, tasks: 25 }, count: 1 }])))
})

t.test('a guarantee pinned to one domain uses no capacity of another', async (t) => {
  t.ok(isAccepted(withGuarantees([{ shape: wholeRack, count: 2, domain: asId('x') }])))
  t.notOk(isAccepted(withGuarantees([{ shape: wholeRack, count: 3, domain: asId('x') }])))
})

t.test('unpinned guarantees are spread evenly over equal domains', async (t) => {
  const singleTask = { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' } as const
  const shares = splitGuarantees(withGuarantees([{ shape: singleTask, count: 10 }]))
  t.same([...shares.values()].map((list) => list.map(({ count }) => count)), [[5], [5]])
})

t.test('a very large count is refused before any placement is tried', async (t) => {
  const err = t.throws(() => checkFeasible(withGuarantees([{ shape: wholeRack, count: 100_000 }]))) as unknown as IbisError
  t.equal(err.kind, 'config-infeasible')
  t.match(err.message, /customer big/)
})
