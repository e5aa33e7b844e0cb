import { asId, type RackId } from '@ibisstair/common'
import {
  ADJACENCIES, MAX_ACCELERATORS_PER_WORKER, MAX_DEADLINE_MS, MAX_GANG_TASKS, MAX_GUARANTEED_TASKS, MAX_PRIORITY, MAX_QUEUED,
  MAX_RUN_MS, MAX_SLOTS_PER_WORKER, MAX_WORKERS_PER_RACK, URGENCIES, type GuaranteedShape, type RackConfig, type Shape
} from '@ibisstair/model'
import { asDomainId, type CustomerFields, type DomainFields, type KindFields } from '@ibisstair/operator-client'
import { parseChoice, parseInteger, UsageError, type CommandLine } from '@ibisstair/settings'

/** Smallest accepted priority, and smallest accepted distance of a target from 0 and from 1. */
const MIN_FRACTION = 0.000_001

const requireInteger = (command: CommandLine, name: string, min: number, max: number): number => {
  const value = command.getInteger(name, min, max)
  if (value === undefined) throw new UsageError(`--${name} is required`)
  return value
}

export const readCustomerFields = (command: CommandLine): CustomerFields => ({
  priority: command.getNumber('priority', MIN_FRACTION, MAX_PRIORITY),
  maxQueued: command.getInteger('max-queued', 1, MAX_QUEUED)
})

const readShape = (command: CommandLine): Shape => ({
  tasks: requireInteger(command, 'tasks', 1, MAX_GANG_TASKS),
  acceleratorsPerTask: requireInteger(command, 'accelerators', 0, MAX_ACCELERATORS_PER_WORKER),
  slotsPerTask: command.getInteger('slots', 1, MAX_SLOTS_PER_WORKER) ?? 1,
  adjacency: command.getChoice('adjacency', ADJACENCIES, 'any')
})

export type RequestedGuarantee = Omit<GuaranteedShape, 'count'> & { readonly count?: number }

export const readGuarantee = (command: CommandLine): RequestedGuarantee => {
  const domain = command.getString('domain')
  const count = command.getInteger('count', 1, MAX_GUARANTEED_TASKS)
  return {
    shape: readShape(command),
    ...(count !== undefined && { count }),
    ...(domain !== undefined && { domain: asDomainId(domain) })
  }
}

const readIdempotent = (command: CommandLine): boolean | undefined => {
  const text = command.getString('idempotent')
  return text === undefined ? undefined : parseChoice(text, '--idempotent', ['yes', 'no']) === 'yes'
}

const readUrgency = (command: CommandLine): KindFields['urgency'] => {
  const text = command.getString('urgency')
  return text === undefined ? undefined : parseChoice(text, '--urgency', URGENCIES)
}

export const readKindFields = (command: CommandLine): KindFields => ({
  urgency: readUrgency(command),
  idempotent: readIdempotent(command),
  expectedRunMs: command.getInteger('expected-run-ms', 1, MAX_RUN_MS),
  startWithinMs: command.getInteger('start-within-ms', 1, MAX_DEADLINE_MS),
  target: command.getNumber('target', MIN_FRACTION, 1 - MIN_FRACTION)
})

const parseRack = (text: string): RackConfig => {
  const parts = text.split(':')
  const [id, workers, accelerators, slots] = parts
  if (parts.length !== 4 || !id || !workers || !accelerators || !slots) {
    throw new UsageError(`--rack: got ${text}, accepted is ID:WORKERS:ACCELERATORS:SLOTS`)
  }
  return {
    id: asId<RackId>(id),
    workers: parseInteger(workers, '--rack: WORKERS', 1, MAX_WORKERS_PER_RACK),
    acceleratorsPerWorker: parseInteger(accelerators, '--rack: ACCELERATORS', 0, MAX_ACCELERATORS_PER_WORKER),
    slotsPerWorker: parseInteger(slots, '--rack: SLOTS', 1, MAX_SLOTS_PER_WORKER)
  }
}

export const readDomainFields = (command: CommandLine): DomainFields => {
  const racks = command.getStrings('rack')
  return {
    region: command.getString('region'),
    racks: racks.length > 0 ? racks.map(parseRack) : undefined
  }
}
