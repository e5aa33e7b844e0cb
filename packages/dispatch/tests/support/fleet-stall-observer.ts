import type { TaskId } from '@ibisstair/common'
import { countFits, isSufficientFor, subtractResources, toTaskId, type JobEntry, type Resources, type StepSpec } from '@ibisstair/jobs'
import type { FakeEndpointView } from './fake-fleet.ts'
import type { TestCluster } from './test-cluster.ts'

const SAMPLE_MS = 100
/** Time for which waiting work must have had nothing running. */
const MAX_STALL_MS = 3_000
/** Time after a fault that does not count. */
const CALM_MS = 3_000
/** A task that lasts is to run again within this time. */
const RESTART_BOUND_MS = 6_000
/** An endpoint counts as room from this age on, so that it has announced itself. */
const MIN_AGE_MS = 1_000
const MAX_USED_SHARE = 0.5

interface Room {
  readonly view: FakeEndpointView
  readonly free: Resources
  readonly isUsable: boolean
}

export interface Stall {
  readonly work: string
  readonly sinceMs: number
  /** Grows while the stall goes on. */
  lastsMs: number
  readonly detail: string
}

/**
 * Watches from the endpoints' side whether work stalls: a job has nothing running on any endpoint, or a task that lasts
 * does not run, although its turn has come, most of the fleet is free, and there is room for twice the work.
 */
export class FleetStallObserver {
  readonly stalls: Stall[] = []
  readonly #cluster: TestCluster
  readonly #sinceMs = new Map<string, number>()
  readonly #lastRanMs = new Map<TaskId, number>()
  readonly #open = new Map<string, Stall>()
  #faultAtMs = 0

  constructor (cluster: TestCluster) {
    this.#cluster = cluster
    cluster.timers.every(SAMPLE_MS, () => this.#sample())
  }

  /** A fault began or ended. */
  recordFault (): void {
    this.#faultAtMs = this.#cluster.timers.now()
  }

  /** Stalls as lines for a failed test. */
  describe (): string[] {
    return this.stalls.map(({ work, sinceMs, lastsMs, detail }) => `${work} has nothing running from ${sinceMs} ms on for ${lastsMs} ms: ${detail}`)
  }

  #sample (): void {
    const { fleet, state, timers, hasQuorum, leaderChangedAtMs } = this.#cluster
    const now = timers.now()
    if (!hasQuorum) this.#faultAtMs = now
    const calmFromMs = Math.max(this.#faultAtMs, leaderChangedAtMs) + CALM_MS
    const views = fleet.listViews()
    const running = new Set(views.flatMap(({ tasks }) => tasks))
    for (const task of running) this.#lastRanMs.set(task, now)
    const rooms = this.#listRooms(views)
    const isIdle = this.#isIdle(rooms)
    const waiting = new Set<string>()
    for (const job of state.jobs.listActive()) {
      const isRunning = [...running].some((task) => task.startsWith(`${job.spec.id}.`))
      for (const { key, spec, tasks, fromMs } of this.#listWaiting(job, running, isRunning)) {
        if (!isIdle || !hasRoomTwice(spec, tasks.length, rooms)) continue
        waiting.add(key)
        this.#record(key, Math.max(fromMs, calmFromMs), `${tasks.length} of ${spec.count} tasks wait; ${describeStates(job, tasks, this.#cluster)}`)
      }
    }
    for (const key of [...this.#sinceMs.keys()]) {
      if (waiting.has(key)) continue
      this.#sinceMs.delete(key)
      this.#open.delete(key)
    }
  }

  /** Returns waiting work that counts: all of a step, or each task that lasts by itself. */
  #listWaiting (job: JobEntry, running: ReadonlySet<TaskId>, isRunning: boolean) {
    const { fleet, timers } = this.#cluster
    return job.listDueOccurrences(timers.wallClock()).flatMap((occurrence) => job.spec.steps.flatMap((spec, step) => {
      if (!job.areDependenciesDone(occurrence, step)) return []
      const { tasks: entries } = job.getOccurrence(occurrence).steps[step]!
      const tasks = entries.flatMap(({ isDone }, index) => {
        const task = toTaskId({ job: job.spec.id, occurrence, step, index })
        return isDone || running.has(task) || fleet.isDone(task) ? [] : [task]
      })
      if (tasks.length === 0) return []
      if (spec.longRunning && !spec.gang) return tasks.map((task) => ({ key: task as string, spec, tasks: [task], fromMs: (this.#lastRanMs.get(task) ?? -Infinity) + RESTART_BOUND_MS }))
      if (isRunning) return []
      return [{ key: `${job.spec.id}.${occurrence}.${step}`, spec, tasks, fromMs: -Infinity }]
    }))
  }

  #record (key: string, fromMs: number, detail: string): void {
    const now = this.#cluster.timers.now()
    const sinceMs = Math.max(this.#sinceMs.get(key) ?? now, fromMs)
    this.#sinceMs.set(key, sinceMs)
    if (now - sinceMs <= MAX_STALL_MS) return
    const known = this.#open.get(key)
    if (known && known.sinceMs === sinceMs) {
      known.lastsMs = now - sinceMs
      return
    }
    const stall = { work: key, sinceMs, lastsMs: now - sinceMs, detail }
    this.#open.set(key, stall)
    this.stalls.push(stall)
  }

  #listRooms (views: readonly FakeEndpointView[]): Room[] {
    const { state } = this.#cluster
    return views.filter(({ record }) => !record.draining).map((view) => ({
      view,
      isUsable: view.isSound && this.#cluster.timers.now() - view.bornAtMs >= MIN_AGE_MS,
      free: view.tasks.reduce((free, task) => subtractResources(free, specOf(state.jobs, task).resources), view.record.capacity)
    }))
  }

  #isIdle (rooms: readonly Room[]): boolean {
    return (['accelerators', 'cpuMilli', 'memMb'] as const).every((key) => {
      const total = rooms.reduce((sum, { view }) => sum + view.record.capacity[key], 0)
      const free = rooms.reduce((sum, room) => sum + Math.max(0, room.free[key]), 0)
      return total > 0 && 1 - free / total < MAX_USED_SHARE
    })
  }
}

const specOf = (jobs: TestCluster['state']['jobs'], task: TaskId): StepSpec => {
  const [id, , step] = task.split('.') as [string, string, string]
  return jobs.get(id as Parameters<typeof jobs.get>[0])!.spec.steps[Number(step)]!
}

const hasRoomTwice = (spec: StepSpec, count: number, rooms: readonly Room[]): boolean => {
  const { resources, requiredLabel, maxPerEndpoint } = spec
  const fits = rooms.filter(({ view, free, isUsable }) => isUsable && isSufficientFor(free, resources) && (requiredLabel === null || view.record.labels.includes(requiredLabel)))
    .map(({ free }) => Math.min(countFits(free, resources), maxPerEndpoint ?? Infinity))
  return fits.reduce((sum, fit) => sum + fit, 0) >= 2 * count
}

const describeStates = (job: JobEntry, tasks: readonly TaskId[], { fleet }: TestCluster): string => tasks.slice(0, 3).map((task) => {
  const [, occurrence, step, index] = task.split('.').map(Number) as [number, number, number, number]
  const { active, crashes } = job.getOccurrence(occurrence).steps[step]!.tasks[index]!
  return `${task} ${active ? `is run ${active.run} on ${active.endpoint} (${fleet.describe(active.endpoint)})` : 'is not active'}${crashes.length > 0 ? ` after ${crashes.length} crashes` : ''}`
}).join(', ')
