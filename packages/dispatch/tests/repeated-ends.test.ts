import t from 'tap'
import { createEndpoint, createStep, start } from '../../jobs/tests/support/samples.ts'
import { COMMIT_TIMEOUT_MS } from '../src/constants.ts'
import { TestCluster } from './support/test-cluster.ts'

/** One for each `COMMIT_POLL_INTERVAL_MS` while the commit takes its time, and as many again. */
const MAX_PROPOSALS = 10

t.test('the end of a run that no report lists is not proposed with each report while its commit is awaited', async (t) => {
  const cluster = new TestCluster(1, { runMs: 1_000 }, [createEndpoint('w1')])
  cluster.submit('a1', [createStep()])
  // Committed by an earlier leader, whose order did not reach the endpoint.
  cluster.state.apply(start('a1', 0, 1, cluster.endpoints))
  let ends = 0
  cluster.state.onApplied((command) => { if (command.type === 'end') ends += 1 })
  cluster.slowCommitMs = COMMIT_TIMEOUT_MS + 1_000
  cluster.elect()
  await cluster.run(COMMIT_TIMEOUT_MS)
  cluster.slowCommitMs = null
  await cluster.run(15_000)
  t.ok(ends <= MAX_PROPOSALS, `${ends} proposals`)
  t.equal(cluster.statusOf('a1'), 'completed')
})
