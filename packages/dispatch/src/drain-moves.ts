import { addResources, mustParseTaskId, subtractResources, type ActiveRun, type EndpointRecord, type Resources, type SchedulingState, type StepSpec } from '@ibisstair/jobs'
import { placeTasks, type Candidate, type CountOnEndpoint } from './placement.ts'

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

/**
 * Selects the runs to stop in drained failure domains so that they go on elsewhere. The load pattern: operators drain a
 * third of a fleet on which tasks run that never end by themselves. Only those that save checkpoints are moved, one at a
 * time for each step, and only while other endpoints have room: a stop would otherwise lose work or interrupt it for long.
 */
export const selectDrainMoves = (input: DrainMovesInput): ActiveRun[] => {
  const moves = listMoves(input)
  if (moves.length === 0) return []
  let candidates = listCandidates(input)
  return moves.flatMap((move) => {
    const remaining = placeElsewhere(move, candidates)
    if (remaining === null) return []
    candidates = remaining
    return move.runs
  })
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

/** Returns the candidates with what the moved runs leave free; null when there is no room for all of them. */
const placeElsewhere = ({ service, spec, runs, indexes, countOn }: Move, candidates: readonly Candidate[]): Candidate[] | null => {
  const released = candidates.map((candidate) => ({ ...candidate, free: release(candidate, runs, spec.resources) }))
  // Data in a drained failure domain is far from everywhere else.
  const placed = placeTasks(spec, indexes, released.filter(({ endpoint }) => endpoint.service === service), countOn, { acceptFar: true })
  return placed.length === indexes.length ? released : null
}

const release = ({ endpoint, free }: Candidate, runs: readonly ActiveRun[], resources: Resources): Resources =>
  runs.reduce((sum, run) => run.endpoint === endpoint.life ? addResources(sum, resources) : sum, free)
