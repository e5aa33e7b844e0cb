import { asId, type EndpointId } from '@ibisstair/common'
import {
  MAX_ESTIMATED_ENDPOINTS, MAX_LOG_SPEED, MAX_MS_PER_PERCENT, MAX_OBSERVED_STEPS, MAX_SPEED_THOUSANDTHS, MAX_STEP_LINKS, MIN_MEDIAN_ENDPOINTS, MIN_MS_PER_PERCENT, LINKS_PER_SOLVE_PERIOD, SOLVE_PERIOD_MS, STEP_EXPIRY_MS
} from './constants.ts'
import { median } from './median.ts'
import { createEndpoint, createLink, foldLink, getConfidence, recordRun, toPrecision, type EndpointNode, type StepNode } from './speed-graph.ts'
import { solveSpeeds } from './speed-solver.ts'
import type { EndObservation, EndpointSpeed, RateObservation, SpeedSnapshot } from './speed-types.ts'

/** Percents of a whole run. */
const COMPLETE_PERCENT = 100

/**
 * Learns how fast endpoints are, relative to the median of their service, from the rates and run times of their runs.
 * Speeds belong to endpoint ids, so that they outlive restarts of an endpoint, and another id at the same address is
 * unknown. Performs no I/O; times are passed in.
 */
export class SpeedEstimator {
  /** The endpoint observed the longest ago is first. */
  readonly #endpoints = new Map<EndpointId, EndpointNode>()
  /** The step observed the longest ago is first. */
  readonly #steps = new Map<string, StepNode>()
  #links = 0
  #isSolved = true
  #solvedAtMs = -Infinity

  /** Takes the rate of a run that goes on. */
  recordRate ({ endpoint, members = [endpoint], service, queue, step, run, msPerPercent, observedMs, nowMs }: RateObservation): void {
    if (!(msPerPercent >= MIN_MS_PER_PERCENT && msPerPercent <= MAX_MS_PER_PERCENT && observedMs > 0)) return
    const ids = new Set(members)
    const isSpreadGang = ids.size > 1
    // A gang that starts again on other endpoints is compared anew.
    const node = this.#openStep(isSpreadGang ? `${step}#${run}` : step, `${service} ${queue}`, isSpreadGang, nowMs)
    for (const id of ids) {
      const link = node.links.get(id) ?? this.#link(node, this.#openEndpoint(id, service, nowMs), nowMs)
      recordRun(link, run, Math.log(msPerPercent), observedMs, nowMs)
    }
    this.#isSolved = false
    this.#evict()
  }

  /** Takes the run time of a run that has done its whole work. */
  recordEnd ({ runMs, ...observation }: EndObservation): void {
    this.recordRate({ ...observation, msPerPercent: runMs / COMPLETE_PERCENT, observedMs: runMs })
  }

  /** Returns null for an endpoint that was never observed. */
  getSpeed (endpoint: EndpointId, nowMs: number): EndpointSpeed | null {
    this.#solveIfDue(nowMs)
    const node = this.#endpoints.get(endpoint)
    return node ? { speed: node.speed, confidence: getConfidence(node, nowMs), ageMs: nowMs - node.newestAtMs } : null
  }

  toSnapshot (nowMs: number): SpeedSnapshot {
    this.#solveIfDue(nowMs)
    const known = [...this.#endpoints.values()]
      .map((node) => ({ node, tenths: Math.min(9, Math.floor(10 * getConfidence(node, nowMs))) }))
      .filter(({ tenths }) => tenths > 0)
    return {
      ids: known.map(({ node }) => node.id).join(' '),
      speeds: known.map(({ node }) => Math.min(MAX_SPEED_THOUSANDTHS, Math.round(1_000 * node.speed))),
      confidences: known.map(({ tenths }) => tenths).join('')
    }
  }

  /** Takes over a copy for all endpoints that were not observed here. Entries that make no sense are left out. */
  restore ({ ids, speeds, confidences }: SpeedSnapshot, nowMs: number): void {
    const names = ids === '' ? [] : ids.split(' ')
    names.slice(0, MAX_ESTIMATED_ENDPOINTS).forEach((name, i) => {
      const speed = speeds[i]! / 1_000
      const confidence = Number(confidences[i]) / 10
      const id = asId<EndpointId>(name)
      if (!(speed > 0 && confidence > 0) || this.#endpoints.has(id)) return
      const node = createEndpoint(id, null, nowMs)
      node.memory = { mean: toMemoryMean(speed, confidence), precision: toPrecision(confidence), atMs: nowMs }
      this.#endpoints.set(id, node)
    })
    this.#isSolved = false
    this.#solvedAtMs = -Infinity
    this.#evict()
  }

  #openStep (key: string, queue: string, isSpreadGang: boolean, nowMs: number): StepNode {
    const step = this.#steps.get(key) ?? { key, queue, isSpreadGang, links: new Map(), atMs: nowMs, logWork: 0 }
    this.#steps.delete(key)
    this.#steps.set(key, step)
    return step
  }

  #openEndpoint (id: EndpointId, service: string, nowMs: number): EndpointNode {
    const node = this.#endpoints.get(id) ?? createEndpoint(id, service, nowMs)
    node.service = service
    this.#endpoints.delete(id)
    this.#endpoints.set(id, node)
    return node
  }

  #link (step: StepNode, endpoint: EndpointNode, nowMs: number): ReturnType<typeof createLink> {
    this.#links += 1
    return createLink(step, endpoint, nowMs)
  }

  #retire (step: StepNode): void {
    this.#steps.delete(step.key)
    this.#links -= step.links.size
    for (const link of step.links.values()) foldLink(link)
  }

  #evict (): void {
    for (const step of this.#steps.values()) {
      if (this.#steps.size <= MAX_OBSERVED_STEPS && this.#links <= MAX_STEP_LINKS) break
      this.#retire(step)
    }
    for (const node of this.#endpoints.values()) {
      if (this.#endpoints.size <= MAX_ESTIMATED_ENDPOINTS) break
      this.#remove(node)
    }
  }

  #remove ({ id, links }: EndpointNode): void {
    this.#endpoints.delete(id)
    this.#links -= links.size
    for (const { step } of links) {
      step.links.delete(id)
      if (step.links.size === 0) this.#steps.delete(step.key)
    }
  }

  #solveIfDue (nowMs: number): void {
    const periodMs = SOLVE_PERIOD_MS * Math.max(1, this.#links / LINKS_PER_SOLVE_PERIOD)
    if (this.#isSolved || nowMs - this.#solvedAtMs < periodMs) return
    this.#isSolved = true
    this.#solvedAtMs = nowMs
    for (const step of this.#steps.values()) {
      if (nowMs - step.atMs < STEP_EXPIRY_MS) break
      this.#retire(step)
    }
    const endpoints = [...this.#endpoints.values()]
    solveSpeeds([...this.#steps.values()], endpoints)
    normalise(endpoints)
  }
}

/** Undoes the pull of the prior, which is applied again with the next solution. */
const toMemoryMean = (speed: number, confidence: number): number =>
  Math.min(MAX_LOG_SPEED, Math.max(-MAX_LOG_SPEED, Math.log(speed) / confidence))

/**
 * Sets the speeds relative to the median of each service. Endpoints from a copy, whose service is not known yet, count for
 * every service: the first ones to be observed again need not be usual.
 */
const normalise = (endpoints: readonly EndpointNode[]): void => {
  const copied: EndpointNode[] = []
  const byService = new Map<string, EndpointNode[]>()
  for (const node of endpoints) {
    const { service } = node
    const known = service === null ? copied : byService.get(service)
    if (known) known.push(node)
    else byService.set(service!, [node])
  }
  for (const node of copied) node.speed = Math.exp(node.belief.mean)
  for (const nodes of byService.values()) {
    const means = [...nodes, ...copied].map(({ belief }) => belief.mean)
    const centre = means.length < MIN_MEDIAN_ENDPOINTS ? 0 : median(means)
    for (const node of nodes) node.speed = Math.exp(node.belief.mean - centre)
  }
}
