import { openConfigCache } from '@ibisstair/config-sync'
import { Entry } from '@ibisstair/gateway'
import { RpcClient, RpcServer } from '@ibisstair/rpc'
import { EntrySettings, loadSecret, loadSettings, runMain, type CommandLine, type CommandSpec } from '@ibisstair/settings'
import { NodeFileSystem } from '@ibisstair/storage'
import { createLogger, installInvariantReporting, Metrics } from '@ibisstair/telemetry'
import { RandomSource, SystemTimerService } from '@ibisstair/timers'

const SPEC: CommandSpec = {
  name: 'ibisstair-entry',
  summary: 'Serves callers, endpoints and operators, and forwards to the control processes.',
  daemon: true
}

const runEntry = async (command: CommandLine): Promise<void> => {
  const settings = loadSettings(command.settingsFile, EntrySettings)
  const secret = loadSecret(settings.secretFile)
  if (command.isCheck) return
  const { node, domain, deployment } = settings
  const timers = new SystemTimerService()
  const logger = createLogger({ level: settings.log.level, node })
  const metrics = new Metrics({ node, server: settings.metrics, timers })
  installInvariantReporting(logger, metrics)
  const cache = await openConfigCache(new NodeFileSystem(), settings.dataFolder, (detail) => logger.warn('cached configuration is damaged; ignoring it', { detail }))
  const identity = { deployment, node, secret }
  const rpc = new RpcClient(identity, timers)
  const entry = new Entry({
    node,
    domain,
    listen: settings.listen,
    secret,
    controls: settings.controls,
    entries: settings.entries.filter((peer) => peer.node !== node),
    cache,
    rpc,
    server: new RpcServer(identity),
    timers,
    random: RandomSource.fromEntropy(),
    metrics,
    logger,
    drainMs: settings.shutdown.drainMs,
    maxBodyBytes: settings.limits.maxBodyBytes,
    maxPending: settings.limits.maxPending
  })
  await entry.start()
  await new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  await entry.stop()
  rpc.close()
  await metrics.close()
}

await runMain(SPEC, runEntry)
