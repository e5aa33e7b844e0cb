import type { EndpointId } from '@ibisstair/common'
import {
  CONFIDENCE_HALF_LIFE_MS, EVIDENCE_HALF_LIFE_MS, MAX_AVERAGED_RUNS, MAX_MEMORY_PRECISION, REPORT_JITTER_MS, SPEED_VARIANCE, TASK_VARIANCE
} from './constants.ts'
import { median } from './median.ts'

/** Mean and inverse variance of a logarithm. */
export interface Gaussian {
  readonly mean: number
  readonly precision: number
}

/** What is known of an endpoint. Logarithms of speed are not normalised. */
export interface EndpointNode {
  readonly id: EndpointId
  /** Null for an endpoint that is known only from a copy. */
  service: string | null
  /** Observations that have expired, and copies. */
  memory: Gaussian & { readonly atMs: number }
  readonly links: Set<StepLink>
  newestAtMs: number
  /** With the prior, as of the last solution. */
  belief: Gaussian
  /** Relative to the median of the service, as of the last solution. */
  speed: number
}

/** The runs of one step on one endpoint. */
export interface StepLink {
  readonly step: StepNode
  readonly endpoint: EndpointNode
  /** Observed rate and time of each run. */
  readonly runs: Map<string, { readonly logRate: number, readonly observedMs: number }>
  atMs: number
  logRate: number
  /** Variance of `logRate` for a given work and speed. */
  variance: number
  /** What the step says about the endpoint. */
  message: Gaussian
  /** Weight by its age, as of the last solution. */
  weight: number
  /** Weight of the observation; less than 1 if it deviates from what is known. */
  trust: number
}

/** A recent step and the endpoints that ran tasks of it. */
export interface StepNode {
  readonly key: string
  readonly queue: string
  /** A gang over several endpoints runs at the speed of its slowest member. */
  readonly isSpreadGang: boolean
  readonly links: Map<EndpointId, StepLink>
  atMs: number
  /** Logarithm of its work as its endpoints suggest it. */
  logWork: number
}

const PRIOR_PRECISION = 1 / SPEED_VARIANCE
/** Says nothing about an endpoint. */
export const NO_MESSAGE: Gaussian = { mean: 0, precision: 0 }

export const createEndpoint = (id: EndpointId, service: string | null, nowMs: number): EndpointNode => ({
  id,
  service,
  memory: { ...NO_MESSAGE, atMs: nowMs },
  links: new Set(),
  newestAtMs: nowMs,
  belief: { mean: 0, precision: PRIOR_PRECISION },
  speed: 1
})

export const createLink = (step: StepNode, endpoint: EndpointNode, nowMs: number): StepLink => {
  const link: StepLink = { step, endpoint, runs: new Map(), atMs: nowMs, logRate: 0, variance: 1, message: NO_MESSAGE, weight: 1, trust: 1 }
  step.links.set(endpoint.id, link)
  endpoint.links.add(link)
  return link
}

export const recordRun = (link: StepLink, run: string, logRate: number, observedMs: number, nowMs: number): void => {
  link.runs.set(run, { logRate, observedMs })
  const runs = [...link.runs.values()]
  const longestMs = Math.max(...runs.map((other) => other.observedMs))
  link.logRate = median(runs.map((other) => other.logRate))
  link.variance = TASK_VARIANCE / Math.min(runs.length, MAX_AVERAGED_RUNS) + (REPORT_JITTER_MS / Math.max(longestMs, 1)) ** 2
  link.atMs = nowMs
  link.step.atMs = nowMs
  link.endpoint.newestAtMs = Math.max(link.endpoint.newestAtMs, nowMs)
}

const decay = (ageMs: number, halfLifeMs: number): number => 2 ** (-Math.max(0, ageMs) / halfLifeMs)

const getWeight = ({ newestAtMs }: EndpointNode, atMs: number): number => decay(newestAtMs - atMs, EVIDENCE_HALF_LIFE_MS)

/** Sets the weights of the endpoint's observations by their age relative to the newest one. */
export const updateWeights = (endpoint: EndpointNode): void => {
  for (const link of endpoint.links) link.weight = getWeight(endpoint, link.atMs)
}

/** Combines what all steps and the memory say about the endpoint. */
export const updateBelief = (endpoint: EndpointNode): void => {
  const { memory, links } = endpoint
  let precision = memory.precision * getWeight(endpoint, memory.atMs)
  let sum = memory.mean * precision
  for (const { message, weight } of links) {
    const weighted = message.precision * weight
    precision += weighted
    sum += message.mean * weighted
  }
  precision += PRIOR_PRECISION
  endpoint.belief = { mean: sum / precision, precision }
}

/** Returns what is known of the endpoint without the step's own message, so that a step does not confirm itself. */
export const getCavity = ({ endpoint, message, weight }: StepLink): Gaussian => {
  const { mean, precision } = endpoint.belief
  const own = message.precision * weight
  const rest = Math.max(precision - own, PRIOR_PRECISION)
  return { mean: (mean * precision - message.mean * own) / rest, precision: rest }
}

/** Returns 0 for an unknown speed, towards 1 for one that is known exactly. */
export const getConfidence = ({ belief, newestAtMs }: EndpointNode, nowMs: number): number => {
  const known = Math.max(0, belief.precision - PRIOR_PRECISION) * decay(nowMs - newestAtMs, CONFIDENCE_HALF_LIFE_MS)
  return known / (known + PRIOR_PRECISION)
}

/** Inverse of `getConfidence` for an endpoint that was just observed. */
export const toPrecision = (confidence: number): number =>
  Math.min(MAX_MEMORY_PRECISION, PRIOR_PRECISION * confidence / Math.max(1 - confidence, 0.01))

/** Keeps what the link's step says about the endpoint, and drops the link. */
export const foldLink = (link: StepLink): void => {
  const { endpoint, message, atMs } = link
  endpoint.links.delete(link)
  const { memory } = endpoint
  const newestMs = Math.max(memory.atMs, atMs)
  const kept = memory.precision * decay(newestMs - memory.atMs, EVIDENCE_HALF_LIFE_MS)
  const added = message.precision * decay(newestMs - atMs, EVIDENCE_HALF_LIFE_MS)
  const total = kept + added
  if (total === 0) return
  endpoint.memory = { mean: (memory.mean * kept + message.mean * added) / total, precision: Math.min(MAX_MEMORY_PRECISION, total), atMs: newestMs }
}
