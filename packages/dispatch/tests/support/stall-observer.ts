import { countFits, mustParseTaskId, subtractResources, type EndpointRecord, type JobEntry, type Resources, type SchedulingState, type StepSpec } from '@ibisstair/jobs'

/** Longest time for which work that could run may wait. */
const MAX_STALL_MS = 3_000
/** Time after its last run from which a task that lasts has to run. */
const RESTART_MS = 6_000
/** A service is idle while less than this share of its capacity is in use. */
const IDLE_SHARE = 0.5

const MEASURES = ['accelerators', 'cpuMilli', 'memMb'] as const
type Measure = typeof MEASURES[number]

/** Endpoints whose room counts: those that the planner may use, or all that are up and not draining. */
export type Room = 'usable' | 'up'

export interface Stall {
  /** `JOB.OCCURRENCE.STEP`, with the index for a task that lasts. */
  readonly work: string
  readonly room: Room
  /** Measures of which less than half is in use. */
  readonly idle: readonly Measure[]
  readonly sinceMs: number
  /** Nothing of the whole job was running at any time of the stall. */
  readonly isWholeJob: boolean
  /** Longest time seen so far. */
  lastedMs: number
}

interface View {
  readonly endpoint: EndpointRecord
  readonly free: Resources
  readonly isUsable: boolean
}

interface Waiting {
  readonly key: string
  readonly job: JobEntry
  readonly occurrence: number
  readonly step: number
  readonly spec: StepSpec
  readonly indexes: readonly number[]
}

/** Judges from the endpoints' side whether work waits that has room twice over. It asks nothing of the planner. */
export class StallObserver {
  readonly #open = new Map<string, Stall>()
  readonly #lastRunMs = new Map<string, number>()
  /** Stalls of 3 s and more, in the order in which they were found. */
  readonly stalls: Stall[] = []

  observe (state: SchedulingState, isUsable: (endpoint: EndpointRecord) => boolean, nowMs: number): void {
    const views = [...state.endpoints.list()].map((endpoint) => ({ endpoint, free: subtractResources(endpoint.capacity, state.jobs.getUsage(endpoint.life)), isUsable: isUsable(endpoint) }))
    const found = new Set<string>()
    const idleByService = new Map<string, readonly Measure[]>()
    for (const job of state.jobs.listActive()) {
      const { service } = job.policy
      const idle = idleByService.get(service) ?? listIdle(views.filter(({ endpoint }) => endpoint.service === service))
      idleByService.set(service, idle)
      for (const waiting of this.#listWaiting(job, nowMs)) {
        if (!waiting.spec.longRunning && idle.length === 0) continue
        for (const room of ['usable', 'up'] as const) if (hasRoomTwice(waiting, views, room, state)) this.#record(waiting, room, idle, nowMs, found)
      }
    }
    for (const key of this.#open.keys()) if (!found.has(key)) this.#open.delete(key)
  }

  #record ({ key, job }: Waiting, room: Room, idle: readonly Measure[], nowMs: number, found: Set<string>): void {
    const id = `${key}/${room}`
    found.add(id)
    const known = this.#open.get(id)
    const stall: Stall = {
      work: key,
      room,
      idle: known ? known.idle.filter((measure) => idle.includes(measure)) : idle,
      sinceMs: known?.sinceMs ?? nowMs,
      isWholeJob: (known?.isWholeJob ?? true) && job.activeRuns === 0,
      lastedMs: nowMs - (known?.sinceMs ?? nowMs)
    }
    this.#open.set(id, stall)
    if (stall.lastedMs < MAX_STALL_MS) return
    const index = this.stalls.findIndex(({ work, room: other, sinceMs }) => work === key && other === room && sinceMs === stall.sinceMs)
    if (index < 0) this.stalls.push(stall)
    else this.stalls[index] = stall
  }

  /** Work that waits while nothing of its occurrence runs, and each waiting task that lasts, from a while after its last run. */
  #listWaiting (job: JobEntry, nowMs: number): Waiting[] {
    return job.listDueOccurrences(nowMs).flatMap((occurrence) => {
      const { steps } = job.getOccurrence(occurrence)
      const isRunning = steps.some(({ activeTasks }) => activeTasks > 0)
      return steps.flatMap((entry, step): Waiting[] => {
        const spec = job.spec.steps[step]!
        if (!job.areDependenciesDone(occurrence, step)) return []
        const key = `${job.spec.id}.${occurrence}.${step}`
        const indexes = entry.tasks.flatMap(({ isDone, active }, index) => (isDone || active ? [] : [index]))
        if (!spec.longRunning) return isRunning || indexes.length === 0 ? [] : [{ key, job, occurrence, step, spec, indexes }]
        return this.#listWaitingLong({ key, job, occurrence, step, spec, indexes }, nowMs)
      })
    })
  }

  #listWaitingLong (waiting: Waiting, nowMs: number): Waiting[] {
    const { key, job, spec, indexes } = waiting
    for (let index = 0; index < spec.count; index++) {
      const task = `${key}.${index}`
      if (!indexes.includes(index)) this.#lastRunMs.set(task, nowMs)
      else if (!this.#lastRunMs.has(task)) this.#lastRunMs.set(task, job.acceptedAtMs)
    }
    return indexes.filter((index) => nowMs - this.#lastRunMs.get(`${key}.${index}`)! >= RESTART_MS)
      .map((index) => ({ ...waiting, key: `${key}.${index}`, indexes: spec.gang || spec.tightlyCoupled ? indexes : [index] }))
  }
}

const listIdle = (views: readonly View[]): Measure[] =>
  MEASURES.filter((measure) => {
    const total = views.reduce((sum, { endpoint }) => sum + endpoint.capacity[measure], 0)
    const free = views.reduce((sum, view) => sum + Math.max(0, view.free[measure]), 0)
    return total > 0 && total - free < IDLE_SHARE * total
  })

/** Whether two copies of the waiting work fit: all tasks of a gang or of a coupled step, two single tasks otherwise. */
const hasRoomTwice = ({ job, occurrence, step, spec, indexes }: Waiting, views: readonly View[], room: Room, state: SchedulingState): boolean => {
  const needed = 2 * (spec.gang ? spec.count : spec.tightlyCoupled ? indexes.length : 1)
  const countOn = ({ life }: EndpointRecord): number => [...state.jobs.listRuns(life).keys()].map(mustParseTaskId)
    .filter((ref) => ref.job === job.spec.id && ref.occurrence === occurrence && ref.step === step).length
  let fitting = 0
  for (const { endpoint, free, isUsable } of views) {
    if (endpoint.service !== job.policy.service || endpoint.draining || (room === 'usable' && !isUsable)) continue
    if (spec.requiredLabel !== null && !endpoint.labels.includes(spec.requiredLabel)) continue
    // Endpoints that have shrunk below what runs there must not get anything more.
    if (Math.min(free.cpuMilli, free.memMb, free.accelerators) < 0) continue
    const fits = countFits(free, spec.resources)
    fitting += spec.maxPerEndpoint === null ? fits : Math.max(0, Math.min(fits, spec.maxPerEndpoint - countOn(endpoint)))
    if (fitting >= needed) return true
  }
  return false
}
