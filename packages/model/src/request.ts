import { checkValue, type CustomerId, type DomainId, IbisError, rankByRendezvous, type RequestKey } from '@ibisstair/common'
import { createHash } from 'node:crypto'
import { DEFAULT_DEADLINE_FACTOR, MAX_DEADLINE_MS, MAX_PAYLOAD_DEPTH, URGENCIES } from './constants.ts'
import { encodeCanonical, exceedsDepth } from './canonical.ts'
import { JobRequestSchema } from './schemas.ts'
import { describeShape, maxGangTasks } from './shape.ts'
import type { Config, DomainConfig, JobMetadata, JobRequest, KindConfig, Shape, Urgency } from './types.ts'

const urgencyRank = (urgency: Urgency): number => URGENCIES.indexOf(urgency)

const rejectField = (field: string, got: unknown, accepted: string): never => {
  throw new IbisError('invalid-request', `request: field ${field}: got ${JSON.stringify(got)}, accepted is ${accepted}`, {
    info: { fields: [field] }
  })
}

const checkUrgency = (urgency: Urgency, kind: KindConfig): void => {
  if (urgencyRank(urgency) >= urgencyRank(kind.urgency)) return
  const accepted = URGENCIES.slice(urgencyRank(kind.urgency)).map((name) => `"${name}"`).join(' or ')
  rejectField('urgency', urgency, `${accepted} for kind ${kind.kind}`)
}

/**
 * A caller may declare a request of an idempotent kind non-idempotent, which is safer, but not the
 * reverse.
 */
const checkIdempotent = (idempotent: boolean, kind: KindConfig): void => {
  if (!idempotent || kind.idempotent) return
  rejectField('idempotent', idempotent, `false, because kind ${kind.kind} is configured as non-idempotent`)
}

/**
 * Returns the failure domain that records a non-idempotent request. Every process chooses the same
 * one as long as the set of configured domains stays the same. It is `undefined` when the request
 * names none and none is configured.
 */
export const getHomeDomain = (
  config: Config,
  request: { readonly customer: CustomerId, readonly key: RequestKey, readonly homeDomain?: DomainId }
): DomainId | undefined => {
  if (request.homeDomain !== undefined) return request.homeDomain
  const domains = config.fleet.domains.map((domain) => domain.id)
  return rankByRendezvous(`${request.customer}/${request.key}`, domains)[0]
}

const PLACE_BY_ADJACENCY: Readonly<Record<Shape['adjacency'], string>> = {
  worker: 'one worker',
  rack: 'one rack',
  any: 'one failure domain'
}

/** Throws `never-fits` when no worker, rack or domain (by adjacency) could hold the gang even when empty. */
export const checkFitsEmptyFleet = (shape: Shape, domains: readonly DomainConfig[]): void => {
  const largest = maxGangTasks(domains, shape)
  if (largest >= shape.tasks) return
  const names = domains.map((domain) => domain.id).join(', ') || 'none configured'
  throw new IbisError(
    'never-fits',
    `${describeShape(shape)}: ${PLACE_BY_ADJACENCY[shape.adjacency]} can hold at most ${largest} of the ${shape.tasks} tasks (failure domains: ${names})`,
    { info: { shape, needed: shape.tasks, largest } }
  )
}

/** Non-idempotent work runs in its home domain only; idempotent work runs in any domain. */
const listUsableDomains = (config: Config, job: JobMetadata): readonly DomainConfig[] => {
  if (job.idempotent) return config.fleet.domains
  const home = getHomeDomain(config, job)
  return config.fleet.domains.filter((domain) => domain.id === home)
}

const checkHomeDomain = (config: Config, homeDomain: DomainId | undefined): void => {
  if (homeDomain === undefined) return
  const ids = config.fleet.domains.map((domain) => domain.id)
  if (!ids.includes(homeDomain)) rejectField('homeDomain', homeDomain, `one of ${ids.join(', ') || 'none configured'}`)
}

/** Validates a caller's request against the configuration and fills in omitted fields from its kind. */
export const parseJobRequest = (input: unknown, config: Config): JobRequest => {
  const fields = checkValue(JobRequestSchema, input, 'request')
  if (exceedsDepth(fields.payload, MAX_PAYLOAD_DEPTH)) {
    rejectField('payload', 'a deeply nested value', `at most ${MAX_PAYLOAD_DEPTH} levels`)
  }
  if (!config.customers.some((customer) => customer.id === fields.customer)) {
    throw new IbisError('unknown-customer', `request: customer ${fields.customer} is not configured`)
  }
  const kind = config.kinds.find((item) => item.kind === fields.kind)
  if (!kind) throw new IbisError('unknown-kind', `request: kind ${fields.kind} is not configured`)
  const request: JobRequest = {
    ...fields,
    urgency: fields.urgency ?? kind.urgency,
    idempotent: fields.idempotent ?? kind.idempotent,
    expectedRunMs: fields.expectedRunMs ?? kind.expectedRunMs,
    deadlineMs: fields.deadlineMs ?? Math.min(MAX_DEADLINE_MS, DEFAULT_DEADLINE_FACTOR * kind.objective.startWithinMs)
  }
  checkUrgency(request.urgency, kind)
  checkIdempotent(request.idempotent, kind)
  checkHomeDomain(config, request.homeDomain)
  checkFitsEmptyFleet(request.shape, listUsableDomains(config, request))
  return request
}

/** Returns the request without its payload and resend flag. */
export const toMetadata = (request: JobRequest): JobMetadata => {
  const { payload, resend, ...metadata } = request
  return metadata
}

/**
 * Returns a digest that is equal for requests for the same work. Urgency, deadline, run time and home
 * domain are left out: a resend may state less time, and their defaults follow the configuration.
 */
export const fingerprintRequest = (request: JobRequest): string => {
  const { key, customer, caller, kind, shape, idempotent, payload } = request
  const text = encodeCanonical({ key, customer, caller, kind, shape, idempotent, payload })
  return createHash('sha256').update(text).digest('hex')
}
