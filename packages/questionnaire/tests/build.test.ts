import { IbisError } from '@ibisstair/common'
import { ConfigDelta, parseConfig } from '@ibisstair/model'
import t, { type Test } from 'tap'
import { buildChange, buildConfig, findNotes, parseDuration, parseQuestionnaire, type Questionnaire } from '../src/index.ts'

const answers = {
  fleet: [{ domain: 'd', region: 'r', racks: [{ rack: 'a', workers: 2, acceleratorsPerWorker: 8, slotsPerWorker: 8 }] }],
  teams: [{
    team: 'clinics',
    share: 'large',
    callers: { count: 10, requestsAtOnce: 5 },
    guarantees: [{ jobs: 2, tasks: 4, acceleratorsPerTask: 1, together: 'same-worker', onlyIn: 'd' }, { jobs: 3, acceleratorsPerTask: 1 }]
  }],
  work: [{ kind: 'check', urgency: 'urgent', mayRunTwice: true, usualRunTime: '400ms', mustStartWithin: '1.5 s', onTimePercent: 99.9 }]
}

const newTeam = {
  teams: [{ team: 'posts', callers: { count: 1, requestsAtOnce: 1 }, guarantees: [{ jobs: 1, acceleratorsPerTask: 1 }] }]
}

const captureError = (t: Test, fn: () => unknown): IbisError => {
  const err = t.throws(fn) as unknown
  if (!(err instanceof IbisError)) throw new Error(`not an IbisError: ${String(err)}`)
  return err
}

const base = buildConfig(parseQuestionnaire(answers))

t.test('the answers of a questionnaire become a configuration', async (t) => {
  t.strictSame(base, {
    version: 0,
    customers: [{
      id: 'clinics',
      priority: 2,
      guarantees: [
        { shape: { tasks: 4, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'worker' }, count: 2, domain: 'd' },
        { shape: { tasks: 1, acceleratorsPerTask: 1, slotsPerTask: 1, adjacency: 'any' }, count: 3 }
      ],
      maxQueued: 50
    }],
    kinds: [{ kind: 'check', urgency: 'urgent', idempotent: true, expectedRunMs: 400, objective: { startWithinMs: 1500, target: 0.999 } }],
    fleet: { domains: [{ id: 'd', region: 'r', racks: [{ id: 'a', workers: 2, acceleratorsPerWorker: 8, slotsPerWorker: 8 }] }] },
    drains: []
  })
  t.strictSame(parseConfig(base), base)
})

t.test('a duration needs a unit, so that seconds are not read as milliseconds', async (t) => {
  for (const [text, ms] of [['250ms', 250], ['2s', 2000], ['1.5 m', 90_000], ['8h', 28_800_000], ['2d', 172_800_000]] as const) {
    t.equal(parseDuration(text), ms)
  }
  for (const text of ['', '5', 's', '-1s', '1e3s', '5 weeks', '1s2m', '9999999999s']) t.equal(parseDuration(text), undefined, text)
})

t.test('an invalid answer is refused with its field, its value and what is accepted', async (t) => {
  const [team] = answers.teams
  const [work] = answers.work
  const cases: ReadonlyArray<readonly [object, RegExp]> = [
    [{ teams: [] }, /form.yaml: field teams: got \[\], accepted is >=1/],
    [{ teams: [team, team] }, /teams: .*each team at most once/],
    [{ work: [work, work] }, /each kind at most once/],
    [{ teams: [{ ...team, share: 'huge' }] }, /teams.0.share: got "huge", accepted is .*"small" \| "ordinary" \| "large"/],
    [{ teams: [{ ...team, team: 'A team' }] }, /teams.0.team: got "A team".*letters, digits/],
    [{ teams: [{ ...team, callers: { count: 0, requestsAtOnce: 1 } }] }, /callers.count: got 0/],
    [{ teams: [{ ...team, guarantees: [{ jobs: 1 }] }] }, /guarantees.0.acceleratorsPerTask: missing/],
    [{ teams: [{ ...team, guarantees: [{ jobs: 1, acceleratorsPerTask: 1, together: 'rack' }] }] }, /together: got "rack", accepted is .*"same-rack"/],
    [{ work: [{ ...work, usualRunTime: '5' }] }, /work.0.usualRunTime: got "5", accepted is a time from 1ms to 30d with its unit/],
    [{ work: [{ ...work, usualRunTime: 5 }] }, /work.0.usualRunTime: got 5, accepted is .*with its unit/],
    [{ work: [{ ...work, mustStartWithin: '8d' }] }, /mustStartWithin: got "8d", accepted is a time from 1ms to 7d/],
    [{ work: [{ ...work, onTimePercent: 100 }] }, /onTimePercent: got 100, accepted is <=99.999/],
    [{ work: [{ ...work, mayRunTwice: 'no' }] }, /mayRunTwice: got "no", accepted is boolean/],
    [{ colour: 'red' }, /colour: unknown field/]
  ]
  for (const [change, message] of cases) {
    const err = captureError(t, () => parseQuestionnaire({ ...answers, ...change }, 'form.yaml'))
    t.equal(err.kind, 'invalid-request')
    t.match(err.message, message)
  }
})

const build = (input: unknown, replace = false) => buildConfig(parseQuestionnaire(input), base, { replace }, 'form.yaml')

t.test('a questionnaire without fleet or work needs a configuration that has them', async (t) => {
  t.match(captureError(t, () => buildConfig(parseQuestionnaire(newTeam))).message, /field fleet: got nothing/)
  const { fleet, teams } = answers
  t.match(captureError(t, () => buildConfig(parseQuestionnaire({ fleet, teams }))).message, /field work: got nothing/)
  t.same(build(newTeam).customers.map(({ id }) => id), ['clinics', 'posts'])
})

t.test('a guarantee in an unknown failure domain is refused with the list of configured domains', async (t) => {
  const input = { teams: [{ ...newTeam.teams[0], guarantees: [{ jobs: 1, acceleratorsPerTask: 1, onlyIn: 'mars' }] }] }
  t.match(captureError(t, () => build(input)).message, /form.yaml: field teams.0.guarantees.0.onlyIn: got "mars", accepted is d/)
})

t.test('guarantees that do not fit are refused with the field of the answer and the number of jobs that fit', async (t) => {
  const input = { teams: [{ ...newTeam.teams[0], guarantees: [{ jobs: 1, acceleratorsPerTask: 1 }, { jobs: 2, tasks: 8, acceleratorsPerTask: 1, together: 'same-worker' }] }] }
  const err = captureError(t, () => build(input))
  t.equal(err.kind, 'config-infeasible')
  t.match(err.message, /form.yaml: field teams.0.guarantees.1: customer posts: 2 x 8 tasks .* room for \d beside/)
})

t.test('answers change an existing team, kind or domain only with the replace option', async (t) => {
  const [team] = answers.teams
  const changed: ReadonlyArray<readonly [object, RegExp]> = [
    [{ teams: [{ ...team, share: 'small' }] }, /teams.0.team: got "clinics", which is configured with other values/],
    [{ ...newTeam, work: [{ ...answers.work[0], urgency: 'bulk' }] }, /work.0.kind: got "check"/],
    [{ ...newTeam, fleet: [{ ...answers.fleet[0], region: 'other' }] }, /fleet.0.domain: got "d"/]
  ]
  for (const [input, message] of changed) {
    t.match(captureError(t, () => build(input)).message, message)
    t.not(JSON.stringify(build(input, true)), JSON.stringify(base))
  }
  t.strictSame(build(answers), base, 'the same answers again change nothing')
})

t.test('a change turns the existing configuration into the wanted one, and its id is derived from its content', async (t) => {
  const wanted = build(newTeam)
  const change = buildChange(base, wanted)!
  t.strictSame(ConfigDelta.create(change.delta).apply(base), wanted)
  t.equal(change.expectedVersion, base.version)
  t.equal(buildChange(base, build(newTeam))!.changeId, change.changeId)
  t.not(buildChange({ ...base, version: 1 }, { ...wanted, version: 1 })!.changeId, change.changeId)
  t.equal(buildChange(base, base), undefined)
})

t.test('answers that are valid but probably not intended get a note', async (t) => {
  const notesOf = (change: object): string[] => findNotes(parseQuestionnaire({ ...answers, ...change }) as Questionnaire)
  const [work] = answers.work
  t.strictSame(notesOf({}), [])
  t.match(notesOf({ work: [work, { ...work, kind: 'other' }] }), [/every kind is urgent/])
  t.match(notesOf({ work: [{ ...work, urgency: 'bulk' }] }), [/work.0.mustStartWithin: 1500 ms for bulk work/])
  t.match(notesOf({ teams: [{ team: 'x', callers: { count: 1, requestsAtOnce: 1 } }] }), [/x has none/])
})
