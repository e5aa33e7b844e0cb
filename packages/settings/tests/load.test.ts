import { chmodSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t, { type Test } from 'tap'
import { stringify } from 'yaml'
import { ControlSettings, EntrySettings, exitCodeOf, loadSecret, loadSettings, SettingsError } from '../src/index.ts'

const member = (node: string, domain: string, port: number) => ({ node, domain, address: '127.0.0.1', port })
const listener = (port: number) => ({ address: '127.0.0.1', port })

const createEntry = () => ({
  deployment: 'co-op',
  node: 'entry-1',
  domain: 'cr-sj',
  listen: { callers: listener(7001), endpoints: listener(7002), operators: listener(7003), internal: listener(7004) },
  secretFile: 'secret',
  controls: [member('control-1', 'cr-sj', 7101), member('control-2', 'cr-al', 7102)],
  entries: [member('entry-1', 'cr-sj', 7004), { ...member('entry-2', 'cr-al', 7005), address: '::1' }]
})

const createControl = () => ({
  deployment: 'co-op',
  node: 'control-1',
  domain: 'cr-sj',
  listen: { internal: listener(7101) },
  secretFile: 'secret',
  dataFolder: 'data',
  controls: [member('control-1', 'cr-sj', 7101), member('control-2', 'cr-al', 7102)],
  entries: [member('entry-1', 'cr-sj', 7004)],
  groups: {
    config: { voters: ['control-1', 'control-2'] },
    domains: [
      { domain: 'cr-sj', voters: ['control-1'], witness: 'control-2' },
      { domain: 'cr-al', voters: ['control-2'], witness: 'control-1' }
    ]
  }
})

const writeFile = (t: Test, text: string): string => {
  const file = join(t.testdir(), 'settings.yaml')
  writeFileSync(file, text)
  return file
}

const catchSettingsError = (run: () => unknown): SettingsError => {
  try {
    run()
  } catch (err) {
    if (err instanceof SettingsError) return err
    throw err
  }
  throw new Error('the settings were accepted')
}

t.test('missing optional settings get the documented defaults', async (t) => {
  const entry = loadSettings(writeFile(t, stringify(createEntry())), EntrySettings)
  t.same(entry.shutdown, { drainMs: 5_000 })
  t.same(entry.limits, { maxBodyBytes: 1_048_576, maxPending: 4_096 })
  t.same(entry.log, { level: 'info' })
  t.equal(entry.dataFolder, undefined)
  t.equal(entry.metrics, undefined)
  const control = loadSettings(writeFile(t, stringify({ ...createControl(), metrics: listener(8125) })), ControlSettings)
  t.same(control.metrics, { address: '127.0.0.1', port: 8125, prefix: 'ibisstair' })
})

t.test('an invalid field is reported with the file, the field, the value and what is accepted', async (t) => {
  const cases: ReadonlyArray<readonly [object, RegExp]> = [
    [{ listen: { ...createEntry().listen, callers: listener(0) } }, /field listen\.callers\.port: got 0, accepted is >=1/],
    [{ listen: { ...createEntry().listen, callers: listener(65_536) } }, /field listen\.callers\.port: got 65536, accepted is <=65535/],
    [{ entries: [{ ...member('entry-1', 'cr-sj', 7004), address: 'entry.example' }] }, /field entries\.0\.address: got "entry\.example", accepted is an IPv4 or IPv6 address/],
    [{ node: 'a b' }, /field node: got "a b", accepted is 1 to 64 letters/],
    [{ log: { level: 'loud' } }, /field log\.level: got "loud", accepted is \("error" \| "warn" \| "info" \| "debug"\)/],
    [{ colour: 'red' }, /colour/],
    [{ secretFile: undefined }, /secretFile/]
  ]
  for (const [change, expected] of cases) {
    const file = writeFile(t, stringify({ ...createEntry(), ...change }))
    const err = catchSettingsError(() => loadSettings(file, EntrySettings))
    t.ok(err.message.startsWith(`${file}: field `), err.message)
    t.equal(err.message.split(file).length, 2, 'the message contains the file name once')
    t.match(err.message, expected)
    t.equal(exitCodeOf(err), 3)
  }
})

t.test('entry settings with contradictory fields are rejected', async (t) => {
  const cases: ReadonlyArray<readonly [object, RegExp]> = [
    [{ node: 'entry-9' }, /field node: got "entry-9", accepted is a node that entries lists/],
    [{ domain: 'cr-al' }, /field domain: got "cr-al", accepted is cr-sj, the domain of node entry-1 in entries/],
    [{ controls: [member('control-2', 'cr-al', 7102)] }, /field domain: got "cr-sj", accepted is a domain that controls lists/],
    [{ entries: [...createEntry().entries, member('entry-1', 'cr-sj', 7009)] }, /field entries\.2: got "entry-1", accepted is a node that is listed once/],
    [{ listen: { ...createEntry().listen, operators: listener(7001) } }, /field listen\.operators: got "127\.0\.0\.1 port 7001"/]
  ]
  for (const [change, expected] of cases) {
    const file = writeFile(t, stringify({ ...createEntry(), ...change }))
    t.match(catchSettingsError(() => loadSettings(file, EntrySettings)).message, expected)
  }
})

t.test('control settings with groups that contradict the list of controls are rejected', async (t) => {
  const { groups } = createControl()
  const [first, second] = groups.domains
  const cases: ReadonlyArray<readonly [object, RegExp]> = [
    [{ groups: { ...groups, config: { voters: ['control-1', 'entry-1'] } } }, /field groups\.config\.voters\.1: got "entry-1", accepted is a node that controls lists/],
    [{ groups: { ...groups, config: { voters: ['control-1', 'control-1'] } } }, /field groups\.config\.voters\.1: got "control-1", accepted is a voter that is listed once/],
    [{ groups: { ...groups, domains: [{ ...first, witness: 'control-1' }, second] } }, /field groups\.domains\.0\.witness: got "control-1", accepted is a control node of another domain than cr-sj/],
    [{ groups: { ...groups, domains: [{ ...first, voters: ['control-2'] }, second] } }, /field groups\.domains\.0\.voters\.0: got "control-2", accepted is a control node of domain cr-sj/],
    [{ groups: { ...groups, domains: [second] } }, /field domain: got "cr-sj", accepted is a domain that groups\.domains lists/],
    [{ groups: { ...groups, domains: [first, second, first] } }, /field groups\.domains\.2: got "cr-sj", accepted is a domain that is listed once/],
    [{ node: 'control-9' }, /field node: got "control-9", accepted is a node that controls lists/]
  ]
  for (const [change, expected] of cases) {
    const file = writeFile(t, stringify({ ...createControl(), ...change }))
    t.match(catchSettingsError(() => loadSettings(file, ControlSettings)).message, expected)
  }
})

t.test('invalid YAML, a missing file and a folder are reported as settings errors', async (t) => {
  const broken = writeFile(t, 'node: [\n')
  t.match(catchSettingsError(() => loadSettings(broken, EntrySettings)).message, /settings\.yaml: .*line \d/)
  const repeated = writeFile(t, 'node: a\nnode: b\n')
  t.match(catchSettingsError(() => loadSettings(repeated, EntrySettings)).message, /unique/)
  const folder = t.testdir()
  t.match(catchSettingsError(() => loadSettings(folder, EntrySettings)).message, /not a regular file/)
  t.match(catchSettingsError(() => loadSettings(join(folder, 'none.yaml'), EntrySettings)).message, /ENOENT/)
})

const writeSecret = (t: Test, text: string, mode: number): string => {
  const file = join(t.testdir(), 'secret')
  writeFileSync(file, text)
  chmodSync(file, mode)
  return file
}

t.test('the secret is read without its trailing line break', async (t) => {
  t.equal(loadSecret(writeSecret(t, '0123456789abcdef\n', 0o640)), '0123456789abcdef')
})

t.test('a secret that is too short, too long, unprintable or readable by others is rejected without being shown', async (t) => {
  const cases: ReadonlyArray<readonly [string, number, RegExp]> = [
    ['0123456789abcde\n', 0o600, /has 15 bytes, accepted are at least 16/],
    ['0123456789abcdef', 0o644, /has mode 0644/],
    ['0123456789 abcdefgh', 0o600, /printable ASCII/],
    ['x'.repeat(2_000), 0o600, /has 2000 bytes/]
  ]
  for (const [text, mode, expected] of cases) {
    const err = catchSettingsError(() => loadSecret(writeSecret(t, text, mode)))
    t.match(err.message, expected)
    t.notMatch(err.message, '0123456789')
    t.equal(exitCodeOf(err), 3)
  }
})
