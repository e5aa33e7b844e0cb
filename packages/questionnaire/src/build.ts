import { checkValue, IbisError } from '@ibisstair/common'
import {
  checkFeasible, type Config, ConfigDelta, type CustomerConfig, type DomainConfig, EMPTY_CONFIG, type GuaranteedShape,
  type KindConfig, MAX_QUEUED, parseConfig
} from '@ibisstair/model'
import { isDeepStrictEqual } from 'node:util'
import { ADJACENCY_OF, DEFAULT_ON_TIME_PERCENT, MIN_QUEUED, PRIORITY_OF } from './constants.ts'
import { type Guarantee, type Questionnaire, QuestionnaireSchema, type Site, type Team, type Work } from './schemas.ts'

export interface BuildOptions {
  /** Allows the answers to change teams, kinds of work and domains that the configuration has. */
  readonly replace: boolean
}

/** Throws `invalid-request` with each wrong field, its value and what is accepted; `what` names the file. */
export const parseQuestionnaire = (input: unknown, what = 'questionnaire'): Questionnaire =>
  checkValue(QuestionnaireSchema, input, what)

const refuse = (what: string, field: string, got: string, accepted: string): never => {
  throw new IbisError('invalid-request', `${what}: field ${field}: got ${got}, accepted is ${accepted}`, { info: { fields: [field] } })
}

const buildDomain = ({ domain, region, racks }: Site): DomainConfig => ({
  id: domain,
  region,
  racks: racks.map(({ rack, ...size }) => ({ id: rack, ...size }))
})

const buildGuarantee = ({ jobs, tasks, acceleratorsPerTask, slotsPerTask, together, onlyIn }: Guarantee): GuaranteedShape => ({
  shape: { tasks, acceleratorsPerTask, slotsPerTask, adjacency: ADJACENCY_OF[together] },
  count: jobs,
  ...(onlyIn !== undefined && { domain: onlyIn })
})

const buildCustomer = ({ team, share, callers, guarantees }: Team): CustomerConfig => ({
  id: team,
  priority: PRIORITY_OF[share],
  guarantees: guarantees.map(buildGuarantee),
  maxQueued: Math.min(Math.max(callers.count * callers.requestsAtOnce, MIN_QUEUED), MAX_QUEUED)
})

/** Rounds away the error of a binary division, so that 99.9 gives 0.999. */
const toFraction = (percent: number): number => Math.round(percent * 1000) / 100_000

const buildKind = ({ kind, urgency, mayRunTwice, usualRunTime, mustStartWithin, onTimePercent }: Work): KindConfig => ({
  kind,
  urgency,
  idempotent: mayRunTwice,
  expectedRunMs: usualRunTime,
  objective: {
    startWithinMs: mustStartWithin,
    target: toFraction(onTimePercent ?? DEFAULT_ON_TIME_PERCENT[urgency])
  }
})

interface Item<T> {
  readonly field: string
  readonly id: string
  readonly value: T
}

const checkUnchanged = <T>(what: string, items: ReadonlyArray<Item<T>>, held: ReadonlyMap<string, T>): void => {
  for (const { field, id, value } of items) {
    const known = held.get(id)
    if (known === undefined || isDeepStrictEqual(known, value)) continue
    refuse(what, field, `"${id}", which is configured with other values`, `a name that is not in use, or --replace to change it; in force is ${JSON.stringify(known)}`)
  }
}

/** Kinds of work are shared by all teams, so that a reused name would change the work of others. */
const checkReplaced = (config: Config, questionnaire: Questionnaire, what: string): void => {
  checkUnchanged(what, questionnaire.teams.map((team, i) => ({ field: `teams.${i}.team`, id: team.team, value: buildCustomer(team) })),
    new Map(config.customers.map((customer) => [customer.id, customer])))
  checkUnchanged(what, questionnaire.work.map((work, i) => ({ field: `work.${i}.kind`, id: work.kind, value: buildKind(work) })),
    new Map(config.kinds.map((kind) => [kind.kind, kind])))
  checkUnchanged(what, (questionnaire.fleet ?? []).map((site, i) => ({ field: `fleet.${i}.domain`, id: site.domain, value: buildDomain(site) })),
    new Map(config.fleet.domains.map((domain) => [domain.id, domain])))
}

const checkReferences = (config: Config, questionnaire: Questionnaire, what: string): void => {
  const domains = config.fleet.domains.map(({ id }) => id)
  if (domains.length === 0) refuse(what, 'fleet', 'nothing', 'at least one failure domain, or an existing configuration that has one')
  if (config.kinds.length === 0) refuse(what, 'work', 'nothing', 'at least one kind of work, or an existing configuration that has one')
  questionnaire.teams.forEach(({ guarantees }, i) => guarantees.forEach(({ onlyIn }, j) => {
    if (onlyIn === undefined || domains.includes(onlyIn)) return
    refuse(what, `teams.${i}.guarantees.${j}.onlyIn`, `"${onlyIn}"`, domains.join(', '))
  }))
}

/** Adds the field of the answer to a refusal that the model states in terms of the configuration. */
const checkRoom = (config: Config, questionnaire: Questionnaire, what: string): void => {
  try {
    checkFeasible(config)
  } catch (err) {
    if (!(err instanceof IbisError) || err.kind !== 'config-infeasible') throw err
    const team = questionnaire.teams.findIndex(({ team }) => team === err.details?.['customer'])
    const guarantee = err.details?.['guarantee']
    const field = team < 0 ? 'an existing guarantee would lose its room' : `field teams.${team}.guarantees${guarantee === undefined ? '' : `.${String(guarantee)}`}`
    throw new IbisError('config-infeasible', `${what}: ${field}`, { cause: err, ...(err.details && { info: err.details }) })
  }
}

/**
 * The configuration with the answers added to `existing`. It is checked like any change: references,
 * limits, and whether all guaranteed shapes fit at once.
 */
export const buildConfig = (
  questionnaire: Questionnaire,
  existing: Config = EMPTY_CONFIG,
  options: BuildOptions = { replace: false },
  what = 'questionnaire'
): Config => {
  if (!options.replace) checkReplaced(existing, questionnaire, what)
  const delta = ConfigDelta.create([
    ...(questionnaire.fleet ?? []).map((site) => ({ op: 'put-domain', domain: buildDomain(site) }) as const),
    ...questionnaire.work.map((work) => ({ op: 'put-kind', kind: buildKind(work) }) as const),
    ...questionnaire.teams.map((team) => ({ op: 'put-customer', customer: buildCustomer(team) }) as const)
  ])
  const config = delta.apply(existing)
  checkReferences(config, questionnaire, what)
  const checked = parseConfig(config, what)
  checkRoom(checked, questionnaire, what)
  return checked
}
