import t from 'tap'
import { assignBlame, getProbationMs, judge, MAX_PROBATION_MS, MIN_PROBATION_MS, type Blame, type CrashedRun, type TaskCrash } from '../src/index.ts'

const FLEET = 32

const run = (job: string, ranMs: number | null, crashesElsewhere = 0): CrashedRun => ({ job, ranMs, crashesElsewhere })

const crash = (blame: Blame, address: string, ranMs: number | null = 20): TaskCrash => ({ address, run: 1, ranMs, blame, atMs: 0 })

t.test('the only job that has just started on the endpoint is to blame, and those that have run for a while are not', async (t) => {
  t.same(assignBlame([run('bad', 20), run('bad', 22), run('old', 4_500), run('older', 9_000)], FLEET), ['sole', 'sole', 'bystander', 'bystander'])
})

t.test('jobs that have started together share the blame', async (t) => {
  t.same(assignBlame([run('bad', 20), run('good', 900), run('old', 4_500)], FLEET), ['shared', 'shared', 'bystander'])
})

t.test('any job may be to blame for a crash when none has just started or the time is unknown', async (t) => {
  t.same(assignBlame([run('a', 3_000), run('b', 9_000)], FLEET), ['possible', 'possible'])
  t.same(assignBlame([run('a', null), run('b', null)], FLEET), ['possible', 'possible'])
})

t.test('a run that has lasted for minutes is not blamed for the crash of its endpoint', async (t) => {
  t.same(assignBlame([run('service', 3_600_000)], FLEET), ['bystander'])
})

t.test('a power failure of several endpoints is nobody\'s fault, in a small fleet and in a large one', async (t) => {
  t.same(assignBlame([run('a', 20, 2)], 4), ['outside'])
  t.same(assignBlame([run('a', 20, 3)], FLEET), ['outside'])
  t.same(assignBlame([run('a', 20, 13)], 250), ['outside'])
  t.same(assignBlame([run('a', 20, 2)], FLEET), ['sole'], 'two other jobs may crash their endpoints at the same time')
  t.same(assignBlame([run('a', 20, 6)], 250), ['sole'])
})

t.test('a task is guilty after two crashes for which it alone is to blame, at different addresses', async (t) => {
  t.equal(judge([]), 'clear')
  t.equal(judge([crash('sole', 'x')]), 'suspect')
  t.equal(judge([crash('sole', 'x'), crash('sole', 'x')]), 'suspect', 'the endpoint may be at fault')
  t.equal(judge([crash('sole', 'x'), crash('sole', 'y')]), 'guilty')
})

t.test('a task is guilty after three crashes in which it may have had a part', async (t) => {
  t.equal(judge([crash('shared', 'x')]), 'suspect')
  t.equal(judge([crash('shared', 'x'), crash('sole', 'y')]), 'suspect')
  t.equal(judge([crash('shared', 'x'), crash('possible', 'y', null), crash('sole', 'z')]), 'guilty')
})

t.test('crashes of which a task was a bystander never make it guilty, nor do power failures during its run', async (t) => {
  const crashes = ['a', 'b', 'c', 'd', 'e', 'f'].flatMap((address) => [crash('bystander', address, 4_000), crash('outside', address, 4_000)])
  t.equal(judge(crashes.slice(0, 2)), 'clear')
  t.equal(judge(crashes), 'suspect', 'it runs apart, in case it crashes its endpoint late in its run')
})

t.test('a task is guilty after five crashes wherever they were', async (t) => {
  // The only endpoint with a label, or several tasks of this kind that crash endpoints at the same time.
  t.equal(judge(Array.from({ length: 4 }, () => crash('sole', 'x'))), 'suspect')
  t.equal(judge(Array.from({ length: 5 }, () => crash('sole', 'x'))), 'guilty')
  t.equal(judge(['a', 'b', 'c', 'd', 'e'].map((address) => crash('outside', address))), 'guilty')
})

t.test('a suspect is on probation for well over the age at which endpoints crashed under it', async (t) => {
  t.equal(getProbationMs([crash('sole', 'x', 20), crash('bystander', 'y', 9_000)]), MIN_PROBATION_MS)
  t.equal(getProbationMs([crash('bystander', 'x', 5_000), crash('bystander', 'y', 4_000)]), 10_000)
  t.equal(getProbationMs([crash('possible', 'x', 59_000)]), MAX_PROBATION_MS)
})
