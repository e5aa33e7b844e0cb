import { addResources, mustParseTaskId, subtractResources, type ActiveRun, type EndpointIncarnation, type EndpointRecord, type SchedulingState, type StepSpec } from '@ibisstair/jobs'
import { deductAssigned, indexByIncarnation, placeTasks, type Candidate, type CountOnEndpoint } from './placement.ts'

export interface DrainMovesInput {
  readonly state: SchedulingState
  /** Whether the endpoint may be given new work. */
  readonly isUsable: (endpoint: EndpointRecord) => boolean
  /** Whether the endpoint has confirmed the run, and no stop of it was ordered. */
  readonly isSteady: (run: ActiveRun) => boolean
}

/** Runs that leave a drained failure domain together: a single task, or a whole gang. */
interface Move {
  readonly service: string
  readonly spec: StepSpec
  readonly runs: readonly ActiveRun[]
  readonly indexes: readonly number[]
  readonly countOn: CountOnEndpoint
}

/** Largest number of steps of which a run is moved at a time: the endpoints of a large fleet are not all searched at once. */
const MAX_MOVES = 8

/**
 * Selects the runs to stop in drained failure domains so that they go on elsewhere. The load pattern: operators drain a
 * third of a fleet on which tasks run that never end by themselves. Only those that save checkpoints are moved, one at a
 * time for each step, and only while other endpoints have room: a stop would otherwise lose work or interrupt it for long.
 */
export const selectDrainMoves = (input: DrainMovesInput): ActiveRun[] => {
  const moves = listMoves(input)
  if (moves.length === 0) return []
  const candidates = indexByIncarnation(listCandidates(input))
  takeRoomForRestarts(input, candidates)
  const selected: Move[] = []
  /** Shapes without room: room only shrinks while moves are selected. */
  const failed = new Set<string>()
  for (const move of moves) {
    if (selected.length === MAX_MOVES) break
    const shape = `${move.service} ${JSON.stringify(move.spec)}`
    if (failed.has(shape)) continue
    if (placeElsewhere(move, candidates)) selected.push(move)
    else failed.add(shape)
  }
  return selected.flatMap(({ runs }) => runs)
}

/** Takes room for tasks that last and do not run at present, such as those that were moved before: they start before others are stopped. */
const takeRoomForRestarts = ({ state, isSteady }: DrainMovesInput, candidates: ReadonlyMap<EndpointIncarnation, Candidate>): void => {
  for (const job of state.jobs.listActive()) {
    job.spec.steps.forEach((spec, step) => {
      if (!spec.longRunning) return
      for (const { steps } of job.listBegunOccurrences()) {
        const restarting = steps[step]!.tasks.flatMap(({ active, lastRun }, index) => lastRun > 0 && (active === null || !isSteady(active)) ? [index] : [])
        const ofService = [...candidates.values()].filter(({ endpoint }) => endpoint.service === job.policy.service)
        if (restarting.length > 0) placeTasks(spec, restarting, ofService, () => 0, { acceptFar: true })
      }
    })
  }
}

/** Returns at most one move for each step. */
const listMoves = (input: DrainMovesInput): Move[] => {
  const { state } = input
  const moves = new Map<string, Move | null>()
  for (const { life, domain } of state.endpoints.list()) {
    if (!state.domainDrains.isDrained(domain)) continue
    for (const run of state.jobs.listRuns(life).values()) {
      const { job, occurrence, step } = mustParseTaskId(run.task)
      const key = `${job}.${occurrence}.${step}`
      if (!moves.has(key)) moves.set(key, toMove(run, input))
    }
  }
  return [...moves.values()].filter((move) => move !== null)
}

/** Returns null for a run that stays, or whose step has a task that does not run for certain: the move before it may not be over. */
const toMove = (run: ActiveRun, { state, isSteady }: DrainMovesInput): Move | null => {
  const { job: id, occurrence, step, index } = mustParseTaskId(run.task)
  const job = state.jobs.get(id)!
  const spec = job.spec.steps[step]!
  const { service } = job.policy
  if (!spec.longRunning || !spec.checkpointing) return null
  const active = job.getOccurrence(occurrence).steps[step]!.tasks.flatMap((task) => task.active ?? [])
  if (active.length < spec.count || !active.every(isSteady)) return null
  const countOn: CountOnEndpoint = (life) => active.filter(({ endpoint }) => endpoint === life).length
  if (!spec.gang) return { service, spec, runs: [run], indexes: [index], countOn }
  return { service, spec, runs: active, indexes: active.map((_, i) => i), countOn: () => 0 }
}

const listCandidates = ({ state, isUsable }: DrainMovesInput): Candidate[] =>
  [...state.endpoints.list()].filter(isUsable).map((endpoint) => ({ endpoint, free: subtractResources(endpoint.capacity, state.jobs.getUsage(endpoint.life)), penalty: 0 }))

/** Whether there is room beside what was placed before; if so, takes it. Members of a gang on other endpoints leave their room to it. */
const placeElsewhere = ({ service, spec, runs, indexes, countOn }: Move, candidates: ReadonlyMap<EndpointIncarnation, Candidate>): boolean => {
  for (const { endpoint } of runs) {
    const candidate = candidates.get(endpoint)
    if (candidate) candidate.free = addResources(candidate.free, spec.resources)
  }
  const ofService = [...candidates.values()].filter(({ endpoint }) => endpoint.service === service)
  // Data in a drained failure domain is far from everywhere else.
  const isPlaced = placeTasks(spec, indexes, ofService, countOn, { acceptFar: true }).length === indexes.length
  if (!isPlaced) deductAssigned(spec, runs.map(({ endpoint }, index) => ({ index, endpoint })), candidates)
  return isPlaced
}
