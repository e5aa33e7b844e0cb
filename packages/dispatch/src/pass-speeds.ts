import type { EndpointIncarnation, EndpointRecord } from '@ibisstair/jobs'
import type { Candidate } from './placement.ts'
import type { ReadyWork } from './ready-work.ts'
import type { FleetView } from './plan-types.ts'
import { getRequiredSpeed, URGENT_SPEED } from './required-speed.ts'
import { sumFreeAccelerators } from './shares.ts'

const USUAL_SPEED = 1

/** Candidates of about the same use for the work. */
export interface SpeedTier {
  readonly candidates: readonly Candidate[]
  /** Whether the work shall find out their speeds. */
  readonly isTrial: boolean
}

/** `slow` is fast enough for the work, but too slow for urgent work. */
type SpeedClass = 'fast' | 'unknown' | 'slow' | 'too-slow'

/** Urgent work avoids endpoints that may be slow; other work finds out which are. */
const URGENT_ORDER: readonly SpeedClass[] = ['fast', 'unknown', 'slow', 'too-slow']
const SLACK_ORDER: readonly SpeedClass[] = ['slow', 'unknown', 'fast', 'too-slow']

/**
 * The speeds of a planning pass, and the order of endpoints by them. Answers the load of uneven endpoints: urgent work gets
 * the fast ones, and work with slack those that are too slow for urgent work. While no endpoint is too slow, nothing changes.
 */
export class PassSpeeds {
  readonly #wallMs: number
  /** Speeds other than 1. */
  readonly #isKnown: (endpoint: EndpointRecord) => boolean
  readonly #unusual = new Map<EndpointIncarnation, number>()
  #slowest = USUAL_SPEED

  constructor (endpoints: Iterable<EndpointRecord>, fleet: Pick<FleetView, 'getSpeed' | 'isSpeedKnown'>, wallMs: number) {
    this.#wallMs = wallMs
    this.#isKnown = (endpoint) => fleet.isSpeedKnown(endpoint)
    for (const endpoint of endpoints) {
      const speed = fleet.getSpeed(endpoint)
      if (speed === USUAL_SPEED) continue
      this.#unusual.set(endpoint.life, speed)
      this.#slowest = Math.min(this.#slowest, speed)
    }
  }

  get (life: EndpointIncarnation): number {
    return this.#unusual.get(life) ?? USUAL_SPEED
  }

  /** Whether any endpoint is too slow for urgent work that starts at once. */
  get isUneven (): boolean {
    return this.#slowest < URGENT_SPEED
  }

  /** Returns the candidates on which the work can be in time; all of them if that is so for all or for none. */
  listFastEnough (work: ReadyWork, candidates: readonly Candidate[]): readonly Candidate[] {
    if (!this.isUneven) return candidates
    const required = getRequiredSpeed(work, this.#wallMs)
    if (required <= this.#slowest) return candidates
    const fast = candidates.filter(({ endpoint }) => this.get(endpoint.life) >= required)
    return fast.length === 0 ? candidates : fast
  }

  /**
   * Splits the candidates into tiers, to be used in this order. Urgent work uses endpoints that are fast enough first, other
   * work first those among them that are too slow for urgent work, and then those whose speed is to be found out.
   */
  listTiers (work: ReadyWork, candidates: readonly Candidate[]): SpeedTier[] {
    if (!this.isUneven) return [{ candidates, isTrial: false }]
    const required = getRequiredSpeed(work, this.#wallMs)
    const isUrgent = work.job.policy.priority === 0
    const byClass = new Map<SpeedClass, Candidate[]>((isUrgent ? URGENT_ORDER : SLACK_ORDER).map((speedClass) => [speedClass, []]))
    for (const candidate of candidates) byClass.get(this.#classify(candidate, required))!.push(candidate)
    return [...byClass]
      .filter(([, tier]) => tier.length > 0)
      .map(([speedClass, tier]) => ({ candidates: tier, isTrial: speedClass === 'unknown' && !isUrgent }))
  }

  #classify ({ endpoint }: Candidate, required: number): SpeedClass {
    const speed = this.get(endpoint.life)
    if (speed < required) return 'too-slow'
    if (speed < URGENT_SPEED) return 'slow'
    return this.#isKnown(endpoint) ? 'fast' : 'unknown'
  }

  /** Returns the free accelerators beside a reserve, which slow endpoints can't serve. */
  sumFreeBeside (reserve: number, candidates: readonly Candidate[]): number {
    if (!this.isUneven) return sumFreeAccelerators(candidates) - reserve
    const slow = candidates.filter(({ endpoint }) => this.get(endpoint.life) < URGENT_SPEED)
    const slowFree = sumFreeAccelerators(slow)
    return slowFree + Math.max(0, sumFreeAccelerators(candidates) - slowFree - reserve)
  }
}
