import { COINCIDENCE_MS } from '@ibisstair/crashes'
import type { EndpointIncarnation, Silence } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'
import { MAX_REPORTED_SILENT_ENDPOINTS } from './constants.ts'
import type { EndpointSession } from './endpoint-session.ts'

/** Returns since when an endpoint has not answered, and which others fell silent together with it; null if it answered the last call. */
export const describeSilence = (sessions: ReadonlyMap<EndpointIncarnation, EndpointSession>, life: EndpointIncarnation, timers: TimerService): Silence | null => {
  const session = sessions.get(life)
  const silentSinceMs = session?.silentSinceMs ?? null
  if (!session || silentSinceMs === null) return null
  const together = [...sessions].flatMap(([other, { silentSinceMs: otherSinceMs }]) => {
    const isTogether = other !== life && otherSinceMs !== null && Math.abs(otherSinceMs - silentSinceMs) <= COINCIDENCE_MS
    return isTogether ? [other] : []
  })
  // A session without any contact has found the endpoint silent: the time of the crash lies before the leader's term.
  const sinceMs = session.hasHadContact ? Math.round(timers.wallClock() - (timers.now() - silentSinceMs)) : null
  return { life, sinceMs, together: together.slice(0, MAX_REPORTED_SILENT_ENDPOINTS) }
}
