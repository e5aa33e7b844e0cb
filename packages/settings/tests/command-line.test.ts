import { readFileSync } from 'node:fs'
import t from 'tap'
import { IbisError } from '@ibisstair/common'
import { formatTable, parseCommandLine, runMain, SettingsError, UsageError, VERSION, type CommandSpec, type MainProcess } from '../src/index.ts'

const SPEC: CommandSpec = {
  name: 'ibisstair-sample',
  summary: 'Sample binary.',
  options: {
    entry: { type: 'string', value: 'URL', multiple: true, help: 'an entry' },
    format: { type: 'string', value: 'FORMAT', help: 'output format' },
    limit: { type: 'string', value: 'N', help: 'a number' }
  },
  maxPositionals: 1
}
const DAEMON: CommandSpec = { name: 'ibisstair-daemon', summary: 'Sample daemon.', daemon: true }

const parse = (spec: CommandSpec, ...argv: string[]) => {
  const parsed = parseCommandLine(spec, argv)
  if (parsed.action !== 'run') throw new Error('the command line only prints help or the version')
  return parsed.command
}

const runWith = async (spec: CommandSpec, argv: readonly string[], main: Parameters<typeof runMain>[1]) => {
  const result = { out: '', err: '', code: -1, now: false }
  const io: MainProcess = {
    argv,
    stdout: { write: (text) => { result.out += text } },
    stderr: { write: (text) => { result.err += text } },
    finish: (code, now) => Object.assign(result, { code, now })
  }
  await runMain(spec, main, io)
  return result
}

t.test('option values, repeatable options, flags and arguments are parsed', async (t) => {
  const command = parse(SPEC, '--entry', 'a', '--entry=b', '--limit', '5', 'file')
  t.same(command.getStrings('entry'), ['a', 'b'])
  t.same(command.positionals, ['file'])
  t.equal(command.getInteger('limit', 1, 9), 5)
  t.equal(command.getNumber('limit', 0, 9), 5)
  t.same([...command.optionNames].sort(), ['entry', 'limit'])
  t.equal(command.getChoice('format', ['text', 'json'], 'text'), 'text')
  const daemon = parse(DAEMON, '--settings', 'f.yaml', '--check')
  t.equal(daemon.settingsFile, 'f.yaml')
  t.ok(daemon.isCheck)
})

t.test('an invalid command line throws a usage error that names the wrong option or argument', async (t) => {
  t.throws(() => parse(SPEC, '--colour', 'red'), UsageError)
  t.throws(() => parse(SPEC, '--entry'), UsageError)
  t.throws(() => parse(SPEC, 'a', 'b'), { message: 'unexpected argument b' })
  t.throws(() => parse(SPEC, '--format', 'text', '--format', 'json'), { message: '--format is given more than once' })
  t.throws(() => parse(SPEC, '--limit', '1e1').getInteger('limit', 1, 9), { message: '--limit: got 1e1, accepted is a whole number from 1 to 9' })
  t.throws(() => parse(SPEC, '--limit', '0x5').getNumber('limit', 0, 9), { message: '--limit: got 0x5, accepted is a number from 0 to 9' })
  t.throws(() => parse(SPEC, '--limit', '9.5').getNumber('limit', 0, 9), { message: '--limit: got 9.5, accepted is a number from 0 to 9' })
  t.throws(() => parse(SPEC, '--format', 'xml').getChoice('format', ['text', 'json'], 'text'), { message: '--format: got xml, accepted is text, json' })
  t.throws(() => parse(DAEMON), { message: '--settings is required' })
})

t.test('help lists all options, and the printed version is that of the root package.json', async (t) => {
  const help = await runWith(DAEMON, ['--help'], () => 1)
  for (const option of ['--settings FILE', '--check', '--help', '--version']) t.match(help.out, option)
  t.equal(help.code, 0)
  const { version } = JSON.parse(readFileSync(new URL('../../../package.json', import.meta.url), 'utf8')) as { version: string }
  t.equal(VERSION, version)
  t.same((await runWith(SPEC, ['--version'], () => 1)).out, `ibisstair-sample ${version}\n`)
})

t.test('results and errors of main are mapped to the documented exit codes', async (t) => {
  const codeOf = async (main: Parameters<typeof runMain>[1], ...argv: string[]) => (await runWith(SPEC, argv, main)).code
  t.equal(await codeOf(() => undefined), 0)
  t.equal(await codeOf(() => 1), 1)
  t.equal(await codeOf(() => { throw new Error('failed') }), 1)
  t.equal(await codeOf(async () => { throw new IbisError('unreachable', 'no answer') }), 1)
  t.equal(await codeOf(() => 0, '--colour'), 2)
  t.equal(await codeOf(() => { throw new SettingsError('f.yaml: wrong') }), 3)
  t.equal(await codeOf(() => { throw new IbisError('data-damaged', 'log-1 at offset 9') }), 4)
})

t.test('an error is written to the standard error output with the name of the binary and the advice', async (t) => {
  const result = await runWith(SPEC, [], () => { throw new IbisError('data-damaged', 'log-1 at offset 9') })
  t.equal(result.err, 'ibisstair-sample: data-damaged: log-1 at offset 9\nRemove the data folder of this voter and let it rejoin from the others.\n')
  t.equal(result.out, '')
  t.ok(result.now)
})

t.test('table columns are aligned without trailing spaces', async (t) => {
  t.equal(formatTable(['name', 'size'], [['a', '10'], ['longer', '1']]), 'name    size\na       10\nlonger  1\n')
})
