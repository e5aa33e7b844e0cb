import type { CustomerConfig, GuaranteedShape } from '@ibisstair/model'
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

export const formatCustomers = (customers: readonly CustomerConfig[]): string =>
  formatTable(HEADER, customers.flatMap(formatCustomer))
