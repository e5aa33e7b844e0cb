import { HOST, KEY } from './deployment.ts'

/** A queue of the configuration; lower numbers are more urgent. */
export interface Queue {
  readonly name: string
  readonly priority: number
}

interface ConfigOptions {
  readonly queues?: readonly Queue[]
  readonly keys?: readonly string[]
  readonly guaranteedGpu?: number
}

export const createConfig = (version: number, { queues = [{ name: 'checks', priority: 0 }], keys = [KEY], guaranteedGpu = 8 }: ConfigOptions = {}): object => ({
  Version: version,
  Routes: queues.map(({ name, priority }) => ({ Name: name, Host: HOST, PathPrefix: `/${name}/`, Kind: 'unsafe', TimeoutMs: 3_000, TargetLatencyMs: 250, Priority: priority, Service: 'app', MaxAttempts: 3, Stretch: 1.5, Public: false })),
  Services: [{ Name: 'app', HealthPath: '/health', MaxConns: 64, Protocol: 'h1', Tls: false, RejectsOverload: false, Standby: false }],
  Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
  Tenants: [{ Name: 'clinics', ApiKeys: keys, Priority: 1, Guaranteed: { Gpu: guaranteedGpu } }]
})

/** Returns the n-th job id of a case: 16 hexadecimal digits. */
export const toJobId = (n: number): string => `5c0e7a21${n.toString(16).padStart(8, '0')}`

/** A step of tasks with one accelerator each; 8 of them fill a worker. */
export const createStep = (count: number, fields: object = {}): object => ({ Count: count, Cpu: 1_000, MemMb: 1_000, Gpu: 1, EstimateMs: 1_000, ...fields })
