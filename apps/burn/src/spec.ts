import type { CommandSpec } from '@ibisstair/settings'

export const BURN_SPEC: CommandSpec = {
  name: 'ibisstair-burn',
  summary: 'Reports how fast the kinds of work spend their error budgets, from the counters of the entries.',
  usage: ['--entry http://IP:PORT ... --secret-file FILE [options]', '[options] FILE...'],
  options: {
    entry: { type: 'string', value: 'URL', multiple: true, help: "operators' listener of an entry, http://IP:PORT; repeat for each entry" },
    'secret-file': { type: 'string', value: 'FILE', help: 'shared secret of the deployment; needed with --entry' },
    format: { type: 'string', value: 'FORMAT', help: 'text (default) or json' },
    threshold: { type: 'string', value: 'RATE', help: 'burn rate above which a window counts as burning (default 1)' },
    'fail-on-burn': { type: 'boolean', help: 'exit with code 1 when a kind of work is burning' }
  },
  notes: [
    'FILE is a saved response of GET /v1/metrics (JSON).',
    'A burn rate of 1 spends the error budget exactly as fast as the objective allows. Windows are 5 minutes and 1 hour;',
    'the remaining budget is that of the last hour. Verdicts: burning (both windows), at-risk (5 minutes only),',
    'recovering (1 hour only), ok, no-data. An entry that does not respond is listed as missing.'
  ],
  maxPositionals: 1_000
}
