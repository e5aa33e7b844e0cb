import type { Test } from 'tap'
import { asId, type DomainId, type NodeId } from '@ibisstair/common'
import { ReplicaDriver } from '@ibisstair/consensus'
import { ConfigCache, openConfigCache } from '@ibisstair/config-sync'
import { ControlNode, type OpenGroup } from '@ibisstair/control'
import { Entry, type EntryAddresses } from '@ibisstair/gateway'
import { RpcClient, RpcServer, type Identity } from '@ibisstair/rpc'
import { Scheduler } from '@ibisstair/scheduler'
import { DataFolder, type FileSystem } from '@ibisstair/storage'
import { createLogger, Metrics } from '@ibisstair/telemetry'
import { RandomSource, SystemTimerService } from '@ibisstair/timers'
import { FakeEndpoint } from '../../scripts/fake-endpoint.ts'
import { LocalGroup } from './local-group.ts'

export const SECRET = 'secret-of-the-test-deployment'
export const DOMAIN = asId<DomainId>('cr-sj')
const DATA_FOLDER = '/data'
const LOCAL = { address: '127.0.0.1', port: 0 }

export interface InProcess {
  readonly entry: Entry
  readonly addresses: EntryAddresses
  readonly endpoints: readonly FakeEndpoint[]
}

const identify = (node: string): Identity => ({ deployment: 'test', node: asId<NodeId>(node), secret: SECRET })

const timers = new SystemTimerService()
const random = new RandomSource(1)
const logger = createLogger({ level: 'error', node: 'test' })

/** Returns a function that opens groups with one voter each and stores their state on the given file system. */
const openGroupsOn = async (fs: FileSystem, node: NodeId): Promise<OpenGroup> => {
  const folder = await DataFolder.init(fs, DATA_FOLDER)
  return async (spec, machine) => await ReplicaDriver.open({
    group: spec.name,
    node,
    folder,
    timers,
    random,
    transport: { send: () => {} },
    machine,
    initialMembers: [{ node, incarnation: '1', role: 'voter', witness: false }],
    onFatal: (err) => { throw err }
  })
}

const startControl = async (t: Test, fs?: FileSystem): Promise<{ readonly address: string, readonly port: number }> => {
  const identity = identify('control-1')
  const server = new RpcServer(identity)
  const rpc = new RpcClient(identity, timers)
  const openGroup: OpenGroup = fs ? await openGroupsOn(fs, identity.node) : async (_spec, machine) => new LocalGroup(identity.node, machine)
  const node = new ControlNode({
    node: identity.node,
    domain: DOMAIN,
    groups: { config: { voters: [identity.node] }, domains: [{ domain: DOMAIN, voters: [identity.node], witness: asId<NodeId>('none') }] },
    peers: [],
    cache: fs ? await openConfigCache(fs, DATA_FOLDER, () => {}) : new ConfigCache(null),
    rpc,
    server,
    timers,
    random,
    metrics: new Metrics({ node: 'control-1' }),
    logger,
    openGroup,
    createScheduler: () => new Scheduler()
  })
  const address = await server.listen(LOCAL)
  await node.start()
  t.teardown(async () => {
    await node.stop()
    server.destroy()
    rpc.close()
  })
  return address
}

/** Starts one entry, one control node and a few endpoints in this process. Groups are fake unless `fs` is given. */
export const startInProcess = async (t: Test, options: { readonly endpoints?: number, readonly accelerators?: number, readonly fs?: FileSystem } = {}): Promise<InProcess> => {
  const control = await startControl(t, options.fs)
  const identity = identify('entry-1')
  const rpc = new RpcClient(identity, timers)
  const server = new RpcServer(identity)
  const entry = new Entry({
    node: identity.node,
    domain: DOMAIN,
    listen: { callers: LOCAL, endpoints: LOCAL, operators: LOCAL, internal: LOCAL },
    secret: SECRET,
    controls: [{ node: asId<NodeId>('control-1'), domain: DOMAIN, ...control }],
    entries: [],
    cache: new ConfigCache(null),
    rpc,
    server,
    timers,
    random,
    metrics: new Metrics({ node: 'entry-1' }),
    logger,
    drainMs: 0,
    maxBodyBytes: 1024 * 1024,
    maxPending: 1000
  })
  const addresses = await entry.start()
  const endpoints = Array.from({ length: options.endpoints ?? 2 }, (_, i) => new FakeEndpoint({
    id: `endpoint-${i}`, domain: DOMAIN, rack: 'rack-1', accelerators: options.accelerators ?? 8, entries: [addresses.endpoints], announceMs: 200
  }))
  for (const endpoint of endpoints) await endpoint.start()
  t.teardown(async () => {
    for (const endpoint of endpoints) endpoint.kill()
    await entry.stop()
    rpc.close()
  })
  return { entry, addresses, endpoints }
}
