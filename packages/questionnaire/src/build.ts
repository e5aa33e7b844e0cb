import { checkValue, IbisError } from '@ibisstair/common'
import {
  checkFeasible, type Config, ConfigDelta, type CustomerConfig, type DomainConfig, EMPTY_CONFIG, type GuaranteedShape,
  type KindConfig, MAX_QUEUED, parseConfig
} from '@ibisstair/model'
import { isDeepStrictEqual } from 'node:util'
import { ADJACENCY_BY_TOGETHER, DEFAULT_ON_TIME_PERCENT, MIN_QUEUE_LIMIT, PRIORITY_BY_SHARE } from './constants.ts'
import { type Guarantee, type Questionnaire, QuestionnaireSchema, type Site, type Team, type Work } from './schemas.ts'

export interface BuildOptions {
  /** Allows the answers to change teams, kinds of work and domains that are already configured. */
  readonly replace: boolean
}

/**
 * Throws `invalid-request` with the first invalid fields, their values and what is accepted;
 * `inputName` names the file.
 */
export const parseQuestionnaire = (input: unknown, inputName = 'questionnaire'): Questionnaire =>
  checkValue(QuestionnaireSchema, input, inputName)

const rejectAnswer = (inputName: string, field: string, got: string, accepted: string): never => {
  throw new IbisError('invalid-request', `${inputName}: field ${field}: got ${got}, accepted is ${accepted}`, { info: { fields: [field] } })
}

const buildDomain = ({ domain, region, racks }: Site): DomainConfig => ({
  id: domain,
  region,
  racks: racks.map(({ rack, ...size }) => ({ id: rack, ...size }))
})

const buildGuarantee = ({ jobs, tasks, acceleratorsPerTask, slotsPerTask, together, onlyIn }: Guarantee): GuaranteedShape => ({
  shape: { tasks, acceleratorsPerTask, slotsPerTask, adjacency: ADJACENCY_BY_TOGETHER[together] },
  count: jobs,
  ...(onlyIn !== undefined && { domain: onlyIn })
})

const buildCustomer = ({ team, share, callers, guarantees }: Team): CustomerConfig => ({
  id: team,
  priority: PRIORITY_BY_SHARE[share],
  guarantees: guarantees.map(buildGuarantee),
  maxQueued: Math.min(Math.max(callers.count * callers.requestsAtOnce, MIN_QUEUE_LIMIT), MAX_QUEUED)
})

/**
 * Converts a percentage to a fraction; rounding removes the error of the binary division, so that
 * 99.9 gives 0.999.
 */
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

interface AnswerItem<T> {
  readonly field: string
  readonly id: string
  readonly value: T
}

const checkUnchanged = <T>(inputName: string, items: ReadonlyArray<AnswerItem<T>>, configured: ReadonlyMap<string, T>): void => {
  for (const { field, id, value } of items) {
    const current = configured.get(id)
    if (current === undefined || isDeepStrictEqual(current, value)) continue
    rejectAnswer(inputName, field, `"${id}", which is configured with other values`, `a name that is not in use, or --replace to change it; the configuration in force has ${JSON.stringify(current)}`)
  }
}

/**
 * Rejects answers that change a configured item. All teams share the kinds of work, so reusing a
 * name would change the work of other teams.
 */
const checkNothingReplaced = (config: Config, questionnaire: Questionnaire, inputName: string): void => {
  checkUnchanged(inputName, questionnaire.teams.map((team, i) => ({ field: `teams.${i}.team`, id: team.team, value: buildCustomer(team) })),
    new Map(config.customers.map((customer) => [customer.id, customer])))
  checkUnchanged(inputName, questionnaire.work.map((work, i) => ({ field: `work.${i}.kind`, id: work.kind, value: buildKind(work) })),
    new Map(config.kinds.map((kind) => [kind.kind, kind])))
  checkUnchanged(inputName, (questionnaire.fleet ?? []).map((site, i) => ({ field: `fleet.${i}.domain`, id: site.domain, value: buildDomain(site) })),
    new Map(config.fleet.domains.map((domain) => [domain.id, domain])))
}

const checkReferences = (config: Config, questionnaire: Questionnaire, inputName: string): void => {
  const domains = config.fleet.domains.map(({ id }) => id)
  if (domains.length === 0) rejectAnswer(inputName, 'fleet', 'nothing', 'at least one failure domain, or an existing configuration that has one')
  if (config.kinds.length === 0) rejectAnswer(inputName, 'work', 'nothing', 'at least one kind of work, or an existing configuration that has one')
  questionnaire.teams.forEach(({ guarantees }, i) => guarantees.forEach(({ onlyIn }, j) => {
    if (onlyIn === undefined || domains.includes(onlyIn)) return
    rejectAnswer(inputName, `teams.${i}.guarantees.${j}.onlyIn`, `"${onlyIn}"`, domains.join(', '))
  }))
}

/**
 * Checks that all guarantees fit. The model names the customer and the shape; this adds the field
 * of the questionnaire.
 */
const checkGuaranteesFit = (config: Config, questionnaire: Questionnaire, inputName: string): void => {
  try {
    checkFeasible(config)
  } catch (err) {
    if (!(err instanceof IbisError) || err.kind !== 'config-infeasible') throw err
    const team = questionnaire.teams.findIndex(({ team }) => team === err.details?.['customer'])
    const guarantee = err.details?.['guarantee']
    const field = team < 0 ? 'an existing guarantee would lose its room' : `field teams.${team}.guarantees${guarantee === undefined ? '' : `.${String(guarantee)}`}`
    throw new IbisError('config-infeasible', `${inputName}: ${field}`, { cause: err, ...(err.details && { info: err.details }) })
  }
}

/**
 * Returns `existing` with the answers added. The result is checked like any configuration change:
 * references, limits, and whether all guaranteed shapes fit at the same time.
 */
export const buildConfig = (
  questionnaire: Questionnaire,
  existing: Config = EMPTY_CONFIG,
  options: BuildOptions = { replace: false },
  inputName = 'questionnaire'
): Config => {
  if (!options.replace) checkNothingReplaced(existing, questionnaire, inputName)
  const delta = ConfigDelta.create([
    ...(questionnaire.fleet ?? []).map((site) => ({ op: 'put-domain', domain: buildDomain(site) }) as const),
    ...questionnaire.work.map((work) => ({ op: 'put-kind', kind: buildKind(work) }) as const),
    ...questionnaire.teams.map((team) => ({ op: 'put-customer', customer: buildCustomer(team) }) as const)
  ])
  const config = delta.apply(existing)
  checkReferences(config, questionnaire, inputName)
  const checked = parseConfig(config, inputName)
  checkGuaranteesFit(checked, questionnaire, inputName)
  return checked
}
