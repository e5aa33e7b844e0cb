import { invariant } from '@ibisstair/common'
import type { TaskGrant, TaskRequest } from '@ibisstair/endpoint-tasks'
import type { JobMetadata } from '@ibisstair/model'
import type { GangEffect, GangSpec } from './types.ts'

const toMetadata = (spec: GangSpec): JobMetadata => {
  const { payload: _payload, ...metadata } = spec.request
  return metadata
}

/** Builds the message to the endpoint for a `call` effect; `ageMs` is the result of `Gang.getAgeMs`, which only a stop carries. */
export const buildTaskRequest = (spec: GangSpec, effect: GangEffect & { type: 'call' }, ageMs: number | undefined): TaskRequest => {
  const assignment = spec.assignments.find(({ index }) => index === effect.index)
  invariant(assignment, 'a call names a member of its gang', effect)
  const { taskId, incarnation, index } = assignment
  const base = { taskId, incarnation }
  const { operation } = effect
  const grant = (): TaskGrant => ({
    jobId: spec.jobId,
    attempt: spec.attempt,
    index,
    reservationMs: spec.reservationMs,
    leaseMs: spec.leaseMs,
    request: toMetadata(spec)
  })
  switch (operation) {
    case 'reserve': return { ...base, operation, grant: grant() }
    case 'arm': return { ...base, operation, payload: spec.request.payload }
    case 'run': return { ...base, operation, grant: grant(), payload: spec.request.payload }
    case 'start': return { ...base, operation, ...(effect.leaseMs !== undefined && { leaseMs: effect.leaseMs }) }
    case 'throttle': return { ...base, operation, fraction: effect.fraction ?? 1 }
    case 'stop': return { ...base, operation, ...(ageMs !== undefined && { ageMs }) }
    default: return { ...base, operation }
  }
}
