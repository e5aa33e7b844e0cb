import { asId, assertNever, IbisError, type CustomerId, type JobId } from '@ibisstair/common'
import { checkJob, type JobSpec, type JobStatus, type QueueConfig, type SchedulingState, type StateCommand, type StateResult } from '@ibisstair/jobs'
import type { Dispatcher } from '@ibisstair/dispatch'
import type { RelayDirectory, RelayOffer } from '@ibisstair/relay'
import type { Logger, Metrics } from '@ibisstair/telemetry'
import type { TimerService } from '@ibisstair/timers'
import type { AdmissionControl } from './admission-control.ts'
import { COMMAND_TIMEOUT_MS, RETRY_AFTER_MS } from './constants.ts'
import { DomainService } from './domain-service.ts'
import type {
  AnnounceAnswer, AnnounceParams, ConfigAnswer, ConfigureParams, DomainOrderParams, JobAnswer, JobSubmission, LeaderMethod, LeaveParams, PendingAnswer, QueueAddress, SubmitParams
} from './types.ts'

export interface LeaderServiceOptions {
  readonly state: SchedulingState
  readonly dispatcher: Dispatcher
  readonly relays: RelayDirectory
  readonly propose: (command: StateCommand, timeoutMs: number) => Promise<StateResult>
  /** Null if every job is accepted that the limits on stored jobs allow. */
  readonly admission?: AdmissionControl | null
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Metrics
}

const JOB_ID_PATTERN = /^[0-9a-fA-F]{1,64}$/

/** Handles the leader's calls from callers, operators and endpoints. Every answer reflects all committed commands. */
export class LeaderService {
  readonly #options: LeaderServiceOptions
  readonly #domains: DomainService

  constructor (options: LeaderServiceOptions) {
    this.#options = options
    this.#domains = new DomainService(options)
  }

  async handle (method: LeaderMethod, params: unknown): Promise<unknown> {
    switch (method) {
      case 'job.submit': return await this.#submit(params as SubmitParams)
      case 'job.status': return this.#getJobStatus(params as QueueAddress)
      case 'job.cancel': return await this.#cancel(params as QueueAddress)
      case 'queue.pending': return this.#countPending(params as QueueAddress)
      case 'config.put': return await this.#configure(params as ConfigureParams)
      case 'config.get': return await this.#readConfig()
      case 'endpoint.announce': return await this.#announce(params as AnnounceParams)
      case 'endpoint.leave': return await this.#leave(params as LeaveParams)
      case 'domain.drain': return await this.#domains.drain(params as DomainOrderParams)
      case 'domain.restore': return await this.#domains.restore(params as DomainOrderParams)
      case 'domain.list': return await this.#domains.list()
      case 'relay.offer': return this.#recordRelay(params as RelayOffer)
      case 'relay.withdraw': return this.#removeRelay(params as RelayOffer)
      default: return assertNever(method)
    }
  }

  // Jobs

  async #submit (params: SubmitParams): Promise<JobAnswer> {
    const { state, admission, timers, logger, metrics } = this.#options
    const { queue, customer, job } = this.#resolveJob(params)
    const configVersion = state.config.version
    const existingJob = state.jobs.get(job)
    if (existingJob) return { status: existingJob.status }
    checkJob(params.submission)
    const atMs = timers.wallClock()
    const spec = toJobSpec(job, queue, customer, params.submission)
    const propose = async (): Promise<StateResult> => await this.#propose({ type: 'accept', spec, atMs, configVersion })
    const result = admission ? await admission.run(spec, propose) : await propose()
    if (result.type === 'refused') throw new IbisError('queue-full', `the limit on stored jobs is reached: ${result.reason}`, { retryAfterMs: RETRY_AFTER_MS })
    if (result.type !== 'accepted') throw new IbisError('internal', `unexpected result ${result.type}`)
    if (result.isNew) {
      metrics.increment('jobs.accepted')
      const { steps } = params.submission
      logger.info('job accepted', { job, queue: queue.name, customer, priority: queue.priority, tasks: steps.reduce((sum, { count }) => sum + count, 0), accelerators: steps[0]?.resources.accelerators, configVersion })
    }
    return { status: result.status }
  }

  #getJobStatus (params: QueueAddress): JobAnswer {
    const { job } = this.#resolveJob(params)
    const existingJob = this.#options.state.jobs.get(job)
    if (!existingJob) throw new IbisError('unknown-job', `job ${job} is not known`)
    return { status: existingJob.status }
  }

  async #cancel (params: QueueAddress): Promise<JobAnswer> {
    const { timers, logger, metrics } = this.#options
    const { job } = this.#resolveJob(params)
    // Also for a job that is not known: its submission may still be on its way.
    const result = await this.#propose({ type: 'cancel', job, atMs: timers.wallClock() })
    const status: JobStatus | null = result.type === 'cancelled' ? result.status : null
    if (status === null) {
      logger.info('cancelled a job that is not known; a later submission of it will not run', { job })
      throw new IbisError('unknown-job', `job ${job} is not known`)
    }
    metrics.increment('jobs.cancelled')
    logger.info('job cancelled', { job, status })
    return { status }
  }

  #countPending (params: QueueAddress): PendingAnswer {
    const { queue } = this.#authorise(params)
    if (params.path !== queue.pathPrefix) throw new IbisError('unknown-queue', `no queue has the path prefix ${params.path}`)
    return { pending: this.#options.state.jobs.countPending(queue.name) }
  }

  #authorise ({ host, path, credential }: QueueAddress): { readonly queue: QueueConfig, readonly customer: CustomerId | null } {
    const { config } = this.#options.state
    if (!config.config) throw new IbisError('stale-config', 'no configuration has been applied yet', { retryAfterMs: RETRY_AFTER_MS })
    const queue = config.findQueue(host, path)
    if (!queue) throw new IbisError('unknown-queue', `no queue matches host ${host} and path ${path}`, { info: { configVersion: config.version } })
    const customer = credential === null ? undefined : config.findCustomer(credential)
    if (customer === undefined && !queue.isPublic) throw new IbisError('bad-credential', 'the credential is missing or unknown, and the queue is not public', { info: { configVersion: config.version } })
    return { queue, customer: customer ?? null }
  }

  #resolveJob (params: QueueAddress): { readonly queue: QueueConfig, readonly customer: CustomerId | null, readonly job: JobId } {
    const { queue, customer } = this.#authorise(params)
    const id = params.path.slice(queue.pathPrefix.length)
    if (!JOB_ID_PATTERN.test(id)) throw new IbisError('unknown-queue', `path ${params.path} does not end in a valid job id for queue ${queue.name}: 1 to 64 hexadecimal digits are accepted`)
    return { queue, customer, job: asId<JobId>(id) }
  }

  // Configuration

  async #configure ({ config }: ConfigureParams): Promise<object> {
    const { state, timers, logger, metrics } = this.#options
    const before = state.config.version
    const result = await this.#propose({ type: 'configure', config, atMs: timers.wallClock() })
    if (result.type !== 'configured') throw new IbisError('internal', `unexpected result ${result.type}`)
    const { movedJobs, failedJobs } = result.effect
    if (result.isChanged) logger.info('configuration in force', { version: config.version, before, queues: config.queues.length, customers: config.customers.length, movedJobs, failedJobs: failedJobs.length })
    for (const job of failedJobs) logger.warn('job failed: a task has used up the attempts of the new configuration', { job, configVersion: config.version })
    metrics.increment('jobs.moved', movedJobs)
    return { version: result.version }
  }

  /** Commits a barrier first, which proves that no newer leader has accepted a configuration. */
  async #readConfig (): Promise<ConfigAnswer> {
    await this.#propose({ type: 'barrier' })
    const { config } = this.#options.state.config
    if (!config) throw new IbisError('stale-config', 'no configuration has been applied yet', { retryAfterMs: RETRY_AFTER_MS })
    return { document: config.document, version: config.version }
  }

  // Endpoints

  async #announce ({ endpoint, clockMs, coldLeftMs = 0 }: AnnounceParams): Promise<AnnounceAnswer> {
    const { dispatcher, relays, timers } = this.#options
    await dispatcher.announce(endpoint, clockMs, coldLeftMs)
    return { announceTo: relays.getAnnounceAddress(endpoint, timers.now()) }
  }

  async #leave ({ endpointId, bornMs = null, service = null, address = null }: LeaveParams): Promise<object> {
    await this.#options.dispatcher.leave({ endpointId, bornMs, service, address })
    return {}
  }

  #removeRelay ({ node }: RelayOffer): object {
    this.#options.relays.remove(node)
    return {}
  }

  #recordRelay (offer: RelayOffer): object {
    const { relays, timers } = this.#options
    relays.record(offer, timers.now())
    return {}
  }

  async #propose (command: StateCommand): Promise<StateResult> {
    return await this.#options.propose(command, COMMAND_TIMEOUT_MS)
  }
}

const toJobSpec = (id: JobId, queue: QueueConfig, customer: CustomerId | null, { payload, steps, recurrence }: JobSubmission): JobSpec => ({
  id,
  queue: queue.name,
  route: { host: queue.host, pathPrefix: queue.pathPrefix },
  service: queue.service,
  customer,
  priority: queue.priority,
  maxAttempts: queue.maxAttempts,
  stretch: queue.stretch,
  targetLatencyMs: queue.targetLatencyMs,
  payload,
  steps,
  recurrence
})
