import type { TimerService, Unsubscribe } from './types.ts'

interface TimerEntry {
  readonly dueMs: number
  readonly sequence: number
  readonly fn: () => void
}

/** Timers with virtual time for tests and the bench; no timer fires until `advance` or `runNext` is called. */
export class ManualTimerService implements TimerService {
  #now = 0
  #nextSequence = 0
  // Binary heap ordered by (dueMs, sequence), because the bench has tens of thousands of timers at a time.
  readonly #heap: TimerEntry[] = []
  readonly #cancelled = new WeakSet<TimerEntry>()

  now (): number {
    return this.#now
  }

  wallClock (): number {
    return this.#now
  }

  subscribe (delayMs: number, fn: () => void): Unsubscribe {
    const entry = { dueMs: this.#now + Math.max(0, delayMs), sequence: this.#nextSequence++, fn }
    this.#push(entry)
    return () => { this.#cancelled.add(entry) }
  }

  every (periodMs: number, fn: () => void): Unsubscribe {
    let stop: Unsubscribe
    const scheduleNext = (): void => {
      stop = this.subscribe(periodMs, () => {
        scheduleNext()
        fn()
      })
    }
    scheduleNext()
    return () => stop()
  }

  delay (delayMs: number): Promise<void> {
    return new Promise((resolve) => { this.subscribe(delayMs, resolve) })
  }

  /** Moves time to the next timer that is due no later than the time `limit`, and fires it. Returns false when there is none. */
  runNext (limit = Infinity): boolean {
    for (;;) {
      const top = this.#heap[0]
      if (!top || top.dueMs > limit) return false
      this.#pop()
      if (this.#cancelled.has(top)) continue
      this.#now = Math.max(this.#now, top.dueMs)
      top.fn()
      return true
    }
  }

  /** Moves time forward by `ms` and fires all timers that become due, in order. */
  advance (ms: number): void {
    const end = this.#now + ms
    while (this.runNext(end));
    this.#now = end
  }

  static #isBefore (a: TimerEntry, b: TimerEntry): boolean {
    return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.sequence < b.sequence)
  }

  #push (entry: TimerEntry): void {
    const heap = this.#heap
    let i = heap.push(entry) - 1
    while (i > 0) {
      const parent = (i - 1) >> 1
      if (!ManualTimerService.#isBefore(entry, heap[parent]!)) break
      heap[i] = heap[parent]!
      i = parent
    }
    heap[i] = entry
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop()!
    if (heap.length === 0) return
    let i = 0
    for (;;) {
      let child = 2 * i + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && ManualTimerService.#isBefore(heap[child + 1]!, heap[child]!)) child += 1
      if (!ManualTimerService.#isBefore(heap[child]!, last)) break
      heap[i] = heap[child]!
      i = child
    }
    heap[i] = last
  }
}
