import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import type { Candidate } from './placement.ts'
import type { ReadyWork } from './ready-work.ts'
import type { FleetView, WorkHistory } from './plan-types.ts'
import { getRequiredSpeed, URGENT_SPEED, USUAL_SPEED } from './required-speed.ts'
import { sumFreeAccelerators } from './deferrable-limits.ts'

/** Candidates that serve the work about equally well. */
export interface SpeedTier {
  readonly candidates: readonly Candidate[]
  /** Whether the speeds are unknown and the work is to spread over the endpoints, so that they become known. */
  readonly isExploratory: boolean
}

/** `slow` is fast enough for the work, but too slow for urgent work. */
type SpeedClass = 'fast' | 'unknown' | 'slow' | 'too-slow'

/** Urgent work avoids endpoints that may be slow. */
const URGENT_ORDER: readonly SpeedClass[] = ['fast', 'unknown', 'slow', 'too-slow']
/** Other work leaves fast endpoints to urgent work and explores those whose speed is unknown. */
const DEFAULT_ORDER: readonly SpeedClass[] = ['slow', 'unknown', 'fast', 'too-slow']

/**
 * The speeds of a planning pass, and the order of endpoints by them. Answers the load of uneven endpoints: urgent work gets
 * the fast ones, and work with slack those that are too slow for urgent work. While no endpoint is too slow, nothing changes.
 */
export class PassSpeeds {
  readonly #wallMs: number
  readonly #history: WorkHistory
  readonly #endpoints: readonly EndpointRecord[]
  readonly #isKnown: (endpoint: EndpointRecord) => boolean
  /** Speeds other than 1. */
  readonly #unusual = new Map<EndpointIncarnation, number>()
  /** Lowest speed of each service with an endpoint that is slower than usual. */
  readonly #slowest = new Map<string, number>()
  #unknown: ReadonlySet<EndpointIncarnation> | null = null

  constructor (endpoints: Iterable<EndpointRecord>, fleet: Pick<FleetView, 'getSpeed' | 'isSpeedKnown'>, wallMs: number, history: WorkHistory) {
    this.#wallMs = wallMs
    this.#history = history
    this.#endpoints = [...endpoints]
    this.#isKnown = (endpoint) => fleet.isSpeedKnown(endpoint)
    for (const endpoint of this.#endpoints) {
      const speed = fleet.getSpeed(endpoint)
      if (speed === USUAL_SPEED) continue
      this.#unusual.set(endpoint.life, speed)
      this.#slowest.set(endpoint.service, Math.min(this.#getSlowest(endpoint.service), speed))
    }
  }

  get (life: EndpointIncarnation): number {
    return this.#unusual.get(life) ?? USUAL_SPEED
  }

  /** Whether any endpoint of the work's service is too slow for urgent work that starts at once. */
  isUneven ({ job }: ReadyWork): boolean {
    return this.#getSlowest(job.policy.service) < URGENT_SPEED
  }

  /** Returns the speed that tells fast endpoints from slow ones for the work; null when all or none of the candidates have it. */
  getDividingSpeed (work: ReadyWork, candidates: readonly Candidate[]): number | null {
    if (!this.isUneven(work)) return null
    const required = getRequiredSpeed(work, this.#wallMs, this.#history)
    if (required <= this.#getSlowest(work.job.policy.service)) return null
    return candidates.some(({ endpoint }) => this.get(endpoint.life) >= required) ? required : null
  }

  /**
   * Splits the candidates into tiers, to be used in this order. Urgent work uses endpoints that are fast enough first, other
   * work first those among them that are too slow for urgent work, and then those of unknown speed.
   */
  listTiers (work: ReadyWork, candidates: readonly Candidate[]): SpeedTier[] {
    if (!this.isUneven(work)) return [{ candidates, isExploratory: false }]
    const required = getRequiredSpeed(work, this.#wallMs, this.#history)
    const isUrgent = work.job.policy.priority === 0
    const byClass = new Map<SpeedClass, Candidate[]>((isUrgent ? URGENT_ORDER : DEFAULT_ORDER).map((speedClass) => [speedClass, []]))
    for (const candidate of candidates) byClass.get(this.#classify(candidate, required))!.push(candidate)
    return [...byClass]
      .filter(([, tier]) => tier.length > 0)
      .map(([speedClass, tier]) => ({ candidates: tier, isExploratory: speedClass === 'unknown' && !isUrgent }))
  }

  #getSlowest (service: string): number {
    return this.#slowest.get(service) ?? USUAL_SPEED
  }

  #classify ({ endpoint }: Candidate, required: number): SpeedClass {
    const speed = this.get(endpoint.life)
    if (speed < required) return 'too-slow'
    if (speed < URGENT_SPEED) return 'slow'
    return this.#listUnknown().has(endpoint.life) ? 'unknown' : 'fast'
  }

  /** Endpoints are asked once in a pass, and only in an uneven fleet. */
  #listUnknown (): ReadonlySet<EndpointIncarnation> {
    this.#unknown ??= new Set(this.#endpoints.filter((endpoint) => !this.#isKnown(endpoint)).map(({ life }) => life))
    return this.#unknown
  }

  /** Returns the free accelerators beside a reserve, which slow endpoints can't serve. */
  sumFreeBeside (reserve: number, candidates: readonly Candidate[]): number {
    const free = sumFreeAccelerators(candidates)
    if (this.#unusual.size === 0) return free - reserve
    const slowFree = sumFreeAccelerators(candidates.filter(({ endpoint }) => this.get(endpoint.life) < URGENT_SPEED))
    return slowFree + Math.max(0, free - slowFree - reserve)
  }
}
