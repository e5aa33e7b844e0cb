import type { CommandSpec } from '@ibisstair/settings'

export const CONFIGURE_SPEC: CommandSpec = {
  name: 'ibisstair-configure',
  summary: 'Converts a questionnaire of teams and their work to a checked configuration.',
  usage: ['[options] QUESTIONNAIRE'],
  options: {
    against: { type: 'string', value: 'FILE', help: 'configuration in force (YAML); the answers are added to it' },
    print: { type: 'string', value: 'WHAT', help: 'config (default) or changes (default with --against)' },
    replace: { type: 'boolean', help: 'allow the answers to change existing teams, kinds of work and domains of the configuration' },
    out: { type: 'string', value: 'FILE', help: 'write to FILE instead of standard output' },
    check: { type: 'boolean', help: 'validate the questionnaire, with --against also against it, and exit' }
  },
  notes: [
    'Without --against the questionnaire also has to describe the fleet. A list of changes is the body of',
    'POST /v1/config/changes; a configuration can be applied with ibisstair-ctl config apply.',
    'Examples are in examples/co-op and examples/guild.'
  ],
  minPositionals: 1,
  maxPositionals: 1
}
