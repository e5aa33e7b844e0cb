import { asId, type DomainId, type RackId } from '@ibisstair/common'
import type { EndpointRecord } from '@ibisstair/jobs'
import { createEndpoint, createStep } from '../../../jobs/tests/support/samples.ts'
import type { FakeFaults } from './fake-fleet.ts'
import { TestCluster } from './test-cluster.ts'

const ZONES = ['z1', 'z2', 'z3']

/** Three failure domains of two endpoints each. `startedAtMs` has the last start on each endpoint that it carried out. */
export class Zones extends TestCluster {
  readonly startedAtMs = new Map<string, number>()

  constructor (seed: number, faults: Partial<FakeFaults> = {}) {
    const endpoints = ZONES.flatMap((zone, i) => [0, 1].map((n) => createEndpoint(`${zone}-${n}`, { address: `10.0.${i}.${n}:1`, domain: asId<DomainId>(zone), rack: asId<RackId>(`r${i}`) })))
    super(seed, faults, endpoints)
    const recordStart = this.fleet.recordStart.bind(this.fleet)
    this.fleet.recordStart = (endpoint, order) => {
      this.startedAtMs.set(endpoint.record.id, this.timers.now())
      recordStart(endpoint, order)
    }
    this.elect()
  }

  listIn (zone: string): EndpointRecord[] {
    return this.endpoints.filter(({ domain }) => domain === zone)
  }

  lastStartIn (zone: string): number {
    return Math.max(-Infinity, ...this.listIn(zone).map(({ id }) => this.startedAtMs.get(id) ?? -Infinity))
  }

  countRunsIn (zone: string): number {
    return this.listIn(zone).reduce((sum, { life }) => sum + this.state.jobs.listRuns(life).size, 0)
  }

  get zoneWithMostRuns (): string {
    return ZONES.reduce((most, zone) => this.countRunsIn(zone) > this.countRunsIn(most) ? zone : most)
  }

  /** Submits more short tasks than the fleet can run until they have all ended. */
  submitWave (id: string, count = 200): void {
    this.submit(id, [createStep({ count })])
  }
}
