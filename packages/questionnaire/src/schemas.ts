import {
  CustomerIdSchema, DomainIdSchema, KindSchema, MAX_ACCELERATORS_PER_WORKER, MAX_CUSTOMERS, MAX_DEADLINE_MS, MAX_DOMAINS,
  MAX_GANG_TASKS, MAX_GUARANTEED_TASKS, MAX_GUARANTEES_PER_CUSTOMER, MAX_KINDS, MAX_QUEUED, MAX_RACKS_PER_DOMAIN, MAX_RUN_MS,
  MAX_SLOTS_PER_WORKER, MAX_WORKERS_PER_RACK, RackIdSchema, UrgencySchema
} from '@ibisstair/model'
import * as v from 'valibot'
import { SHARES, TOGETHER } from './constants.ts'
import { parseDuration } from './duration.ts'

const MAX_NAME_LENGTH = 200

const intBetween = (min: number, max: number) => v.pipe(v.number(), v.integer(), v.minValue(min), v.maxValue(max))

const durationUpTo = (maxMs: number) => {
  const accepted = `a time from 1ms to ${maxMs / 86_400_000}d with its unit, for example 250ms, 2s, 15m, 8h or 1d`
  return v.pipe(
    v.string(accepted),
    v.check((text) => {
      const ms = parseDuration(text)
      return ms !== undefined && ms >= 1 && ms <= maxMs
    }, accepted),
    v.transform((text) => parseDuration(text) ?? 0)
  )
}

const uniqueBy = <T>(name: string, getId: (item: T) => string) =>
  v.check<T[], string>((items) => new Set(items.map(getId)).size === items.length, `each ${name} at most once`)

const RackSchema = v.strictObject({
  rack: RackIdSchema,
  workers: intBetween(1, MAX_WORKERS_PER_RACK),
  acceleratorsPerWorker: intBetween(0, MAX_ACCELERATORS_PER_WORKER),
  slotsPerWorker: intBetween(1, MAX_SLOTS_PER_WORKER)
})

const SiteSchema = v.strictObject({
  domain: DomainIdSchema,
  region: v.pipe(v.string(), v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, '1 to 64 letters, digits, ".", "_" or "-"')),
  racks: v.pipe(
    v.array(RackSchema),
    v.minLength(1),
    v.maxLength(MAX_RACKS_PER_DOMAIN),
    uniqueBy('rack', ({ rack }) => rack)
  )
})

const GuaranteeSchema = v.strictObject({
  /** How many of these jobs the team can always run at the same time. */
  jobs: intBetween(1, MAX_GUARANTEED_TASKS),
  /** Number of tasks of one job, which run all at the same time or not at all. */
  tasks: v.optional(intBetween(1, MAX_GANG_TASKS), 1),
  acceleratorsPerTask: intBetween(0, MAX_ACCELERATORS_PER_WORKER),
  slotsPerTask: v.optional(intBetween(1, MAX_SLOTS_PER_WORKER), 1),
  together: v.optional(v.picklist(TOGETHER), 'anywhere'),
  onlyIn: v.exactOptional(DomainIdSchema)
})

const TeamSchema = v.strictObject({
  team: CustomerIdSchema,
  name: v.exactOptional(v.pipe(v.string(), v.maxLength(MAX_NAME_LENGTH))),
  /** Share of the capacity that no guarantee uses. */
  share: v.optional(v.picklist(SHARES), 'ordinary'),
  callers: v.strictObject({
    count: intBetween(1, MAX_QUEUED),
    /** Maximum number of requests that one caller sends before it waits for answers. */
    requestsAtOnce: intBetween(1, MAX_QUEUED)
  }),
  guarantees: v.optional(v.pipe(v.array(GuaranteeSchema), v.maxLength(MAX_GUARANTEES_PER_CUSTOMER)), [])
})

const WorkSchema = v.strictObject({
  kind: KindSchema,
  urgency: UrgencySchema,
  /** False if a second run does harm; such work is recorded before it starts. */
  mayRunTwice: v.boolean(),
  usualRunTime: durationUpTo(MAX_RUN_MS),
  mustStartWithin: durationUpTo(MAX_DEADLINE_MS),
  onTimePercent: v.exactOptional(v.pipe(v.number(), v.minValue(0.001), v.maxValue(99.999)))
})

export const QuestionnaireSchema = v.strictObject({
  fleet: v.exactOptional(v.pipe(
    v.array(SiteSchema),
    v.minLength(1),
    v.maxLength(MAX_DOMAINS),
    uniqueBy('domain', ({ domain }) => domain)
  )),
  teams: v.pipe(
    v.array(TeamSchema),
    v.minLength(1),
    v.maxLength(MAX_CUSTOMERS),
    uniqueBy('team', ({ team }) => team)
  ),
  work: v.optional(v.pipe(v.array(WorkSchema), v.maxLength(MAX_KINDS), uniqueBy('kind', ({ kind }) => kind)), [])
})

export type Questionnaire = v.InferOutput<typeof QuestionnaireSchema>
export type Site = NonNullable<Questionnaire['fleet']>[number]
export type Team = Questionnaire['teams'][number]
export type Guarantee = Team['guarantees'][number]
export type Work = Questionnaire['work'][number]
