import type { StepSpec } from '@ibisstair/jobs'
import t from 'tap'
import { createStep } from '../../jobs/tests/support/samples.ts'
import { TestCluster } from './support/test-cluster.ts'

const single = (count: number, accelerators: number): StepSpec =>
  createStep({ count, resources: { cpuMilli: 1_000, memMb: 1, accelerators } })

t.test('a job whose endpoints are killed or lose power from outside is not given up', async (t) => {
  for (let seed = 1; seed <= 4; seed++) {
    const cluster = new TestCluster(seed, { runMs: 4_000 })
    cluster.elect()
    for (let i = 0; i < 4; i++) cluster.submit(`a${i}`, [single(6, 1)])
    for (let round = 0; round < 6; round++) {
      await cluster.run(cluster.random.int(20, 2_500))
      // A power failure takes several endpoints at once, in the middle of whatever has just started there.
      for (const { life } of cluster.fleet.listRecords().slice(0, 3)) cluster.fleet.crash(life)
      await cluster.run(4_000)
    }
    await cluster.run(30_000)
    for (let i = 0; i < 4; i++) t.equal(cluster.statusOf(`a${i}`), 'completed', `seed ${seed}, job ${i}`)
    t.same(cluster.fleet.violations, [], `seed ${seed}`)
  }
})
