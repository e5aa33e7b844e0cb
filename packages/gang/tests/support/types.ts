import type { JobRequest } from '@ibisstair/model'
import type { ManualTimerService, RandomSource } from '@ibisstair/timers'
import type { GangEffect, GangProtection, GangSpec } from '../../src/index.ts'
import type { FakeEndpoint } from './endpoint.ts'
import type { FakeNetwork } from './network.ts'

export interface Job {
  readonly id: string
  readonly request: JobRequest
  isSubmitted: boolean
  outcome: string | undefined
}

export interface StartRecord {
  readonly spec: GangSpec
  outcome: string | undefined
}

/** The parts of the simulation that a fake scheduler uses. */
export interface SchedulerHost {
  readonly timers: ManualTimerService
  readonly random: RandomSource
  readonly network: FakeNetwork
  readonly endpoints: readonly FakeEndpoint[]
  readonly jobs: readonly Job[]
  readonly findings: string[]
  readonly leaseMs: number
  readonly renewMs: number
  readonly gangTestOverrides: Partial<Record<GangProtection, boolean>>
  readonly register: {
    get (jobId: string): StartRecord | undefined
    record (term: number, jobId: string, spec: GangSpec, done: (ok: boolean) => void): void
    resolve (term: number, jobId: string, outcome: string): boolean
  }
  getEndpoint (id: string): FakeEndpoint
  complete (job: Job, outcome: string): void
  onOpened (spec: GangSpec): void
  onReported (spec: GangSpec, effects: readonly GangEffect[]): void
  onStep (schedulerId: number): void
}
