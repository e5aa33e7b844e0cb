import { checkValue, IbisError } from '@ibisstair/common'
import { MAX_CONFIG_BYTES, MAX_FLEET_WORKERS } from './constants.ts'
import { compareText } from './order.ts'
import { ConfigChangeSchema, ConfigDeltaSchema, ConfigSchema } from './schemas.ts'
import type { Config, ConfigChange, ConfigDeltaBody } from './types.ts'

/** The configuration in force before the first change. */
export const EMPTY_CONFIG: Config = { version: 0, customers: [], kinds: [], fleet: { domains: [] }, drains: [] }

/** Sorts all lists, so that equal configurations compare as equal, whatever order they were written in. */
export const sortConfig = (config: Config): Config => ({
  version: config.version,
  customers: [...config.customers].sort((a, b) => compareText(a.id, b.id)),
  kinds: [...config.kinds].sort((a, b) => compareText(a.kind, b.kind)),
  fleet: { domains: [...config.fleet.domains].sort((a, b) => compareText(a.id, b.id)) },
  drains: [...config.drains].sort(compareText)
})

const checkPinnedDomains = (config: Config, inputName: string): void => {
  const domains = new Set(config.fleet.domains.map((domain) => domain.id))
  for (const customer of config.customers) {
    customer.guarantees.forEach(({ domain }, i) => {
      if (domain === undefined || domains.has(domain)) return
      throw new IbisError(
        'invalid-request',
        `${inputName}: field customers.${customer.id}.guarantees.${i}.domain: got "${domain}", accepted is a configured failure domain (${[...domains].join(', ') || 'none'})`
      )
    })
  }
}

const checkFleetSize = (config: Config, inputName: string): void => {
  const racks = config.fleet.domains.flatMap((domain) => domain.racks)
  const workers = racks.reduce((sum, rack) => sum + rack.workers, 0)
  if (workers <= MAX_FLEET_WORKERS) return
  throw new IbisError(
    'invalid-request',
    `${inputName}: field fleet.domains: got ${workers} workers, accepted is at most ${MAX_FLEET_WORKERS}`
  )
}

const checkEncodedSize = (config: Config, inputName: string): void => {
  const bytes = Buffer.byteLength(JSON.stringify(config))
  if (bytes <= MAX_CONFIG_BYTES) return
  throw new IbisError('invalid-request', `${inputName}: takes ${bytes} bytes as JSON, accepted is at most ${MAX_CONFIG_BYTES}`)
}

/**
 * Validates fields, sizes, unique ids and references, and sorts the lists. Throws `invalid-request`;
 * `inputName` names the input in the message. Whether the guarantees fit is left to `checkFeasible`.
 */
export const parseConfig = (input: unknown, inputName = 'configuration'): Config => {
  const config: Config = checkValue(ConfigSchema, input, inputName)
  checkPinnedDomains(config, inputName)
  checkFleetSize(config, inputName)
  checkEncodedSize(config, inputName)
  return sortConfig(config)
}

export const parseConfigDelta = (input: unknown, inputName = 'configuration delta'): ConfigDeltaBody =>
  checkValue(ConfigDeltaSchema, input, inputName)

export const parseConfigChange = (input: unknown, inputName = 'configuration change'): ConfigChange =>
  checkValue(ConfigChangeSchema, input, inputName)
