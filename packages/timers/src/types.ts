export type Unsubscribe = () => void

/** The one source of time. Decision code receives timestamps; edges subscribe. */
export interface TimerService {
  /** Milliseconds of a clock that never goes back; its origin is arbitrary. */
  now (): number
  /** Milliseconds since the Unix epoch; for reports only, never for decisions. */
  wallClock (): number
  /** Calls `fn` once after `delayMs`. */
  subscribe (delayMs: number, fn: () => void): Unsubscribe
  /** Calls `fn` every `periodMs`, first after one period. */
  every (periodMs: number, fn: () => void): Unsubscribe
  /** Resolves after `delayMs`. */
  delay (delayMs: number): Promise<void>
}
