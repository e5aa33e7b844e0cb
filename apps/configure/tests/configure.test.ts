import { runMain } from '@ibisstair/settings'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import t, { type Test } from 'tap'
import { runConfigure } from '../src/run.ts'
import { CONFIGURE_SPEC } from '../src/spec.ts'

const examples = fileURLToPath(new URL('../../../examples/', import.meta.url))
const form = `${examples}co-op/questionnaire.yaml`
const newTeam = `${examples}co-op/new-team.yaml`
const config = `${examples}co-op/config.yaml`

interface Run { readonly code: number, readonly out: string, readonly err: string, readonly files: Readonly<Record<string, string>> }

const run = async (...argv: string[]): Promise<Run> => {
  let [out, err, code] = ['', '', -1]
  const files: Record<string, string> = {}
  await runMain(CONFIGURE_SPEC, (command) => runConfigure(command, {
    write: (text) => { out += text },
    writeErr: (text) => { err += text },
    writeFile: (file, text) => { files[file] = text }
  }), {
    argv,
    stdout: { write: (text) => { out += text } },
    stderr: { write: (text) => { err += text } },
    finish: (result) => { code = result }
  })
  return { code, out, err, files }
}

const write = (t: Test, text: string): string => `${t.testdir({ 'form.yaml': text })}/form.yaml`

t.test('a questionnaire is converted to a configuration on standard output, without other output', async (t) => {
  t.strictSame(await run(form), { code: 0, out: readFileSync(config, 'utf8'), err: '', files: {} })
})

t.test('--out writes the configuration to a file instead of standard output', async (t) => {
  t.strictSame(await run('--out', 'x.yaml', form), { code: 0, out: '', err: '', files: { 'x.yaml': readFileSync(config, 'utf8') } })
})

t.test('--against prints the changes, or the complete configuration with --print config', async (t) => {
  t.equal((await run('--against', config, newTeam)).out, readFileSync(`${examples}co-op/new-team.changes.yaml`, 'utf8'))
  t.match((await run('--against', config, '--print', 'config', newTeam)).out, /id: harbour-watch[^]*id: lavaojos-clinics/)
})

t.test('answers that the configuration already contains yield no change', async (t) => {
  const result = await run('--against', config, form)
  t.match(result, { code: 0, out: '', err: /nothing to change/ })
})

t.test('--check prints a summary of the configuration and writes no file', async (t) => {
  const result = await run('--check', '--out', 'x.yaml', form)
  t.match(result, { code: 0, out: /valid; the configuration has 4 customers, 3 kinds of work, 4 failure domains/ })
  t.strictSame(result.files, {})
})

t.test('help and version exit with 0', async (t) => {
  t.match(await run('--help'), { code: 0, out: /ibisstair-configure \[options\] QUESTIONNAIRE/ })
  t.match(await run('--version'), { code: 0, out: /^ibisstair-configure \d/ })
})

t.test('a wrong command line exits with 2', async (t) => {
  for (const argv of [[], [form, form], ['--unknown', form], ['--print', 'json', form], ['--print', 'changes', form]]) {
    t.equal((await run(...argv)).code, 2, argv.join(' '))
  }
})

t.test('an invalid file exits with 3, and the error names the file, the field, its value and the accepted values', async (t) => {
  const text = readFileSync(form, 'utf8')
  const cases: ReadonlyArray<readonly [string, RegExp]> = [
    [text.replace('urgency: urgent', 'urgency: soon'), /form.yaml: field work.0.urgency: got "soon", accepted is .*"urgent" \| "normal" \| "bulk"/],
    [text.replace('jobs: 16', 'jobs: 1600'), /form.yaml: field teams.\d.guarantees.\d: customer .* has room for \d+ beside the other guarantees/],
    [text.replace('teams:', 'teams: ['), /form.yaml: /],
    ['', /form.yaml: field \(whole value\): got null/]
  ]
  for (const [content, message] of cases) {
    const file = write(t, content)
    const result = await run(file)
    t.equal(result.code, 3)
    t.match(result.err, message)
    t.notMatch(result.err, /\n +at /, 'no stack trace')
    t.equal(result.out, '')
  }
  t.match(await run('/does/not/exist.yaml'), { code: 3, err: /exist.yaml/ })
  t.match(await run('--against', newTeam, form), { code: 3, err: /new-team.yaml: field/ })
})
