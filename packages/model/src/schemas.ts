import {
  asId, type CallerId, type ChangeId, type CustomerId, type DomainId, type EndpointId, ERROR_TABLE, type ErrorKind,
  type JobId, type KindOfWork, type RackId, type RequestKey, type TaskId
} from '@ibisstair/common'
import * as v from 'valibot'
import {
  ADJACENCIES, MAX_ACCELERATORS_PER_WORKER, MAX_CUSTOMERS, MAX_DEADLINE_MS, MAX_DELTA_OPERATIONS, MAX_DOMAINS,
  MAX_DRAINS, MAX_GANG_TASKS, MAX_GUARANTEED_TASKS, MAX_GUARANTEES_PER_CUSTOMER, MAX_KINDS, MAX_PRIORITY, MAX_QUEUED,
  MAX_RACKS_PER_DOMAIN, MAX_RUN_MS, MAX_SLOTS_PER_WORKER, MAX_WORKERS_PER_RACK, URGENCIES
} from './constants.ts'

const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
/** Visible ASCII, because a key is part of a URL path; URL parsers remove `.` and `..` from a path. */
const KEY_PATTERN = /^(?!\.{1,2}$)[\x21-\x7e]{1,128}$/
const ID_ACCEPTED = '1 to 64 letters, digits, ".", "_" or "-", starting with a letter or digit'
const KEY_ACCEPTED = '1 to 128 visible ASCII characters, neither "." nor ".."'

const idSchema = <T extends string>() => v.pipe(
  v.string(),
  v.regex(ID_PATTERN, ID_ACCEPTED),
  v.transform((text) => asId<T>(text))
)

const intBetween = (min: number, max: number) => v.pipe(v.number(), v.integer(), v.minValue(min), v.maxValue(max))

export const CustomerIdSchema = idSchema<CustomerId>()
export const CallerIdSchema = idSchema<CallerId>()
export const EndpointIdSchema = idSchema<EndpointId>()
export const RackIdSchema = idSchema<RackId>()
export const DomainIdSchema = idSchema<DomainId>()
export const ChangeIdSchema = idSchema<ChangeId>()
export const KindSchema = idSchema<KindOfWork>()
export const RequestKeySchema = v.pipe(
  v.string(),
  v.regex(KEY_PATTERN, KEY_ACCEPTED),
  v.transform((text) => asId<RequestKey>(text))
)
/** Ids that the system itself generates; only their length and characters are checked. */
const OpaqueIdSchema = v.pipe(v.string(), v.regex(/^[\x21-\x7e]{1,320}$/, '1 to 320 visible ASCII characters'))
export const JobIdSchema = v.pipe(OpaqueIdSchema, v.transform((text) => asId<JobId>(text)))
export const TaskIdSchema = v.pipe(OpaqueIdSchema, v.transform((text) => asId<TaskId>(text)))
export const UrgencySchema = v.picklist(URGENCIES)
/** Counters and times in milliseconds. */
export const CounterSchema = intBetween(0, Number.MAX_SAFE_INTEGER)

export const ShapeSchema = v.strictObject({
  tasks: intBetween(1, MAX_GANG_TASKS),
  acceleratorsPerTask: intBetween(0, MAX_ACCELERATORS_PER_WORKER),
  slotsPerTask: intBetween(1, MAX_SLOTS_PER_WORKER),
  adjacency: v.picklist(ADJACENCIES)
})

const RunMsSchema = intBetween(1, MAX_RUN_MS)
const DeadlineMsSchema = intBetween(1, MAX_DEADLINE_MS)

export const JobRequestSchema = v.strictObject({
  key: RequestKeySchema,
  customer: CustomerIdSchema,
  caller: CallerIdSchema,
  kind: KindSchema,
  urgency: v.optional(UrgencySchema),
  shape: ShapeSchema,
  deadlineMs: v.optional(DeadlineMsSchema),
  expectedRunMs: v.optional(RunMsSchema),
  idempotent: v.optional(v.boolean()),
  homeDomain: v.exactOptional(DomainIdSchema),
  resend: v.exactOptional(v.boolean()),
  payload: v.optional(v.unknown(), null)
})

export const JobMetadataSchema = v.strictObject({
  key: RequestKeySchema,
  customer: CustomerIdSchema,
  caller: CallerIdSchema,
  kind: KindSchema,
  urgency: UrgencySchema,
  shape: ShapeSchema,
  deadlineMs: DeadlineMsSchema,
  expectedRunMs: RunMsSchema,
  idempotent: v.boolean(),
  homeDomain: v.exactOptional(DomainIdSchema)
})

export const AssignmentSchema = v.strictObject({
  index: intBetween(0, MAX_GANG_TASKS - 1),
  taskId: TaskIdSchema,
  endpointId: EndpointIdSchema,
  incarnation: CounterSchema
})

export const ErrorBodySchema = v.strictObject({
  kind: v.picklist(Object.keys(ERROR_TABLE) as ErrorKind[]),
  detail: v.string(),
  execution: v.picklist(['not-run', 'ran', 'unknown']),
  resendSafe: v.boolean(),
  advice: v.string(),
  retryAfterMs: v.exactOptional(v.number()),
  info: v.exactOptional(v.record(v.string(), v.unknown()))
})

export const TaskAnswerSchema = v.strictObject({
  index: intBetween(0, MAX_GANG_TASKS - 1),
  body: v.optional(v.unknown(), null)
})

export const JobOutcomeSchema = v.variant('state', [
  v.strictObject({
    state: v.literal('done'),
    answers: v.pipe(v.array(TaskAnswerSchema), v.maxLength(MAX_GANG_TASKS))
  }),
  v.strictObject({ state: v.literal('failed'), error: ErrorBodySchema })
])

/** Unknown fields are dropped, so that a newer endpoint can announce itself to an older process. */
export const AnnouncementSchema = v.object({
  endpointId: EndpointIdSchema,
  incarnation: CounterSchema,
  sequence: CounterSchema,
  address: v.pipe(v.string(), v.ip('an IPv4 or IPv6 address')),
  port: intBetween(1, 65_535),
  failureDomain: DomainIdSchema,
  rack: RackIdSchema,
  slots: intBetween(0, MAX_SLOTS_PER_WORKER),
  connections: intBetween(0, 65_535),
  accelerators: intBetween(0, MAX_ACCELERATORS_PER_WORKER),
  leaving: v.boolean(),
  usage: v.exactOptional(v.object({
    acceleratorsBusy: v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_ACCELERATORS_PER_WORKER)),
    lagMs: CounterSchema
  }))
})

const isUnique = <T>(items: readonly T[], getId: (item: T) => string): boolean =>
  new Set(items.map(getId)).size === items.length

const uniqueBy = <T>(name: string, getId: (item: T) => string) =>
  v.check<T[], string>((items) => isUnique(items, getId), `each ${name} at most once`)

export const GuaranteedShapeSchema = v.strictObject({
  shape: ShapeSchema,
  count: intBetween(1, MAX_GUARANTEED_TASKS),
  domain: v.exactOptional(DomainIdSchema)
})

export const CustomerConfigSchema = v.strictObject({
  id: CustomerIdSchema,
  priority: v.pipe(v.number(), v.gtValue(0), v.maxValue(MAX_PRIORITY)),
  guarantees: v.pipe(v.array(GuaranteedShapeSchema), v.maxLength(MAX_GUARANTEES_PER_CUSTOMER)),
  maxQueued: intBetween(1, MAX_QUEUED)
})

export const KindConfigSchema = v.strictObject({
  kind: KindSchema,
  urgency: UrgencySchema,
  idempotent: v.boolean(),
  expectedRunMs: RunMsSchema,
  objective: v.strictObject({
    startWithinMs: DeadlineMsSchema,
    target: v.pipe(v.number(), v.gtValue(0), v.ltValue(1))
  })
})

export const RackConfigSchema = v.strictObject({
  id: RackIdSchema,
  workers: intBetween(1, MAX_WORKERS_PER_RACK),
  acceleratorsPerWorker: intBetween(0, MAX_ACCELERATORS_PER_WORKER),
  slotsPerWorker: intBetween(1, MAX_SLOTS_PER_WORKER)
})

export const DomainConfigSchema = v.strictObject({
  id: DomainIdSchema,
  region: idSchema<string>(),
  racks: v.pipe(
    v.array(RackConfigSchema),
    v.maxLength(MAX_RACKS_PER_DOMAIN),
    uniqueBy('rack id', (rack) => rack.id)
  )
})

export const ConfigSchema = v.strictObject({
  version: CounterSchema,
  customers: v.pipe(
    v.array(CustomerConfigSchema),
    v.maxLength(MAX_CUSTOMERS),
    uniqueBy('customer id', (customer) => customer.id)
  ),
  kinds: v.pipe(
    v.array(KindConfigSchema),
    v.maxLength(MAX_KINDS),
    uniqueBy('kind', (kind) => kind.kind)
  ),
  fleet: v.strictObject({
    domains: v.pipe(
      v.array(DomainConfigSchema),
      v.maxLength(MAX_DOMAINS),
      uniqueBy('domain id', (domain) => domain.id)
    )
  }),
  drains: v.pipe(
    v.array(EndpointIdSchema),
    v.maxLength(MAX_DRAINS),
    uniqueBy('endpoint id', (id) => id)
  )
})

export const ConfigOperationSchema = v.variant('op', [
  v.strictObject({ op: v.literal('put-customer'), customer: CustomerConfigSchema }),
  v.strictObject({ op: v.literal('remove-customer'), id: CustomerIdSchema }),
  v.strictObject({ op: v.literal('put-kind'), kind: KindConfigSchema }),
  v.strictObject({ op: v.literal('remove-kind'), kind: KindSchema }),
  v.strictObject({ op: v.literal('put-domain'), domain: DomainConfigSchema }),
  v.strictObject({ op: v.literal('remove-domain'), id: DomainIdSchema }),
  v.strictObject({ op: v.literal('drain'), endpointId: EndpointIdSchema }),
  v.strictObject({ op: v.literal('undrain'), endpointId: EndpointIdSchema })
])

export const ConfigDeltaSchema = v.pipe(
  v.array(ConfigOperationSchema),
  v.minLength(1),
  v.maxLength(MAX_DELTA_OPERATIONS)
)

export const ConfigChangeSchema = v.strictObject({
  changeId: ChangeIdSchema,
  expectedVersion: CounterSchema,
  delta: ConfigDeltaSchema
})
