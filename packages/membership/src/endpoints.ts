import { assertNever, invariant, type EndpointId } from '@ibisstair/common'
import type { EndpointInfo } from '@ibisstair/model'
import {
  ANNOUNCEMENT_EXPIRY_MS, ANNOUNCEMENT_OVERDUE_MS, MASS_EXPIRY_FRACTION, MASS_EXPIRY_MIN_ENDPOINTS, MAX_ENDPOINTS,
  PROBE_MAX_DELAY_MS, PROBE_MIN_DELAY_MS, UNREACHABLE_AFTER_FAILURES
} from './constants.ts'
import type {
  EndpointChange, EndpointDirectoryOptions, EndpointDirectoryStats, EndpointDownReason, EndpointEvent
} from './types.ts'

interface Entry {
  info: EndpointInfo
  lastAnnouncedAtMs: number
  /** Expired entries are kept, so that an old announcement cannot bring the endpoint back. */
  isExpired: boolean
  consecutiveFailures: number
  isUnreachable: boolean
  probeAtMs: number
  probeDelayMs: number
}

const isNewer = (a: EndpointInfo, b: EndpointInfo): boolean =>
  a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.sequence > b.sequence)

/** Compares all fields except the sequence number; a difference is reported as an `up` change. */
const hasSameContent = (a: EndpointInfo, b: EndpointInfo): boolean =>
  a.incarnation === b.incarnation && a.address === b.address && a.port === b.port && a.domain === b.domain &&
  a.rack === b.rack && a.slots === b.slots && a.connections === b.connections &&
  a.accelerators === b.accelerators && a.leaving === b.leaving

/** Tracks the endpoints of one failure domain from their announcements and the results of calls to them. */
export class EndpointDirectory {
  readonly #entries = new Map<EndpointId, Entry>()
  readonly #expiryMs: number
  readonly #overdueMs: number
  readonly #maxEndpoints: number
  #nowMs = -Infinity
  #staleCount = 0
  #expiredCount = 0
  #restartedCount = 0
  #rejectedCount = 0

  constructor (options: EndpointDirectoryOptions = {}) {
    this.#expiryMs = options.expiryMs ?? ANNOUNCEMENT_EXPIRY_MS
    this.#overdueMs = options.overdueMs ?? Math.min(ANNOUNCEMENT_OVERDUE_MS, this.#expiryMs)
    this.#maxEndpoints = options.maxEndpoints ?? MAX_ENDPOINTS
  }

  /** Applies an event and returns the resulting changes, in the order in which to act on them. */
  handle (event: EndpointEvent, nowMs: number): EndpointChange[] {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
    const changes = this.#dispatch(event)
    invariant(this.#entries.size <= this.#maxEndpoints, 'the number of endpoints is bounded', this.#entries.size)
    return changes
  }

  /** Returns undefined for an endpoint that is unknown or has expired. */
  get (endpointId: EndpointId): EndpointInfo | undefined {
    const entry = this.#entries.get(endpointId)
    return entry && !entry.isExpired ? entry.info : undefined
  }

  /** Returns every endpoint that has not expired. Includes leaving and unreachable ones, because they may still run tasks. */
  list (): EndpointInfo[] {
    return [...this.#entries.values()].filter(({ isExpired }) => !isExpired).map(({ info }) => info)
  }

  /** Returns the endpoints that may receive new work. */
  listUsable (): EndpointInfo[] {
    return [...this.#entries.values()]
      .filter(({ isExpired, isUnreachable, info }) => !isExpired && !isUnreachable && !info.leaving)
      .map(({ info }) => info)
  }

  getStats (): EndpointDirectoryStats {
    let up = 0
    let leaving = 0
    let unreachable = 0
    for (const { info, isExpired, isUnreachable } of this.#entries.values()) {
      if (isExpired) continue
      up += 1
      if (info.leaving) leaving += 1
      if (isUnreachable) unreachable += 1
    }
    return { up, leaving, unreachable, stale: this.#staleCount, expired: this.#expiredCount, restarted: this.#restartedCount, rejected: this.#rejectedCount }
  }

  #dispatch (event: EndpointEvent): EndpointChange[] {
    switch (event.type) {
      case 'announce': return this.#onAnnounce(event.info)
      case 'call-ok': return this.#onCallOk(event.endpointId)
      case 'call-failed': return this.#onCallFailed(event.endpointId)
      case 'tick': return [...this.#expire(), ...this.#probe()]
      default: return assertNever(event)
    }
  }

  #onAnnounce (info: EndpointInfo): EndpointChange[] {
    const entry = this.#entries.get(info.id)
    if (!entry) return this.#add(info)
    if (!isNewer(info, entry.info)) {
      this.#staleCount += 1
      return []
    }
    const previous = entry.info
    const wasExpired = entry.isExpired
    entry.info = info
    entry.lastAnnouncedAtMs = this.#nowMs
    entry.isExpired = false
    if (info.incarnation > previous.incarnation) return this.#onRestart(entry, previous, wasExpired)
    return wasExpired || !hasSameContent(info, previous) ? [{ type: 'up', info }] : []
  }

  #onRestart (entry: Entry, previous: EndpointInfo, wasExpired: boolean): EndpointChange[] {
    this.#restartedCount += 1
    entry.consecutiveFailures = 0
    entry.isUnreachable = false
    const up: EndpointChange = { type: 'up', info: entry.info }
    return wasExpired ? [up] : [this.#createDownChange(previous, 'restarted', false), up]
  }

  #add (info: EndpointInfo): EndpointChange[] {
    if (this.#entries.size >= this.#maxEndpoints && !this.#evictOldestExpired()) {
      this.#rejectedCount += 1
      return []
    }
    this.#entries.set(info.id, {
      info,
      lastAnnouncedAtMs: this.#nowMs,
      isExpired: false,
      consecutiveFailures: 0,
      isUnreachable: false,
      probeAtMs: 0,
      probeDelayMs: PROBE_MIN_DELAY_MS
    })
    return [{ type: 'up', info }]
  }

  #evictOldestExpired (): boolean {
    let oldest: Entry | undefined
    for (const entry of this.#entries.values()) {
      if (entry.isExpired && (!oldest || entry.lastAnnouncedAtMs < oldest.lastAnnouncedAtMs)) oldest = entry
    }
    if (!oldest) return false
    return this.#entries.delete(oldest.info.id)
  }

  #expire (): EndpointChange[] {
    const live = [...this.#entries.values()].filter(({ isExpired }) => !isExpired)
    const expiring = live.filter(({ lastAnnouncedAtMs }) => this.#nowMs - lastAnnouncedAtMs >= this.#expiryMs)
    if (expiring.length === 0) return []
    // Announcements are spread over a period, so in a mass expiry the other endpoints are overdue before they expire.
    const overdue = live.filter(({ lastAnnouncedAtMs, info }) => !info.leaving && this.#nowMs - lastAnnouncedAtMs >= this.#overdueMs)
    const inMass = overdue.length >= MASS_EXPIRY_MIN_ENDPOINTS && overdue.length >= live.length * MASS_EXPIRY_FRACTION
    const changes: EndpointChange[] = []
    if (inMass) changes.push({ type: 'mass-expiry', overdue: overdue.map(({ info }) => info.id), known: live.length })
    for (const entry of expiring) {
      entry.isExpired = true
      this.#expiredCount += 1
      changes.push(this.#createDownChange(entry.info, entry.info.leaving ? 'left' : 'expired', inMass && !entry.info.leaving))
    }
    return changes
  }

  #onCallOk (endpointId: EndpointId): EndpointChange[] {
    const entry = this.#entries.get(endpointId)
    if (!entry) return []
    entry.consecutiveFailures = 0
    if (!entry.isUnreachable) return []
    entry.isUnreachable = false
    return entry.isExpired ? [] : [{ type: 'up', info: entry.info }]
  }

  #onCallFailed (endpointId: EndpointId): EndpointChange[] {
    const entry = this.#entries.get(endpointId)
    if (!entry) return []
    entry.consecutiveFailures += 1
    if (entry.isUnreachable) {
      entry.probeDelayMs = Math.min(entry.probeDelayMs * 2, PROBE_MAX_DELAY_MS)
      entry.probeAtMs = this.#nowMs + entry.probeDelayMs
      return []
    }
    if (entry.consecutiveFailures < UNREACHABLE_AFTER_FAILURES) return []
    entry.isUnreachable = true
    entry.probeDelayMs = PROBE_MIN_DELAY_MS
    entry.probeAtMs = this.#nowMs + entry.probeDelayMs
    return entry.isExpired ? [] : [this.#createDownChange(entry.info, 'unreachable', false)]
  }

  #probe (): EndpointChange[] {
    const due = [...this.#entries.values()].filter((entry) =>
      entry.isUnreachable && !entry.isExpired && entry.probeAtMs <= this.#nowMs)
    for (const entry of due) entry.probeAtMs = this.#nowMs + entry.probeDelayMs
    return due.map(({ info }) => ({ type: 'probe', endpointId: info.id }))
  }

  #createDownChange (info: EndpointInfo, reason: EndpointDownReason, inMass: boolean): EndpointChange {
    return { type: 'down', endpointId: info.id, incarnation: info.incarnation, reason, inMass }
  }
}
