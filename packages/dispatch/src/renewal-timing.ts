import { COMMIT_POLL_INTERVAL_MS, RENEW_LONG_POLL_MS, SHORT_POLL_INTERVAL_MS, START_LONG_POLL_MS, STOP_POLL_INTERVAL_MS } from './constants.ts'
import type { RunPhase } from './tracked-run.ts'

/** Returns how long an endpoint with runs in these phases may hold back its answer to a renewal until a run ends. */
export const getRenewalWaitMs = (phases: ReadonlySet<RunPhase>): number => {
  if (phases.has('inherited') || phases.has('unconfirmed') || phases.has('stopping')) return 0
  // A start is usually answered; if it is not, the next report shows its outcome.
  return phases.has('starting') ? START_LONG_POLL_MS : RENEW_LONG_POLL_MS
}

export interface RenewalPauseOptions {
  readonly phases: ReadonlySet<RunPhase>
  /** Whether reported ends are not committed yet: the endpoint lists them again until they are acknowledged. */
  readonly awaitsCommit: boolean
  /** False if too many other renewals were waiting at endpoints for the last one to wait, too. */
  readonly mayWait: boolean
}

/** Returns the time between an answer and the next renewal. */
export const getRenewalPauseMs = ({ phases, awaitsCommit, mayWait }: RenewalPauseOptions): number => {
  if (awaitsCommit) return COMMIT_POLL_INTERVAL_MS
  // Stops take some time to be reported; polling more often would not speed them up.
  if (phases.has('stopping') || phases.has('unconfirmed')) return STOP_POLL_INTERVAL_MS
  return mayWait ? 0 : SHORT_POLL_INTERVAL_MS
}
