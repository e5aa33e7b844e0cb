import type { CustomerConfig, GuaranteedShape } from '@ibisstair/model'
import type { ListedDomain } from '@ibisstair/operator-client'
import { formatTable } from '@ibisstair/settings'
import { stringify } from 'yaml'

/** Formats as YAML, so that a printed configuration can be edited and applied. */
export const formatRecord = (value: object): string => stringify(value)

const formatGuarantee = ({ shape, count, domain }: GuaranteedShape): string => {
  const { tasks, acceleratorsPerTask, slotsPerTask, adjacency } = shape
  const place = domain === undefined ? '' : ` in ${domain}`
  return `${count} x (${tasks} tasks, ${acceleratorsPerTask} accelerators, ${slotsPerTask} slots, ${adjacency})${place}`
}

const HEADER = ['customer', 'priority', 'max queued', 'guarantees']

const formatCustomer = ({ id, priority, maxQueued, guarantees }: CustomerConfig): string[][] => {
  const [first = '-', ...others] = guarantees.map(formatGuarantee)
  return [[id, String(priority), String(maxQueued), first], ...others.map((text) => ['', '', '', text])]
}

const DOMAIN_HEADER = ['failure domain', 'state', 'since', 'endpoints', 'runs']

export const formatDomains = (domains: readonly ListedDomain[]): string =>
  formatTable(DOMAIN_HEADER, domains.map(({ domain, isDrained, sinceMs, endpoints, runs }) =>
    [domain, isDrained ? 'drained' : 'in use', sinceMs === null ? '-' : new Date(sinceMs).toISOString(), String(endpoints), String(runs)]))

export const formatCustomers = (customers: readonly CustomerConfig[]): string =>
  formatTable(HEADER, customers.flatMap(formatCustomer))
