import { type CustomerId, type DomainId, IbisError, invariant, type RackId } from '@ibisstair/common'
import { MAX_GUARANTEED_TASKS } from './constants.ts'
import { compareText } from './order.ts'
import { DomainPool, type PoolCursor } from './pool.ts'
import { countFitting, describeShape } from './shape.ts'
import type { Config, CustomerConfig, DomainShare, GuaranteedShape, Shape } from './types.ts'

/** Tasks of one guaranteed gang on one worker; `worker` counts from 0 inside the rack. */
export interface PlannedTasks {
  readonly rack: RackId
  readonly worker: number
  readonly tasks: number
}

export interface PlannedGang {
  readonly customer: CustomerId
  /** Position in the customer's list of guarantees. */
  readonly guarantee: number
  readonly domain: DomainId
  readonly parts: readonly PlannedTasks[]
}

export interface Misfit {
  readonly customer: CustomerId
  readonly guarantee: number
  readonly shape: Shape
  readonly count: number
  /** How many of the count found room. */
  readonly placed: number
  readonly domain?: DomainId
}

/** One simultaneous placement of the guaranteed shapes on the configured racks. */
export interface GuaranteePlan {
  readonly gangs: readonly PlannedGang[]
  readonly misfits: readonly Misfit[]
}

interface Demand {
  readonly customer: CustomerId
  readonly guarantee: number
  readonly config: GuaranteedShape
}

interface Strategy {
  readonly adjacencyRank: Readonly<Record<Shape['adjacency'], number>>
  /** Even shares are preferred; filling one domain after the other leaves larger rooms. */
  readonly spread: boolean
}

const RACK_FIRST = { rack: 0, worker: 1, any: 2 }
const WORKER_FIRST = { worker: 0, rack: 1, any: 2 }

/** Tried in order until one places everything; a fixed list keeps the result the same in every process. */
const STRATEGIES: readonly Strategy[] = [
  { adjacencyRank: RACK_FIRST, spread: true },
  { adjacencyRank: WORKER_FIRST, spread: true },
  { adjacencyRank: RACK_FIRST, spread: false },
  { adjacencyRank: WORKER_FIRST, spread: false }
]

/** Rounds of one strategy; a few suffice, because each one lets the demands that failed choose first. */
const MAX_ROUNDS = 6

/** Ends the search on huge configurations, because a longer one would delay heartbeats of the leader. */
const MAX_PLANNED_GANGS = 100_000

const listDemands = (customers: readonly CustomerConfig[]): Demand[] =>
  customers.flatMap((customer) =>
    customer.guarantees.map((config, guarantee) => ({ customer: customer.id, guarantee, config })))

/** Largest first within one adjacency; pinned ones first, because they have no other domain. */
const compareDemands = (rank: Strategy['adjacencyRank']) => (a: Demand, b: Demand): number => {
  const [x, y] = [a.config.shape, b.config.shape]
  return rank[x.adjacency] - rank[y.adjacency] ||
    Number(b.config.domain !== undefined) - Number(a.config.domain !== undefined) ||
    y.tasks * y.acceleratorsPerTask - x.tasks * x.acceleratorsPerTask ||
    y.acceleratorsPerTask - x.acceleratorsPerTask ||
    y.tasks * y.slotsPerTask - x.tasks * x.slotsPerTask ||
    compareText(a.customer, b.customer) ||
    a.guarantee - b.guarantee
}

interface Candidate {
  readonly pool: DomainPool
  readonly cursor: PoolCursor
  /** How many of the shape the empty domain holds. */
  readonly weight: number
  placed: number
}

const compareBySpread = (a: Candidate, b: Candidate): number =>
  (a.placed + 1) * b.weight - (b.placed + 1) * a.weight ||
  b.pool.freeAccelerators - a.pool.freeAccelerators ||
  compareText(a.pool.id, b.pool.id)

/** Small domains are filled first, so that the room of the large ones stays whole. */
const compareBySize = (a: Candidate, b: Candidate): number =>
  a.weight - b.weight || compareText(a.pool.id, b.pool.id)

/** Places one demand gang by gang; a domain that refused one gang refuses all later ones of the shape. */
const placeDemand = (demand: Demand, pools: readonly DomainPool[], spread: boolean): PlannedGang[] => {
  const { shape, count, domain } = demand.config
  const allowed = pools.filter((pool) => domain === undefined || pool.id === domain)
  const open: Candidate[] = allowed
    .map((pool) => ({ pool, cursor: pool.startCursor(), weight: countFitting(pool.config, shape), placed: 0 }))
    .filter((candidate) => candidate.weight > 0)
    .sort(compareBySize)
  const gangs: PlannedGang[] = []
  while (gangs.length < count && open.length > 0) {
    if (spread) open.sort(compareBySpread)
    const candidate = open[0]!
    const parts = candidate.pool.place(shape, candidate.cursor)
    if (!parts) {
      open.shift()
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
  const misfits: Misfit[] = []
  for (const demand of demands) {
    const placed = placeDemand(demand, pools, strategy.spread)
    gangs.push(...placed)
    if (placed.length < demand.config.count) {
      misfits.push({ ...demand.config, customer: demand.customer, guarantee: demand.guarantee, placed: placed.length })
    }
  }
  return { gangs, misfits }
}

/** Demands that found no room go first in the next round; the others keep their order. */
const promoteMisfits = (demands: readonly Demand[], misfits: readonly Misfit[]): Demand[] => {
  const isMisfit = ({ customer, guarantee }: Demand): boolean =>
    misfits.some((misfit) => misfit.customer === customer && misfit.guarantee === guarantee)
  return [...demands.filter(isMisfit), ...demands.filter((demand) => !isMisfit(demand))]
}

/** More than the whole fleet has: no order of placement can help. */
const exceedsFleet = (config: Config, demands: readonly Demand[]): boolean => {
  const racks = config.fleet.domains.flatMap((domain) => domain.racks)
  const sumOf = <T>(items: readonly T[], sizeOf: (item: T) => number): number =>
    items.reduce((sum, item) => sum + sizeOf(item), 0)
  const tasksOf = ({ config: { shape, count } }: Demand): number => shape.tasks * count
  return sumOf(demands, (demand) => tasksOf(demand) * demand.config.shape.acceleratorsPerTask) >
    sumOf(racks, (rack) => rack.workers * rack.acceleratorsPerWorker) ||
    sumOf(demands, (demand) => tasksOf(demand) * demand.config.shape.slotsPerTask) >
    sumOf(racks, (rack) => rack.workers * rack.slotsPerWorker)
}

/**
 * Places all guaranteed shapes at once. The plan is a proof: a configuration without misfits can be
 * met. The search is greedy, so a very tight configuration can be refused although it would fit.
 */
export const planGuarantees = (config: Config): GuaranteePlan => {
  const demands = listDemands(config.customers)
  const rounds = exceedsFleet(config, demands) ? 1 : MAX_ROUNDS
  let first: GuaranteePlan | undefined
  let tried = 0
  for (const strategy of STRATEGIES) {
    let order = [...demands].sort(compareDemands(strategy.adjacencyRank))
    for (let round = 0; round < rounds; round++) {
      const plan = runStrategy(config, order, strategy)
      if (plan.misfits.length === 0) return plan
      first ??= plan
      tried += plan.gangs.length
      if (tried > MAX_PLANNED_GANGS) return first
      order = promoteMisfits(order, plan.misfits)
    }
    if (rounds === 1) break
  }
  invariant(first, 'at least one placement strategy exists')
  return first
}

const checkGuaranteedTasks = (config: Config): void => {
  let tasks = 0
  for (const { customer, config: { shape, count } } of listDemands(config.customers)) {
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
 * Throws `config-infeasible` with the customer and the shape that do not fit. A later version may
 * accept more but must not accept less, because accepted configurations are checked again on import.
 */
export const checkFeasible = (config: Config): void => {
  checkGuaranteedTasks(config)
  const misfit = planGuarantees(config).misfits[0]
  if (!misfit) return
  const where = misfit.domain === undefined ? 'the fleet' : `failure domain ${misfit.domain}`
  throw new IbisError(
    'config-infeasible',
    `customer ${misfit.customer}: ${misfit.count} x ${describeShape(misfit.shape)} guaranteed, ${where} has room for ${misfit.placed} beside the other guarantees`,
    { info: { ...misfit } }
  )
}

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
 * every process. Of an infeasible configuration only what has room is granted.
 */
export const splitGuarantees = (config: Config): ReadonlyMap<DomainId, readonly DomainGuarantee[]> => {
  const counts = new Map<DomainId, Map<string, DomainGuarantee>>()
  for (const domain of config.fleet.domains) counts.set(domain.id, new Map())
  const customers = new Map(config.customers.map((customer) => [customer.id, customer]))
  for (const gang of planGuarantees(config).gangs) {
    const inDomain = counts.get(gang.domain)
    const shape = customers.get(gang.customer)?.guarantees[gang.guarantee]?.shape
    invariant(inDomain && shape, 'a planned gang belongs to a configured domain and guarantee')
    const id = `${gang.customer}/${gang.guarantee}`
    const count = (inDomain.get(id)?.count ?? 0) + 1
    inDomain.set(id, { customer: gang.customer, guarantee: gang.guarantee, shape, count })
  }
  return new Map([...counts].map(([domain, shares]) => [domain, [...shares.values()].sort(compareShares)]))
}

/** The part of a configuration that one failure domain schedules by. */
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
