import { ReplicaDriver, type Member, type StateMachine } from '@ibisstair/consensus'
import { openConfigCache } from '@ibisstair/config-sync'
import { ControlNode, MESSAGE_TIMEOUT_MS, type ControlGroup, type GroupSpec } from '@ibisstair/control'
import type { IbisError, NodeId } from '@ibisstair/common'
import { MessageSender, RpcClient, RpcServer } from '@ibisstair/rpc'
import { Scheduler } from '@ibisstair/scheduler'
import { ControlSettings, exitCodeOf, loadSecret, loadSettings, runMain, type CommandLine, type CommandSpec } from '@ibisstair/settings'
import { DataFolder, NodeFileSystem } from '@ibisstair/storage'
import { createLogger, installInvariantReporting, Metrics } from '@ibisstair/telemetry'
import { RandomSource, SystemTimerService } from '@ibisstair/timers'

const SPEC: CommandSpec = {
  name: 'ibisstair-control',
  summary: 'Hosts replicas of the configuration and of the records, and schedules the jobs of a failure domain.',
  daemon: true,
  options: {
    init: { type: 'boolean', help: 'create the data folder at installation and exit; fails if it exists' }
  },
  notes: [
    'A process that finds no data folder joins under a new incarnation: it takes no part in votes until the',
    'leader has replaced its old membership. Run --init only when the deployment is installed.'
  ]
}

const toInitialMembers = ({ voters, witness }: GroupSpec): Member[] => {
  const nodes: ReadonlyArray<readonly [NodeId, boolean]> = [
    ...voters.map((node) => [node, false] as const),
    ...(witness === null ? [] : [[witness, true] as const])
  ]
  return nodes.map(([node, isWitness]) => ({ node, incarnation: '1', role: 'voter', witness: isWitness }))
}

const runControl = async (command: CommandLine): Promise<void> => {
  const settings = loadSettings(command.settingsFile, ControlSettings)
  const secret = loadSecret(settings.secretFile)
  if (command.isCheck) return
  const fs = new NodeFileSystem()
  if (command.getFlag('init')) {
    await DataFolder.init(fs, settings.dataFolder)
    return
  }
  const { node, domain, deployment, controls, entries, groups } = settings
  const timers = new SystemTimerService()
  const random = RandomSource.fromEntropy()
  const logger = createLogger({ level: settings.log.level, node })
  const metrics = new Metrics({ node, server: settings.metrics, timers })
  installInvariantReporting(logger, metrics)
  const folder = await DataFolder.open(fs, settings.dataFolder, random)
  if (folder.isNew) logger.warn('data folder not found; joining under a new incarnation', { incarnation: folder.incarnation })
  const identity = { deployment, node, secret }
  const rpc = new RpcClient(identity, timers)
  const server = new RpcServer(identity)
  const sender = new MessageSender(rpc, new Map(controls.map((control) => [control.node, control])), MESSAGE_TIMEOUT_MS)
  const handleFatal = (err: IbisError): void => {
    logger.error('replica failed permanently; exiting', { kind: err.kind, detail: err.message })
    process.exit(exitCodeOf(err))
  }
  const openGroup = async <Command, Result>(spec: GroupSpec, machine: StateMachine<Command, Result>): Promise<ControlGroup<Command, Result>> =>
    await ReplicaDriver.open({
      group: spec.name,
      node,
      folder,
      timers,
      random,
      transport: sender,
      machine,
      initialMembers: toInitialMembers(spec),
      log: (level, message, info) => logger[level](message, info),
      onFatal: handleFatal
    })
  const control = new ControlNode({
    node,
    domain,
    groups,
    peers: [...controls.filter((peer) => peer.node !== node), ...entries],
    cache: await openConfigCache(fs, settings.dataFolder, (detail) => logger.warn('cached configuration is damaged; ignoring it', { detail })),
    rpc,
    server,
    timers,
    random,
    metrics,
    logger,
    openGroup,
    createScheduler: () => new Scheduler()
  })
  await control.start()
  await server.listen(settings.listen.internal)
  logger.info('RPC server listening', settings.listen.internal)
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  await control.stop()
  await server.close()
  rpc.close()
  await metrics.close()
}

await runMain(SPEC, runControl)
