import fc from 'fast-check'
import t from 'tap'
import { createDriverCaseArbitrary, runDriverCase } from './support/driver-actions.ts'

// Guards against acknowledged commands that are lost, refused commands that are applied, and replicas that
// fail or do not catch up, under torn writes, lost disks, full disks and restarts during writes.
const SEED = 40961
const RUNS = 100

t.test('drivers keep acknowledged commands and never apply refused ones', async (t) => {
  t.comment(`seed ${SEED}, ${RUNS} runs`)
  await fc.assert(fc.asyncProperty(createDriverCaseArbitrary(), async (driverCase) => { await runDriverCase(driverCase) }), { seed: SEED, numRuns: RUNS })
})
