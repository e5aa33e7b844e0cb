import fc from 'fast-check'
import { World, type Fault, type JobPlan, type Scenario, type TestOverrides } from './world.ts'

const timeMs = (max: number): fc.Arbitrary<number> => fc.integer({ min: 0, max })

const job: fc.Arbitrary<JobPlan> = fc.record({
  atMs: timeMs(10_000),
  tasks: fc.integer({ min: 1, max: 3 }),
  idempotent: fc.boolean(),
  work: fc.record({
    runMs: fc.oneof(timeMs(500), timeMs(20_000)),
    fails: fc.integer({ min: 0, max: 9 }).map((n) => n === 0),
    ignoresCheckpoint: fc.boolean(),
    answerBytes: fc.oneof({ weight: 9, arbitrary: timeMs(100) }, { weight: 1, arbitrary: fc.constant(70_000) })
  })
})

const step = fc.integer({ min: 1, max: 60 })
const electionMs = timeMs(4_000)
const deposedAfterMs = timeMs(30_000)
const endpoint = fc.integer({ min: 0, max: 4 })

const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({ type: fc.constant('kill-leader' as const), atStep: step, electionMs }),
  fc.record({ type: fc.constant('freeze-leader' as const), atStep: step, freezeMs: timeMs(20_000), electionMs, deposedAfterMs }),
  fc.record({ type: fc.constant('second-leader' as const), atStep: step, electionMs, deposedAfterMs }),
  fc.record({ type: fc.constant('kill-endpoint' as const), atMs: timeMs(30_000), endpoint, downMs: timeMs(10_000) }),
  fc.record({ type: fc.constant('hang-endpoint' as const), atMs: timeMs(30_000), endpoint, hangMs: timeMs(6_000) }),
  fc.record({ type: fc.constant('cut' as const), atMs: timeMs(30_000), endpoint, cutMs: timeMs(15_000) }),
  fc.record({ type: fc.constantFrom('cancel' as const, 'preempt' as const, 'throttle' as const), atMs: timeMs(30_000), job: fc.integer({ min: 0, max: 4 }) })
)

/** Generates scenarios: jobs, endpoints, a network and faults, each of limited size. */
export const scenarioArbitrary: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.integer({ min: 1, max: 0x7fffffff }),
  endpoints: fc.integer({ min: 1, max: 5 }),
  slots: fc.integer({ min: 1, max: 4 }),
  leaseMs: fc.constant(8_000),
  drifts: fc.boolean(),
  network: fc.record({
    loss: fc.constantFrom(0, 0.02, 0.2),
    duplication: fc.constantFrom(0, 0.1, 0.5),
    maxDelayMs: fc.constantFrom(50, 900, 3_000)
  }),
  jobs: fc.array(job, { minLength: 1, maxLength: 5 }),
  faults: fc.array(fault, { maxLength: 6 })
})

export interface SearchResult {
  readonly runs: number
  readonly scenario: Scenario | undefined
  readonly findings: readonly string[]
}

const runScenario = (scenario: Scenario, testOverrides: TestOverrides): string[] => {
  try {
    return new World(scenario, testOverrides).run()
  } catch (err) {
    return [err instanceof Error ? err.message : String(err)]
  }
}

/** Runs up to `runs` generated scenarios and returns the first one with a finding that matches `pattern`, after shrinking. */
export const search = (seed: number, runs: number, testOverrides: TestOverrides = {}, pattern = /./, maxShrinks = 300): SearchResult => {
  let shrinks = 0
  let lastFailure: { scenario: Scenario, findings: string[] } | undefined
  const property = fc.property(scenarioArbitrary, (scenario) => {
    if (lastFailure && ++shrinks > maxShrinks) return true
    const findings = runScenario(scenario, testOverrides).filter((finding) => pattern.test(finding))
    if (findings.length > 0) lastFailure = { scenario, findings }
    return findings.length === 0
  })
  const { numRuns } = fc.check(property, { seed, numRuns: runs })
  return { runs: numRuns, scenario: lastFailure?.scenario, findings: lastFailure?.findings ?? [] }
}
