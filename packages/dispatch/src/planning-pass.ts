import type { CustomerId, TaskId } from '@ibisstair/common'
import type { ActiveRun, EndpointIncarnation, EndpointRecord, Resources, SchedulingState } from '@ibisstair/jobs'
import { mustParseTaskId, subtractResources } from '@ibisstair/jobs'
import { sumUrgentNeeds } from './guarantees.ts'
import { Isolation } from './isolation.ts'
import { indexByIncarnation, type Candidate, type CountOnEndpoint } from './placement.ts'
import { PassSpeeds } from './pass-speeds.ts'
import { NO_SCHEDULING_POLICY, NO_WORK_HISTORY, type FleetView, type Idleness, type PassView, type PlanInput, type SchedulingPolicy, type WorkHistory } from './plan-types.ts'
import type { ReadyWork } from './ready-work.ts'
import { getIdleness, sumFree } from './service-load.ts'
import { CHECKPOINT_INTERVAL_MS, VictimList, type EstimateRemaining, type VictimOptions } from './victims.ts'

const NO_CANDIDATES: readonly Candidate[] = []

/** What the pass has stopped, and what it has not stopped since stops are limited. */
interface StopFigures {
  limited: number
  lostCoreMs: number
}

/** The data of one planning pass; each part is computed at most once. */
export class PlanningPass implements PassView {
  readonly state: SchedulingState
  readonly fleet: FleetView
  readonly nowMs: number
  readonly wallMs: number
  readonly mayPreempt: boolean
  readonly policy: SchedulingPolicy
  readonly history: WorkHistory
  readonly candidates: readonly Candidate[]
  readonly speeds: PassSpeeds
  readonly byIncarnation: ReadonlyMap<EndpointIncarnation, Candidate>
  /** Accelerators that the urgent jobs of each customer need. */
  readonly needs: ReadonlyMap<CustomerId | null, number>
  /** Shapes that did not fit; free capacity only shrinks during a pass. */
  readonly failedShapes = new Set<string>()
  readonly isolation: Isolation
  readonly stopFigures: StopFigures = { limited: 0, lostCoreMs: 0 }
  readonly #byService = new Map<string, Candidate[]>()
  readonly #suspectsByService = new Map<string, Candidate[]>()
  readonly #idleness = new Map<string, Idleness>()
  readonly #isIdleWithSuspects = new Map<string, boolean>()
  readonly #free = new Map<string, Resources>()
  readonly #estimateRemaining: EstimateRemaining
  readonly #overdue: TaskId[] = []
  readonly #victimOptions: VictimOptions
  #victims: VictimList | null = null

  constructor ({ state, fleet, nowMs, wallMs, mayPreempt, policy = NO_SCHEDULING_POLICY, history = NO_WORK_HISTORY }: PlanInput, checkpointIntervalMs = CHECKPOINT_INTERVAL_MS) {
    this.state = state
    this.fleet = fleet
    this.nowMs = nowMs
    this.wallMs = wallMs
    this.mayPreempt = mayPreempt
    this.policy = policy
    this.history = history
    this.#victimOptions = { checkpointIntervalMs, limitsStops: policy.limitPreemption }
    this.#estimateRemaining = (run) => fleet.estimateRemainingMs(run)
    this.needs = sumUrgentNeeds(state)
    this.isolation = new Isolation(state, wallMs)
    this.candidates = [...state.endpoints.list()].filter((endpoint) => fleet.isUsable(endpoint)).map((endpoint) => this.#toCandidate(endpoint))
    this.speeds = new PassSpeeds(state.endpoints.list(), fleet, wallMs, history)
    this.byIncarnation = indexByIncarnation(this.candidates)
    for (const candidate of this.candidates) addToService(this.#byService, candidate)
    for (const endpoint of state.endpoints.list()) if (fleet.isSuspect(endpoint)) addToService(this.#suspectsByService, this.#toCandidate(endpoint))
  }

  /** Runs that the pass has chosen to preempt. */
  get preempted (): TaskId[] {
    return [...this.#victims?.stopped ?? [], ...this.#overdue]
  }

  /** Stops runs that a claim has waited for in vain. */
  stopOverdue (runs: readonly ActiveRun[]): void {
    this.#overdue.push(...runs.map(({ task }) => task))
  }

  get victims (): VictimList {
    this.#victims ??= new VictimList(this.state, this.needs, this.wallMs, this.#estimateRemaining, this.#victimOptions)
    return this.#victims
  }

  /** The endpoints of the service that runs the job. */
  listServiceCandidates ({ job }: ReadyWork): readonly Candidate[] {
    return this.#byService.get(job.policy.service) ?? NO_CANDIDATES
  }

  /** The endpoints of the service that get no new work only since they are suspect; their free capacity shrinks as they are used. */
  listSuspects ({ job }: ReadyWork): readonly Candidate[] {
    return this.#suspectsByService.get(job.policy.service) ?? NO_CANDIDATES
  }

  /** Whether less than half of any measure is in use on usable and suspect endpoints together, when this is first asked in a pass. */
  isIdleWithSuspects (work: ReadyWork): boolean {
    const { service } = work.job.policy
    const known = this.#isIdleWithSuspects.get(service)
    if (known !== undefined) return known
    const candidates = [...this.listServiceCandidates(work), ...this.listSuspects(work)]
    const isIdle = getIdleness(candidates.map(({ endpoint }) => endpoint), candidates) !== 'busy'
    this.#isIdleWithSuspects.set(service, isIdle)
    return isIdle
  }

  /** How much of the service's capacity is free when this is first asked in a pass. */
  getIdleness (work: ReadyWork): Idleness {
    const { service } = work.job.policy
    const known = this.#idleness.get(service)
    if (known !== undefined) return known
    const registered = [...this.state.endpoints.list()].filter((endpoint) => endpoint.service === service && !this.state.domainDrains.isDrained(endpoint.domain))
    const idleness = getIdleness(registered, this.listServiceCandidates(work))
    this.#idleness.set(service, idleness)
    return idleness
  }

  /** Returns the free capacity of the service's endpoints when this is first asked in a pass; it only shrinks later. */
  getFree (work: ReadyWork): Resources {
    const { service } = work.job.policy
    const known = this.#free.get(service)
    if (known !== undefined) return known
    const free = sumFree(this.listServiceCandidates(work))
    this.#free.set(service, free)
    return free
  }

  /** Those of them that may run the work: not the ones that are kept for a suspect of another job. */
  listCandidates (work: ReadyWork): readonly Candidate[] {
    return this.isolation.listOpen(this.listServiceCandidates(work), work)
  }

  /** Returns a counter of the step's tasks on an endpoint; it returns 0 when the step has no limit for each endpoint. */
  createCounter ({ job, occurrence, step, spec }: ReadyWork): CountOnEndpoint {
    if (spec.maxPerEndpoint === null) return () => 0
    return (incarnation) => [...this.state.jobs.listRuns(incarnation).keys()].filter((task) => {
      const ref = mustParseTaskId(task)
      return ref.job === job.spec.id && ref.occurrence === occurrence && ref.step === step
    }).length
  }

  #toCandidate (endpoint: EndpointRecord): Candidate {
    return {
      endpoint,
      free: subtractResources(endpoint.capacity, this.state.jobs.getUsage(endpoint.life)),
      penalty: this.fleet.getPenalty(endpoint),
      isCold: this.fleet.isCold(endpoint)
    }
  }
}

const addToService = (byService: Map<string, Candidate[]>, candidate: Candidate): void => {
  const { service } = candidate.endpoint
  const known = byService.get(service)
  if (known) known.push(candidate)
  else byService.set(service, [candidate])
}
