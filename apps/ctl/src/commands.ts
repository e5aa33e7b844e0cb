import type { Config } from '@ibisstair/model'
import {
  addGuarantee, applyConfig, asCustomerId, asDomainId, asEndpointId, asKindOfWork, changeCustomer, type ConfigEdit, createCustomer,
  type DomainClient, drainEndpoint, type OperatorClient, putDomain, putKind, readConfigFile, readPartialConfigFile, removeCustomer,
  removeGuarantee, removeKind, undrainEndpoint
} from '@ibisstair/operator-client'
import type { CommandLine } from '@ibisstair/settings'
import { readCustomerFields, readDomainFields, readGuarantee, readKindFields } from './options.ts'
import { formatCustomers, formatDomains, formatRecord } from './output.ts'
import type { ItemOption } from './spec.ts'

/** Output of a subcommand: `text` for the text format, `value` for JSON. */
export interface CommandOutput {
  readonly text: string
  readonly value: unknown
}

interface SubcommandBase {
  /** Words of the command line that select the subcommand. */
  readonly words: readonly string[]
  /** Names of the positional arguments, as shown in the usage text. */
  readonly args: readonly string[]
  readonly options?: readonly ItemOption[]
}

export type Subcommand =
  | SubcommandBase & { readonly type: 'change', readonly edit: (args: readonly string[], command: CommandLine) => ConfigEdit }
  | SubcommandBase & { readonly type: 'call', readonly run: (client: OperatorClient, args: readonly string[]) => Promise<CommandOutput> }
  /** Calls a control process in place of an entry. */
  | SubcommandBase & { readonly type: 'control-call', readonly run: (client: DomainClient, args: readonly string[]) => Promise<CommandOutput> }

const CUSTOMER_OPTIONS = ['priority', 'max-queued'] as const
const GUARANTEE_OPTIONS = ['tasks', 'accelerators', 'slots', 'adjacency', 'count', 'domain'] as const
const KIND_OPTIONS = ['urgency', 'idempotent', 'expected-run-ms', 'start-within-ms', 'target'] as const

const toOutput = (value: object): CommandOutput => ({ text: formatRecord(value), value })

const listCustomers = ({ customers }: Config): CommandOutput => ({ text: formatCustomers(customers), value: customers })

const listDomains = async (client: DomainClient): Promise<CommandOutput> => {
  const domains = await client.list()
  return { text: formatDomains(domains), value: domains }
}

const importFile = async (client: OperatorClient, file: string): Promise<CommandOutput> => {
  const version = await client.importConfig(readConfigFile(file))
  return { text: `imported: version ${version} is in force\n`, value: { version } }
}

export const SUBCOMMANDS: readonly Subcommand[] = [
  {
    type: 'change',
    words: ['customer', 'create'],
    args: ['CUSTOMER'],
    options: CUSTOMER_OPTIONS,
    edit: ([id], command) => createCustomer(asCustomerId(id!), readCustomerFields(command))
  },
  {
    type: 'change',
    words: ['customer', 'change'],
    args: ['CUSTOMER'],
    options: CUSTOMER_OPTIONS,
    edit: ([id], command) => changeCustomer(asCustomerId(id!), readCustomerFields(command))
  },
  {
    type: 'change',
    words: ['customer', 'remove'],
    args: ['CUSTOMER'],
    edit: ([id]) => removeCustomer(asCustomerId(id!))
  },
  {
    type: 'call',
    words: ['customer', 'list'],
    args: [],
    run: async (client) => listCustomers(await client.getConfig())
  },
  {
    type: 'change',
    words: ['guarantee', 'add'],
    args: ['CUSTOMER'],
    options: GUARANTEE_OPTIONS,
    edit: ([id], command) => addGuarantee(asCustomerId(id!), { count: 1, ...readGuarantee(command) })
  },
  {
    type: 'change',
    words: ['guarantee', 'remove'],
    args: ['CUSTOMER'],
    options: GUARANTEE_OPTIONS,
    edit: ([id], command) => removeGuarantee(asCustomerId(id!), readGuarantee(command))
  },
  {
    type: 'change',
    words: ['kind', 'put'],
    args: ['KIND'],
    options: KIND_OPTIONS,
    edit: ([kind], command) => putKind(asKindOfWork(kind!), readKindFields(command))
  },
  {
    type: 'change',
    words: ['kind', 'remove'],
    args: ['KIND'],
    edit: ([kind]) => removeKind(asKindOfWork(kind!))
  },
  {
    type: 'change',
    words: ['domain', 'put'],
    args: ['DOMAIN'],
    options: ['region', 'rack'],
    edit: ([id], command) => putDomain(asDomainId(id!), readDomainFields(command))
  },
  {
    type: 'change',
    words: ['drain'],
    args: ['ENDPOINT'],
    edit: ([id]) => drainEndpoint(asEndpointId(id!))
  },
  {
    type: 'change',
    words: ['undrain'],
    args: ['ENDPOINT'],
    edit: ([id]) => undrainEndpoint(asEndpointId(id!))
  },
  {
    type: 'control-call',
    words: ['failure-domain', 'drain'],
    args: ['DOMAIN'],
    run: async (client, [id]) => toOutput(await client.drain(asDomainId(id!)))
  },
  {
    type: 'control-call',
    words: ['failure-domain', 'restore'],
    args: ['DOMAIN'],
    run: async (client, [id]) => toOutput(await client.restore(asDomainId(id!)))
  },
  {
    type: 'control-call',
    words: ['failure-domain', 'list'],
    args: [],
    run: listDomains
  },
  {
    type: 'call',
    words: ['config', 'show'],
    args: [],
    run: async (client) => toOutput(await client.getConfig())
  },
  {
    type: 'change',
    words: ['config', 'apply'],
    args: ['FILE'],
    options: ['prune'],
    edit: ([file], command) => applyConfig(readPartialConfigFile(file!), command.getFlag('prune'))
  },
  {
    type: 'call',
    words: ['config', 'import'],
    args: ['FILE'],
    run: (client, [file]) => importFile(client, file!)
  },
  {
    type: 'call',
    words: ['status'],
    args: [],
    run: async (client) => toOutput(await client.getStatus())
  },
  {
    type: 'call',
    words: ['explain'],
    args: ['CUSTOMER', 'KEY'],
    run: async (client, [customer, key]) => toOutput(await client.explain(customer!, key!))
  }
]

const formatUsage = ({ words, args, options = [], type }: Subcommand): string => {
  const optionUsage = options.map((name) => ` [--${name}]`).join('')
  return `${[...words, ...args].join(' ')}${optionUsage}${type === 'change' ? ' [--expect-version] [--change-id]' : ''}`
}

export const SUBCOMMAND_USAGE: readonly string[] = ['COMMAND --entry http://IP:PORT ... --secret-file FILE [options]', 'failure-domain COMMAND --control http://IP:PORT ... --secret-file FILE [options]', ...SUBCOMMANDS.map(formatUsage)]
