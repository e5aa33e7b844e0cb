import {
  AssignmentSchema, ConfigSchema, CounterSchema, CustomerIdSchema, ErrorBodySchema, JobIdSchema, JobMetadataSchema,
  JobOutcomeSchema, MAX_GANG_TASKS, RequestKeySchema
} from '@ibisstair/model'
import * as v from 'valibot'

const FingerprintSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(128))
const AtMsSchema = v.pipe(v.number(), v.finite(), v.minValue(0))
const AssignmentsSchema = v.pipe(v.array(AssignmentSchema), v.minLength(1), v.maxLength(MAX_GANG_TASKS))

/** `change` and `config` are parsed by the model package, so that errors name the field inside them. */
export const ConfigCommandSchema = v.variant('type', [
  v.strictObject({ type: v.literal('change'), change: v.unknown() }),
  v.strictObject({ type: v.literal('import'), config: v.unknown() })
])

const ConfigResultSchema = v.variant('status', [
  v.strictObject({ status: v.literal('accepted'), version: CounterSchema }),
  v.strictObject({ status: v.literal('refused'), version: CounterSchema, error: ErrorBodySchema })
])

const RecordedChangesSchema = v.array(v.tuple([
  v.string(),
  v.strictObject({ fingerprint: FingerprintSchema, result: ConfigResultSchema })
]))

export const ConfigSnapshotSchema = v.strictObject({
  config: ConfigSchema,
  accepted: RecordedChangesSchema,
  refused: RecordedChangesSchema,
  forgottenVersion: CounterSchema
})

export const JobCommandSchema = v.variant('type', [
  v.strictObject({
    type: v.literal('record-start'),
    customer: CustomerIdSchema,
    key: RequestKeySchema,
    jobId: JobIdSchema,
    attempt: CounterSchema,
    fingerprint: FingerprintSchema,
    metadata: JobMetadataSchema,
    assignments: AssignmentsSchema,
    atMs: AtMsSchema
  }),
  v.strictObject({
    type: v.literal('record-outcome'),
    customer: CustomerIdSchema,
    key: RequestKeySchema,
    jobId: JobIdSchema,
    attempt: CounterSchema,
    outcome: JobOutcomeSchema,
    atMs: AtMsSchema
  }),
  v.strictObject({
    type: v.literal('acknowledge'),
    customer: CustomerIdSchema,
    key: RequestKeySchema,
    jobId: JobIdSchema,
    atMs: AtMsSchema
  })
])

const RecordedOutcomeSchema = v.union([JobOutcomeSchema, v.strictObject({ state: v.literal('released') })])

export const JobRecordSchema = v.strictObject({
  customer: CustomerIdSchema,
  key: RequestKeySchema,
  jobId: JobIdSchema,
  attempt: CounterSchema,
  fingerprint: FingerprintSchema,
  metadata: JobMetadataSchema,
  assignments: AssignmentsSchema,
  startedAtMs: AtMsSchema,
  outcome: v.exactOptional(RecordedOutcomeSchema),
  finishedAtMs: v.exactOptional(AtMsSchema),
  acknowledged: v.boolean(),
  startBytes: CounterSchema,
  answerBytes: CounterSchema
})

export const JobSnapshotSchema = v.strictObject({
  clockMs: AtMsSchema,
  lastAtMs: v.nullable(AtMsSchema),
  /** In the order of the register. Expiry of records and release of answers depend on it. */
  records: v.array(JobRecordSchema)
})
