import { assertNever } from '@ibisstair/common'
import type { StateMachine } from '@ibisstair/consensus'
import { ConfigStore } from './config-store.ts'
import { DomainDrains, NO_DOMAIN_DRAINS, type DomainDrainsSnapshot } from './domain-drains.ts'
import type { EarlyCancels } from './early-cancels.ts'
import { EndpointStore } from './endpoint-store.ts'
import type { JobSnapshot } from './job-entry.ts'
import { JobStore } from './job-store.ts'
import type { SilentLosses } from './silent-losses.ts'
import type { ConfigEffect, EndedIncarnation, EndpointIncarnation, EndpointRecord, IncarnationEnd, ServiceConfig, Silence, StateCommand, StateResult } from './types.ts'

interface StateSnapshot {
  readonly config: ServiceConfig | null
  readonly endpoints: readonly EndpointRecord[]
  /** Absent in snapshots of builds that did not remember ended incarnations. */
  readonly endedIncarnations?: readonly EndpointIncarnation[]
  readonly jobs: readonly JobSnapshot[]
  /** Absent in snapshots of builds that did not count crashes. */
  readonly silentLosses?: ReturnType<SilentLosses['toSnapshot']>
  /** Absent in snapshots of builds that forgot the cancellation of a job that was not known. */
  readonly earlyCancels?: ReturnType<EarlyCancels['toSnapshot']>
  /** Absent in snapshots of builds that could not drain failure domains. */
  readonly domainDrains?: DomainDrainsSnapshot
}

const NO_EFFECT: ConfigEffect = { movedJobs: 0, failedJobs: [] }

export type StateListener = (command: StateCommand, result: StateResult) => void

/** The replicated state: configuration, endpoints, drained failure domains and jobs, changed by commands in the order of the log. */
export class SchedulingState implements StateMachine<StateCommand, StateResult> {
  readonly config = new ConfigStore()
  readonly endpoints = new EndpointStore()
  readonly domainDrains = new DomainDrains()
  readonly jobs = new JobStore()
  readonly #listeners = new Set<StateListener>()

  /** Registers a listener that is called after each applied command. Returns a function that removes it. */
  onApplied (listener: StateListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  apply (command: StateCommand): StateResult {
    const result = this.#apply(command)
    for (const listener of this.#listeners) listener(command, result)
    return result
  }

  toSnapshot (): StateSnapshot {
    return {
      config: this.config.config,
      endpoints: [...this.endpoints.list()],
      endedIncarnations: [...this.endpoints.listEnded()],
      jobs: this.jobs.toSnapshot(),
      silentLosses: this.jobs.silentLosses.toSnapshot(),
      earlyCancels: this.jobs.earlyCancels.toSnapshot(),
      domainDrains: this.domainDrains.toSnapshot()
    }
  }

  restore (snapshot: unknown): void {
    const { config, endpoints, endedIncarnations = [], jobs, silentLosses = [], earlyCancels = [], domainDrains = NO_DOMAIN_DRAINS } = snapshot as StateSnapshot
    this.config.restore(config)
    this.endpoints.restore(endpoints, endedIncarnations)
    this.jobs.restore(jobs)
    // Earlier builds left accepted jobs as they were; attempts decide in the replicated state, so that they stay.
    this.jobs.followConfig(this.config, { attemptsAtMs: null })
    this.jobs.silentLosses.restore(silentLosses)
    this.jobs.earlyCancels.restore(earlyCancels)
    this.domainDrains.restore(domainDrains)
  }

  /** Whether the configuration in force, or a job that is still to be done, names the service. */
  isServiceNamed (service: string): boolean {
    return this.config.hasService(service) || this.jobs.needsService(service)
  }

  #apply (command: StateCommand): StateResult {
    switch (command.type) {
      case 'configure': {
        const isChanged = this.config.put(command.config)
        const effect = isChanged ? this.jobs.followConfig(this.config, { attemptsAtMs: command.atMs ?? null }) : NO_EFFECT
        return { type: 'configured', version: this.config.version, isChanged, effect }
      }
      case 'accept': {
        const accepted = this.jobs.accept(command.spec, command.atMs)
        if (typeof accepted === 'string') return { type: 'refused', reason: accepted }
        // Another configuration may have been committed since the spec was made.
        if (accepted.isNew) this.jobs.followQueue(accepted.job, this.config, { attemptsAtMs: command.configVersion === undefined ? null : command.atMs })
        return { type: 'accepted', isNew: accepted.isNew, status: accepted.job.status }
      }
      case 'cancel': return { type: 'cancelled', status: this.jobs.cancel(command.job, command.atMs)?.status ?? null }
      case 'start': {
        // A group with an endpoint that was replaced, removed or drained with its failure domain in the meantime is not started.
        const groups = command.groups.filter(({ members }) => members.every(({ endpoint }) => this.#mayStartOn(endpoint)))
        return { type: 'started', groups: this.jobs.start(groups, command.atMs) }
      }
      case 'end': {
        this.jobs.end(command.endpoint, command.ends, command.atMs, command.silence)
        return { type: 'ended' }
      }
      case 'register-endpoint': {
        const replaced = this.endpoints.put(command.endpoint)
        return { type: 'registered', isChanged: replaced !== null, replaced: (replaced ?? []).map((endpoint) => this.#endIncarnation(endpoint, 'replaced', findSilence(command.silences, endpoint), command.atMs)) }
      }
      case 'remove-endpoint': {
        const endpoint = this.endpoints.get(command.life)
        if (command.hasEnded) this.endpoints.end(command.life)
        else this.endpoints.remove(command.life)
        return { type: 'removed', ended: endpoint ? this.#endIncarnation(endpoint, toEnd(command), command.silence ?? null, command.atMs) : null }
      }
      case 'drain-domain': return { type: 'domain-drain', ...this.domainDrains.apply({ ...command, isDrained: true }) }
      case 'restore-domain': return { type: 'domain-drain', ...this.domainDrains.apply({ ...command, isDrained: false }) }
      case 'barrier': return { type: 'passed' }
      default: return assertNever(command)
    }
  }

  #mayStartOn (life: EndpointIncarnation): boolean {
    const endpoint = this.endpoints.get(life)
    return endpoint !== undefined && !this.domainDrains.isDrained(endpoint.domain)
  }

  /** An incarnation that was replaced has crashed, unless it had announced that it would leave or is only silent (`end` null). */
  #endIncarnation (endpoint: EndpointRecord, end: IncarnationEnd | null, silence: Silence | null, atMs: number): EndedIncarnation {
    return this.jobs.endIncarnation(endpoint, { hasCrashed: end === 'replaced' && !endpoint.draining, silence, endpoints: this.endpoints.size, atMs })
  }
}

const findSilence = (silences: readonly Silence[] | undefined, { life }: EndpointRecord): Silence | null =>
  silences?.find((silence) => silence.life === life) ?? null

/** Earlier builds did not tell how an incarnation had ended; most of those were replaced. */
const toEnd = ({ hasEnded, cause }: Extract<StateCommand, { type: 'remove-endpoint' }>): IncarnationEnd | null =>
  hasEnded ? cause ?? 'replaced' : null
