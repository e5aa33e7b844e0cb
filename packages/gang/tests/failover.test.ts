import t from 'tap'
import { World, type Scenario } from './support/world.ts'

const toScenario = (seed: number, overrides: Partial<Scenario> = {}): Scenario => ({
  seed,
  endpoints: 4,
  slots: 2,
  leaseMs: 8_000,
  network: { loss: 0, duplication: 0, maxDelayMs: 20 },
  jobs: [
    { atMs: 0, tasks: 3, idempotent: true, work: { runMs: 25_000, fails: false, ignoresCheckpoint: false, answerBytes: 10 } },
    { atMs: 0, tasks: 4, idempotent: false, work: { runMs: 25_000, fails: false, ignoresCheckpoint: false, answerBytes: 10 } }
  ],
  // Both gangs are running by then, and over the seeds the kill times are spread evenly over the renewal period.
  faults: [{ type: 'kill-leader-at', atMs: 12_000 + 27 * seed, electionMs: 3_500 }],
  ...overrides
})

const countAdoptedRuns = (renewMs: number): { adopted: number, findings: string[] } => {
  let adopted = 0
  const findings: string[] = []
  for (let seed = 1; seed <= 100; seed++) {
    const world = new World(toScenario(seed, { renewMs }))
    findings.push(...world.run())
    const isEachTaskRunOnce = world.jobs.every(({ outcome }) => outcome === 'done') && world.executions.length === 7
    if (isEachTaskRunOnce) adopted += 1
  }
  return { adopted, findings }
}

// Guards against leases that expire during a change of leader of the usual maximum length, which would
// end long-running jobs.
t.test('running gangs survive a change of leader and run once (seeds 1 to 100)', async (t) => {
  const { adopted, findings } = countAdoptedRuns(1_000)
  t.same(findings, [])
  t.equal(adopted, 100)
})
