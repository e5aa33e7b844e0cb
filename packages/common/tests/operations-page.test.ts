import { readFileSync } from 'node:fs'
import t from 'tap'
import { ERROR_TABLE } from '../src/index.ts'

const page = readFileSync(new URL('../../../docs/OPERATIONS.md', import.meta.url), 'utf8')

// Guards against a page that tells callers something else than the program does.
t.test('the operations page lists every error kind with its answer', async (t) => {
  for (const [kind, { status, execution, resendSafe, advice }] of Object.entries(ERROR_TABLE)) {
    t.ok(page.includes(`| \`${kind}\` | ${status} | ${execution} | ${resendSafe ? 'yes' : 'no'} | ${advice} |`), kind)
  }
})
