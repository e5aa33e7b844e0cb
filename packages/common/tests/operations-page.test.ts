import { readFileSync } from 'node:fs'
import t from 'tap'
import { ERROR_TABLE } from '../src/index.ts'

const page = readFileSync(new URL('../../../docs/OPERATIONS.md', import.meta.url), 'utf8')

// Guards against an operations page that differs from the error table, for example after a new error kind.
t.test('the operations page lists every error kind with its status, execution, resend rule and advice', async (t) => {
  for (const [kind, { status, execution, resendSafe, advice }] of Object.entries(ERROR_TABLE)) {
    t.ok(page.includes(`| \`${kind}\` | ${status} | ${execution} | ${resendSafe ? 'yes' : 'no'} | ${advice} |`), kind)
  }
})
