import { checkValue, type Execution, IbisError, invariant } from '@ibisstair/common'
import type { StateMachine } from '@ibisstair/consensus'
import {
  checkFeasible, type Config, type ConfigChange, ConfigDelta, type ConfigOperation, EMPTY_CONFIG, encodeCanonical,
  parseConfig, parseConfigChange
} from '@ibisstair/model'
import { createHash } from 'node:crypto'
import { isDeepStrictEqual } from 'node:util'
import { BoundedMap } from './bounded-map.ts'
import type { ConfigCommand, ConfigResult } from './config-types.ts'
import { MAX_ACCEPTED_CHANGE_IDS, MAX_REFUSED_CHANGE_IDS } from './constants.ts'
import { toPlainJson } from './plain.ts'
import { ConfigCommandSchema, ConfigSnapshotSchema } from './schemas.ts'

interface RecordedChange {
  readonly fingerprint: string
  readonly result: ConfigResult
}

export interface ConfigRegisterLimits {
  readonly acceptedIds: number
  readonly refusedIds: number
}

const DEFAULT_LIMITS: ConfigRegisterLimits = {
  acceptedIds: MAX_ACCEPTED_CHANGE_IDS,
  refusedIds: MAX_REFUSED_CHANGE_IDS
}

const fingerprintChange = (change: ConfigChange): string =>
  createHash('sha256').update(encodeCanonical(change)).digest('hex')

const describeMissingTarget = (operation: ConfigOperation, config: Config): IbisError => {
  const detail = `${operation.op}: ${JSON.stringify(operation)} names nothing in version ${config.version}`
  if (operation.op === 'remove-customer') return new IbisError('unknown-customer', detail)
  if (operation.op === 'remove-kind') return new IbisError('unknown-kind', detail)
  return new IbisError('invalid-request', detail)
}

/**
 * Replicated state machine with the configuration in force. All replicas must use the same limits. An
 * error in a command is returned as its result, because an exception would stop every replica at the
 * same log entry.
 */
export class ConfigRegister implements StateMachine<ConfigCommand, ConfigResult> {
  readonly #limits: ConfigRegisterLimits
  #config: Config = EMPTY_CONFIG
  #accepted: BoundedMap<RecordedChange>
  #refused: BoundedMap<RecordedChange>
  /** Change ids of versions up to this one may have been evicted. */
  #forgottenVersion = 0

  constructor (limits: ConfigRegisterLimits = DEFAULT_LIMITS) {
    this.#limits = limits
    this.#accepted = new BoundedMap(limits.acceptedIds)
    this.#refused = new BoundedMap(limits.refusedIds)
  }

  get config (): Config {
    return this.#config
  }

  get rememberedChangeCount (): number {
    return this.#accepted.size + this.#refused.size
  }

  apply (command: ConfigCommand): ConfigResult {
    const before = this.#config.version
    const result = this.#apply(command)
    invariant(this.#config.version >= before, 'the configuration version never goes back', { command, before })
    invariant(
      result.status === 'refused' || result.version <= this.#config.version,
      'an accepted version is never above the version in force',
      { command, result }
    )
    return result
  }

  toSnapshot (): unknown {
    return {
      config: this.#config,
      accepted: this.#accepted.toEntries(),
      refused: this.#refused.toEntries(),
      forgottenVersion: this.#forgottenVersion
    }
  }

  restore (snapshot: unknown): void {
    const state = checkValue(ConfigSnapshotSchema, snapshot, 'configuration snapshot')
    this.#config = parseConfig(state.config, 'configuration snapshot')
    this.#accepted = new BoundedMap(this.#limits.acceptedIds, state.accepted)
    this.#refused = new BoundedMap(this.#limits.refusedIds, state.refused)
    this.#forgottenVersion = state.forgottenVersion
  }

  #apply (command: ConfigCommand): ConfigResult {
    try {
      const plain = checkValue(ConfigCommandSchema, toPlainJson(command, 'configuration command'), 'configuration command')
      return plain.type === 'import' ? this.#import(plain.config) : this.#change(plain.change)
    } catch (err) {
      if (!(err instanceof IbisError)) throw err
      return this.#refuse(err)
    }
  }

  #change (input: unknown): ConfigResult {
    const change = parseConfigChange(input)
    const fingerprint = fingerprintChange(change)
    const known = this.#accepted.get(change.changeId) ?? this.#refused.get(change.changeId)
    if (known) return this.#replayResult(change, fingerprint, known)
    const result = this.#decide(change)
    this.#record(change, { fingerprint, result })
    return result
  }

  #replayResult (change: ConfigChange, fingerprint: string, known: RecordedChange): ConfigResult {
    if (known.fingerprint === fingerprint) return known.result
    return this.#refuse(new IbisError(
      'key-conflict',
      `changeId ${change.changeId} belongs to a different change, which was ${known.result.status} at version ${known.result.version}`
    ))
  }

  #decide (change: ConfigChange): ConfigResult {
    const { version } = this.#config
    if (change.expectedVersion !== version) return this.#refuse(this.#describeConflict(change))
    try {
      const delta = ConfigDelta.create(change.delta)
      const missingTarget = delta.findMissingTarget(this.#config)
      if (missingTarget) throw describeMissingTarget(missingTarget, this.#config)
      const next = parseConfig({ ...delta.apply(this.#config), version: version + 1 })
      checkFeasible(next)
      this.#config = next
      return { status: 'accepted', version: next.version }
    } catch (err) {
      if (!(err instanceof IbisError)) throw err
      return this.#refuse(err)
    }
  }

  /** If the change may have been accepted under an evicted id, the error says "unknown" instead of "not run". */
  #describeConflict (change: ConfigChange): IbisError {
    const { version } = this.#config
    const execution: Execution = change.expectedVersion < this.#forgottenVersion ? 'unknown' : 'not-run'
    return new IbisError(
      'version-conflict',
      `field expectedVersion: got ${change.expectedVersion}, the version in force is ${version}`,
      { execution, info: { version } }
    )
  }

  #record (change: ConfigChange, recorded: RecordedChange): void {
    if (recorded.result.status === 'refused') {
      this.#refused.add(change.changeId, recorded)
      return
    }
    const dropped = this.#accepted.add(change.changeId, recorded)
    if (dropped) this.#forgottenVersion = Math.max(this.#forgottenVersion, dropped.result.version)
  }

  #import (input: unknown): ConfigResult {
    const config = parseConfig(input, 'imported configuration')
    const { version } = this.#config
    if (isDeepStrictEqual(config, this.#config)) return { status: 'accepted', version }
    if (config.version <= version) {
      throw new IbisError(
        'version-conflict',
        `imported configuration: field version: got ${config.version}, accepted is above the version in force, ${version}`,
        { info: { version } }
      )
    }
    checkFeasible(config)
    this.#config = config
    this.#forgottenVersion = config.version
    return { status: 'accepted', version: config.version }
  }

  #refuse (err: IbisError): ConfigResult {
    return { status: 'refused', version: this.#config.version, error: err.toBody() }
  }
}
