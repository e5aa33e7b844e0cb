import type { JobId, TaskId } from '@ibisstair/common'
import type { JobMetadata } from '@ibisstair/model'
import * as v from 'valibot'

const TASK_PHASES = ['reserved', 'armed', 'running', 'done', 'failed', 'stopped', 'expired', 'absent'] as const

const TaskViewSchema = v.object({
  phase: v.picklist(TASK_PHASES),
  everStarted: v.boolean(),
  answer: v.optional(v.unknown()),
  error: v.exactOptional(v.string()),
  runMs: v.exactOptional(v.pipe(v.number(), v.minValue(0))),
  checkpointed: v.exactOptional(v.boolean())
})

const CountSchema = v.pipe(v.number(), v.integer(), v.minValue(0))
const TaskIdSchema = v.custom<TaskId>((value) => typeof value === 'string', 'a task id')
const JobIdSchema = v.custom<JobId>((value) => typeof value === 'string', 'a job id')
// Not validated further: the leader of this deployment wrote the metadata, and the endpoint only echoes it.
const JobMetadataSchema = v.custom<JobMetadata>((value) => typeof value === 'object' && value !== null, 'the metadata of a job')

const GrantSchema = v.object({
  jobId: JobIdSchema,
  attempt: CountSchema,
  index: CountSchema,
  reservationMs: v.number(),
  leaseMs: v.number(),
  request: JobMetadataSchema
})

export const CallResultSchema = v.variant('status', [
  v.object({ status: v.literal('ok'), task: v.exactOptional(TaskViewSchema) }),
  v.object({ status: v.literal('refused'), reason: v.string(), task: v.exactOptional(TaskViewSchema) })
])

export const LeasesAnswerSchema = v.object({
  incarnation: CountSchema,
  views: v.array(TaskViewSchema),
  usage: v.object({ acceleratorsBusy: v.pipe(v.number(), v.minValue(0)), lagMs: v.pipe(v.number(), v.minValue(0)) })
})

export const EventsAnswerSchema = v.object({
  incarnation: CountSchema,
  cursor: CountSchema,
  finished: v.array(v.object({ taskId: TaskIdSchema, view: TaskViewSchema }))
})

export const TasksAnswerSchema = v.object({
  incarnation: CountSchema,
  tasks: v.array(v.object({ taskId: TaskIdSchema, grant: GrantSchema, view: TaskViewSchema }))
})
