import type { EndpointIncarnation, EndpointRecord, SchedulingState } from '@ibisstair/jobs'
import type { TimerService } from '@ibisstair/timers'
import { LEAVE_ANSWER_DELAY_MAX_MS, LEAVE_GRACE_MS } from './constants.ts'

/**
 * Endpoints that have said that they leave, during one term of leadership. An endpoint ends when it gets the answer to
 * its message, and its runs with it. So the answer waits until their ends are committed: otherwise nothing but the
 * end of their leases would show that they no longer run.
 */
export class LeavingEndpoints {
  readonly #state: SchedulingState
  readonly #timers: TimerService
  readonly #sinceMs = new Map<EndpointIncarnation, number>()
  /** Answers that wait for the end of the runs. */
  readonly #answers = new Map<EndpointIncarnation, Set<() => void>>()

  constructor (state: SchedulingState, timers: TimerService) {
    this.#state = state
    this.#timers = timers
  }

  has (incarnation: EndpointIncarnation): boolean {
    return this.#sinceMs.has(incarnation)
  }

  add (incarnation: EndpointIncarnation): void {
    if (!this.#sinceMs.has(incarnation)) this.#sinceMs.set(incarnation, this.#timers.now())
  }

  /** Resolves when the message may be answered: once no run is active there, and early enough for the caller in any case. */
  async waitForRuns (incarnation: EndpointIncarnation): Promise<void> {
    if (!this.#hasRuns(incarnation)) return
    const answers = this.#answers.get(incarnation) ?? new Set()
    this.#answers.set(incarnation, answers)
    await new Promise<void>((resolve) => {
      const answer = (): void => {
        stopTimer()
        answers.delete(answer)
        resolve()
      }
      const stopTimer = this.#timers.subscribe(LEAVE_ANSWER_DELAY_MAX_MS, answer)
      answers.add(answer)
    })
  }

  /** Sends the answers that need not wait any longer, and forgets the endpoints that are removed. */
  handleApplied (): void {
    for (const incarnation of this.#sinceMs.keys()) {
      if (!this.#hasRuns(incarnation)) this.#sendAnswers(incarnation)
      if (!this.#state.endpoints.get(incarnation)) this.#sinceMs.delete(incarnation)
    }
  }

  /** Returns the endpoints to be removed: no run is active there, and the time for a late answer is over. */
  listRemovable (): EndpointRecord[] {
    const now = this.#timers.now()
    return [...this.#sinceMs].flatMap(([incarnation, sinceMs]) => {
      const record = this.#state.endpoints.get(incarnation)
      return record && now - sinceMs >= LEAVE_GRACE_MS && !this.#hasRuns(incarnation) ? [record] : []
    })
  }

  /** The endpoints ask the next leader. */
  close (): void {
    for (const incarnation of [...this.#answers.keys()]) this.#sendAnswers(incarnation)
  }

  #sendAnswers (incarnation: EndpointIncarnation): void {
    for (const answer of [...this.#answers.get(incarnation) ?? []]) answer()
    this.#answers.delete(incarnation)
  }

  #hasRuns (incarnation: EndpointIncarnation): boolean {
    return this.#state.jobs.listRuns(incarnation).size > 0
  }
}
