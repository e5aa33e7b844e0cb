import type { JobId, TaskId } from '@ibisstair/common'
import type { JobMetadata } from '@ibisstair/model'
import * as v from 'valibot'

const PHASES = ['reserved', 'armed', 'running', 'done', 'failed', 'stopped', 'expired', 'absent'] as const

const TaskViewSchema = v.object({
  phase: v.picklist(PHASES),
  everStarted: v.boolean(),
  answer: v.optional(v.unknown()),
  error: v.exactOptional(v.string()),
  runMs: v.exactOptional(v.pipe(v.number(), v.minValue(0)))
})

const IncarnationSchema = v.pipe(v.number(), v.integer(), v.minValue(0))
const CountSchema = v.pipe(v.number(), v.integer(), v.minValue(0))
const TaskIdSchema = v.custom<TaskId>((value) => typeof value === 'string', 'a task id')
const JobIdSchema = v.custom<JobId>((value) => typeof value === 'string', 'a job id')
// The metadata was written by this deployment's own leader and is only echoed by the endpoint.
const JobSchema = v.custom<JobMetadata>((value) => typeof value === 'object' && value !== null, 'the metadata of a job')

export const OperationAnswerSchema = v.object({
  status: v.picklist(['ok', 'refused']),
  reason: v.exactOptional(v.string()),
  task: v.exactOptional(TaskViewSchema)
})

export const LeasesAnswerSchema = v.object({
  incarnation: IncarnationSchema,
  tasks: v.record(v.string(), TaskViewSchema),
  usage: v.object({ acceleratorsBusy: v.pipe(v.number(), v.minValue(0)), lagMs: v.pipe(v.number(), v.minValue(0)) })
})

export const EventsAnswerSchema = v.object({
  incarnation: IncarnationSchema,
  finished: v.array(v.object({ taskId: TaskIdSchema, task: TaskViewSchema }))
})

export const TasksAnswerSchema = v.object({
  incarnation: IncarnationSchema,
  tasks: v.array(v.object({
    taskId: TaskIdSchema,
    jobId: JobIdSchema,
    attempt: CountSchema,
    index: CountSchema,
    tasks: CountSchema,
    job: JobSchema,
    task: TaskViewSchema
  }))
})
