import type { TimerService, Unsubscribe } from './types.ts'

/** Timers on the clocks and the event loop of the Node.js process. */
export class SystemTimerService implements TimerService {
  now (): number {
    return performance.now()
  }

  wallClock (): number {
    return Date.now()
  }

  subscribe (delayMs: number, fn: () => void): Unsubscribe {
    const dueMs = this.now() + Math.max(0, delayMs)
    // Node.js timers count whole milliseconds and can fire up to one millisecond early by this clock. A caller
    // that compares the time with its deadline would then wait for a timer that has already fired.
    const fire = (): void => {
      const leftMs = dueMs - this.now()
      if (leftMs <= 0) return fn()
      handle = setTimeout(fire, Math.ceil(leftMs))
    }
    let handle = setTimeout(fire, Math.max(0, delayMs))
    return () => clearTimeout(handle)
  }

  every (periodMs: number, fn: () => void): Unsubscribe {
    const handle = setInterval(fn, periodMs)
    return () => clearInterval(handle)
  }

  delay (delayMs: number): Promise<void> {
    return new Promise((resolve) => { this.subscribe(delayMs, resolve) })
  }
}
