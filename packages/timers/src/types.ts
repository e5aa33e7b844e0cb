export type Unsubscribe = () => void

/** The single source of time. Code that makes decisions receives timestamps; only the code around it subscribes to timers. */
export interface TimerService {
  /** Milliseconds of a monotonic clock with an arbitrary origin. */
  now (): number
  /** Milliseconds since the Unix epoch. For reports only, never for decisions. */
  wallClock (): number
  /** Calls `fn` once after `delayMs`, unless the returned function is called first. */
  subscribe (delayMs: number, fn: () => void): Unsubscribe
  /** Calls `fn` every `periodMs`, for the first time after one period, until the returned function is called. */
  every (periodMs: number, fn: () => void): Unsubscribe
  /** Resolves after `delayMs`. */
  delay (delayMs: number): Promise<void>
}
