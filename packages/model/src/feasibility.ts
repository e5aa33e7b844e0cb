import { type CustomerId, type DomainId, IbisError, invariant, type RackId } from '@ibisstair/common'
import { MAX_GUARANTEED_TASKS } from './constants.ts'
import { compareText } from './order.ts'
import { DomainPool, type PoolCursor } from './pool.ts'
import { countFittingGangs, describeShape } from './shape.ts'
import type { Config, CustomerConfig, DomainShare, GuaranteedShape, Shape } from './types.ts'

/** Tasks of one guaranteed gang on one worker; `worker` is its index in the rack, from 0. */
export interface PlannedTasks {
  readonly rack: RackId
  readonly worker: number
  readonly tasks: number
}

export interface PlannedGang {
  readonly customer: CustomerId
  /** Index in the customer's list of guarantees. */
  readonly guarantee: number
  readonly domain: DomainId
  readonly parts: readonly PlannedTasks[]
}

/** A guarantee of which not all gangs could be placed. */
export interface UnplacedGuarantee {
  readonly customer: CustomerId
  readonly guarantee: number
  readonly shape: Shape
  readonly count: number
  /** How many of the `count` gangs were placed. */
  readonly placed: number
  readonly domain?: DomainId
}

/** A placement of all guaranteed gangs on the configured racks at the same time. */
export interface GuaranteePlan {
  readonly gangs: readonly PlannedGang[]
  readonly unplaced: readonly UnplacedGuarantee[]
}

/** The gangs of one guarantee that are to be placed. */
interface Demand {
  readonly customer: CustomerId
  /** Index in the customer's list of guarantees. */
  readonly guarantee: number
  readonly guaranteed: GuaranteedShape
}

interface Strategy {
  readonly adjacencyRank: Readonly<Record<Shape['adjacency'], number>>
  /**
   * Spreads gangs evenly over the domains, which is preferred; filling one domain after the other
   * leaves larger blocks of free capacity.
   */
  readonly spread: boolean
}

const RACK_FIRST = { rack: 0, worker: 1, any: 2 }
const WORKER_FIRST = { worker: 0, rack: 1, any: 2 }

/**
 * Tried in order until one places all gangs; the list is fixed, so that every process computes the
 * same plan.
 */
const STRATEGIES: readonly Strategy[] = [
  { adjacencyRank: RACK_FIRST, spread: true },
  { adjacencyRank: WORKER_FIRST, spread: true },
  { adjacencyRank: RACK_FIRST, spread: false },
  { adjacencyRank: WORKER_FIRST, spread: false }
]

/** A few rounds suffice, because each one places the demands first that failed in the round before. */
const MAX_ROUNDS_PER_STRATEGY = 6

/**
 * Ends the search on very large configurations, because a longer search would delay the leader's
 * heartbeats.
 */
const MAX_PLANNED_GANGS = 100_000

const listDemands = (customers: readonly CustomerConfig[]): Demand[] =>
  customers.flatMap((customer) =>
    customer.guarantees.map((guaranteed, guarantee) => ({ customer: customer.id, guarantee, guaranteed })))

/**
 * Orders by the rank of the adjacency, then pinned before unpinned, because pinned ones have no
 * other domain, then largest first.
 */
const compareDemands = (rank: Strategy['adjacencyRank']) => (a: Demand, b: Demand): number => {
  const [x, y] = [a.guaranteed.shape, b.guaranteed.shape]
  return rank[x.adjacency] - rank[y.adjacency] ||
    Number(b.guaranteed.domain !== undefined) - Number(a.guaranteed.domain !== undefined) ||
    y.tasks * y.acceleratorsPerTask - x.tasks * x.acceleratorsPerTask ||
    y.acceleratorsPerTask - x.acceleratorsPerTask ||
    y.tasks * y.slotsPerTask - x.tasks * x.slotsPerTask ||
    compareText(a.customer, b.customer) ||
    a.guarantee - b.guarantee
}

interface Candidate {
  readonly pool: DomainPool
  readonly cursor: PoolCursor
  /** How many gangs of the shape the domain holds when empty. */
  readonly capacity: number
  placed: number
}

/** Orders by the fraction of the capacity that the demand uses after one more gang, lowest first. */
const compareBySpread = (a: Candidate, b: Candidate): number =>
  (a.placed + 1) * b.capacity - (b.placed + 1) * a.capacity ||
  b.pool.freeAccelerators - a.pool.freeAccelerators ||
  compareText(a.pool.id, b.pool.id)

/** Orders small domains first, so that the free capacity of large ones is not fragmented. */
const compareBySize = (a: Candidate, b: Candidate): number =>
  a.capacity - b.capacity || compareText(a.pool.id, b.pool.id)

/**
 * Places one demand gang by gang. A domain without room for one gang has none for later gangs of
 * the same shape.
 */
const placeDemand = (demand: Demand, pools: readonly DomainPool[], spread: boolean): PlannedGang[] => {
  const { shape, count, domain } = demand.guaranteed
  const allowedPools = pools.filter((pool) => domain === undefined || pool.id === domain)
  const candidates: Candidate[] = allowedPools
    .map((pool) => ({ pool, cursor: pool.createCursor(), capacity: countFittingGangs(pool.config, shape), placed: 0 }))
    .filter((candidate) => candidate.capacity > 0)
    .sort(compareBySize)
  const gangs: PlannedGang[] = []
  while (gangs.length < count && candidates.length > 0) {
    if (spread) candidates.sort(compareBySpread)
    const candidate = candidates[0]!
    const parts = candidate.pool.place(shape, candidate.cursor)
    if (!parts) {
      candidates.shift()
      continue
    }
    candidate.placed += 1
    gangs.push({ customer: demand.customer, guarantee: demand.guarantee, domain: candidate.pool.id, parts })
  }
  return gangs
}

const runStrategy = (config: Config, demands: readonly Demand[], strategy: Strategy): GuaranteePlan => {
  const pools = config.fleet.domains.map((domain) => new DomainPool(domain))
  const gangs: PlannedGang[] = []
  const unplaced: UnplacedGuarantee[] = []
  for (const demand of demands) {
    const placed = placeDemand(demand, pools, strategy.spread)
    gangs.push(...placed)
    if (placed.length < demand.guaranteed.count) {
      unplaced.push({ ...demand.guaranteed, customer: demand.customer, guarantee: demand.guarantee, placed: placed.length })
    }
  }
  return { gangs, unplaced }
}

/** Moves the demands that were not fully placed to the front; all others keep their order. */
const promoteUnplaced = (demands: readonly Demand[], unplaced: readonly UnplacedGuarantee[]): Demand[] => {
  const isUnplaced = ({ customer, guarantee }: Demand): boolean =>
    unplaced.some((item) => item.customer === customer && item.guarantee === guarantee)
  return [...demands.filter(isUnplaced), ...demands.filter((demand) => !isUnplaced(demand))]
}

/** Whether the demands need more than the whole fleet has, so that no order of placement can succeed. */
const exceedsFleet = (config: Config, demands: readonly Demand[]): boolean => {
  const racks = config.fleet.domains.flatMap((domain) => domain.racks)
  const sumOf = <T>(items: readonly T[], sizeOf: (item: T) => number): number =>
    items.reduce((sum, item) => sum + sizeOf(item), 0)
  const tasksOf = ({ guaranteed: { shape, count } }: Demand): number => shape.tasks * count
  return sumOf(demands, (demand) => tasksOf(demand) * demand.guaranteed.shape.acceleratorsPerTask) >
    sumOf(racks, (rack) => rack.workers * rack.acceleratorsPerWorker) ||
    sumOf(demands, (demand) => tasksOf(demand) * demand.guaranteed.shape.slotsPerTask) >
    sumOf(racks, (rack) => rack.workers * rack.slotsPerWorker)
}

/**
 * Places the gangs of all guarantees at the same time. A plan without unplaced guarantees proves that
 * the configuration can be met. The search is greedy, so it can fail for a very tight configuration
 * although a placement exists.
 */
export const planGuarantees = (config: Config): GuaranteePlan => {
  const demands = listDemands(config.customers)
  const rounds = exceedsFleet(config, demands) ? 1 : MAX_ROUNDS_PER_STRATEGY
  let firstPlan: GuaranteePlan | undefined
  let triedGangs = 0
  for (const strategy of STRATEGIES) {
    let order = [...demands].sort(compareDemands(strategy.adjacencyRank))
    for (let round = 0; round < rounds; round++) {
      const plan = runStrategy(config, order, strategy)
      if (plan.unplaced.length === 0) return plan
      firstPlan ??= plan
      triedGangs += plan.gangs.length
      if (triedGangs > MAX_PLANNED_GANGS) return firstPlan
      order = promoteUnplaced(order, plan.unplaced)
    }
    if (rounds === 1) break
  }
  invariant(firstPlan, 'at least one placement strategy exists')
  return firstPlan
}

const checkGuaranteedTasks = (config: Config): void => {
  let tasks = 0
  for (const { customer, guaranteed: { shape, count } } of listDemands(config.customers)) {
    tasks += shape.tasks * count
    if (tasks <= MAX_GUARANTEED_TASKS) continue
    throw new IbisError(
      'config-infeasible',
      `customer ${customer}: ${count} x ${describeShape(shape)} brings the guaranteed tasks to ${tasks}, accepted is at most ${MAX_GUARANTEED_TASKS}`,
      { info: { customer, shape, count, placed: 0 } }
    )
  }
}

/**
 * Throws `config-infeasible` with the customer and the shape that do not fit. Later versions of this
 * check may accept more configurations but must not accept fewer, because accepted configurations are
 * checked again on import.
 */
export const checkFeasible = (config: Config): void => {
  checkGuaranteedTasks(config)
  const unplaced = planGuarantees(config).unplaced[0]
  if (!unplaced) return
  const scope = unplaced.domain === undefined ? 'the fleet' : `failure domain ${unplaced.domain}`
  throw new IbisError(
    'config-infeasible',
    `customer ${unplaced.customer}: ${unplaced.count} x ${describeShape(unplaced.shape)} guaranteed, ${scope} has room for ${unplaced.placed} beside the other guarantees`,
    { info: { ...unplaced } }
  )
}

/** The part of one guarantee that is planned in one failure domain. */
export interface DomainGuarantee {
  readonly customer: CustomerId
  readonly guarantee: number
  readonly shape: Shape
  readonly count: number
}

const compareShares = (a: DomainGuarantee, b: DomainGuarantee): number =>
  compareText(a.customer, b.customer) || a.guarantee - b.guarantee

/**
 * Splits the guarantees into shares by failure domain. Equal configurations give equal shares in
 * every process. For an infeasible configuration the shares contain only the gangs that were placed.
 */
export const splitGuarantees = (config: Config): ReadonlyMap<DomainId, readonly DomainGuarantee[]> => {
  const sharesByDomain = new Map<DomainId, Map<string, DomainGuarantee>>()
  for (const domain of config.fleet.domains) sharesByDomain.set(domain.id, new Map())
  const customers = new Map(config.customers.map((customer) => [customer.id, customer]))
  for (const gang of planGuarantees(config).gangs) {
    const domainShares = sharesByDomain.get(gang.domain)
    const shape = customers.get(gang.customer)?.guarantees[gang.guarantee]?.shape
    invariant(domainShares && shape, 'a planned gang belongs to a configured domain and guarantee')
    const id = `${gang.customer}/${gang.guarantee}`
    const count = (domainShares.get(id)?.count ?? 0) + 1
    domainShares.set(id, { customer: gang.customer, guarantee: gang.guarantee, shape, count })
  }
  return new Map([...sharesByDomain].map(([domain, shares]) => [domain, [...shares.values()].sort(compareShares)]))
}

/** Returns the part of a configuration that the scheduler of one failure domain uses. */
export const getDomainShare = (config: Config, domain: DomainId): DomainShare => {
  const guarantees = splitGuarantees(config).get(domain) ?? []
  return {
    version: config.version,
    domain,
    customers: config.customers.map(({ id, priority, maxQueued }) => ({
      id,
      priority,
      maxQueued,
      guarantees: guarantees
        .filter((share) => share.customer === id)
        .map(({ shape, count }) => ({ shape, count, domain }))
    })),
    kinds: config.kinds,
    drains: config.drains
  }
}
