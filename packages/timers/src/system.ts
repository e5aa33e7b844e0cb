import type { TimerService, Unsubscribe } from './types.ts'

export class SystemTimerService implements TimerService {
  now (): number {
    return performance.now()
  }

  wallClock (): number {
    return Date.now()
  }

  subscribe (delayMs: number, fn: () => void): Unsubscribe {
    const handle = setTimeout(fn, Math.max(0, delayMs))
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
