import type { CommandSpec, OptionSpec } from '@ibisstair/settings'
import { ADJACENCIES, URGENCIES } from '@ibisstair/model'

/** Accepted by every subcommand. */
export const COMMON_OPTIONS = {
  'secret-file': { type: 'string', value: 'FILE', help: 'shared secret of the deployment' },
  format: { type: 'string', value: 'FORMAT', help: 'text (default) or json' }
} as const satisfies Record<string, OptionSpec>

/** Accepted by the subcommands that call an entry. */
export const ENTRY_OPTIONS = {
  entry: { type: 'string', value: 'URL', multiple: true, help: "operators' listener of an entry, http://IP:PORT; repeat to add entries that are tried in turn" }
} as const satisfies Record<string, OptionSpec>

/** Accepted by the subcommands that call a control process. */
export const CONTROL_OPTIONS = {
  control: { type: 'string', value: 'URL', multiple: true, help: 'failure-domain: where a control process takes calls of other processes, http://IP:PORT; repeat to add others that are tried in turn' },
  deployment: { type: 'string', value: 'NAME', help: 'failure-domain: deployment of the control process (default platform)' }
} as const satisfies Record<string, OptionSpec>

/** Accepted by every subcommand that proposes a change. */
export const CHANGE_OPTIONS = {
  'expect-version': { type: 'string', value: 'N', help: 'reject the change unless this version is in force' },
  'change-id': { type: 'string', value: 'ID', help: 'id of the change; to retry a change, give the same id and --expect-version again' }
} as const satisfies Record<string, OptionSpec>

const ITEM_OPTIONS = {
  priority: { type: 'string', value: 'N', help: 'customer: weight for capacity beyond the guarantees (default 1)' },
  'max-queued': { type: 'string', value: 'N', help: 'customer: maximum of queued requests for each urgency in one domain (default 1000)' },
  tasks: { type: 'string', value: 'N', help: 'guarantee: tasks of the shape' },
  accelerators: { type: 'string', value: 'N', help: 'guarantee: accelerators per task' },
  slots: { type: 'string', value: 'N', help: 'guarantee: slots per task (default 1)' },
  adjacency: { type: 'string', value: 'WHERE', help: `guarantee: ${ADJACENCIES.join(', ')} (default any)` },
  count: { type: 'string', value: 'N', help: 'guarantee: how many to add (default 1) or remove (default all)' },
  domain: { type: 'string', value: 'DOMAIN', help: 'guarantee: only in this failure domain' },
  urgency: { type: 'string', value: 'URGENCY', help: `kind: ${URGENCIES.join(', ')}` },
  idempotent: { type: 'string', value: 'yes|no', help: 'kind: whether a request may run twice' },
  'expected-run-ms': { type: 'string', value: 'MS', help: 'kind: expected run time' },
  'start-within-ms': { type: 'string', value: 'MS', help: 'kind: objective for the time to start' },
  target: { type: 'string', value: 'FRACTION', help: 'kind: fraction that must meet the objective, for example 0.99' },
  region: { type: 'string', value: 'REGION', help: 'domain: region' },
  rack: { type: 'string', value: 'ID:WORKERS:ACCELERATORS:SLOTS', multiple: true, help: 'domain: a rack, with accelerators and slots per worker; repeat for each rack' },
  prune: { type: 'boolean', help: 'config apply: remove what FILE does not list' }
} as const satisfies Record<string, OptionSpec>

export const CTL_OPTIONS: Readonly<Record<string, OptionSpec>> = { ...ENTRY_OPTIONS, ...CONTROL_OPTIONS, ...COMMON_OPTIONS, ...CHANGE_OPTIONS, ...ITEM_OPTIONS }

export type ItemOption = keyof typeof ITEM_OPTIONS

const MAX_ARGUMENTS = 4

export const createCtlSpec = (usage: readonly string[]): CommandSpec => ({
  name: 'ibisstair-ctl',
  summary: 'Manages the customers, guaranteed shapes, kinds of work and failure domains of a deployment.',
  usage,
  options: CTL_OPTIONS,
  notes: [
    'A change is sent against the version in force. Its id is printed before it is sent; if the outcome stays unknown,',
    'repeat the command with the printed --change-id and --expect-version to get the recorded outcome.'
  ],
  maxPositionals: MAX_ARGUMENTS
})
