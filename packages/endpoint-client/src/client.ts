import type { Agent } from 'node:http'
import { checkValue, IbisError } from '@ibisstair/common'
import type { CallResult, TaskRenewal, TaskRequest } from '@ibisstair/endpoint-tasks'
import { MAX_JOB_ANSWER_BYTES, type EndpointInfo } from '@ibisstair/model'
import { createPool, dropIdleConnections, limitIdleTime, LONG_POLL_GRACE_MS, parseJson, sendHttp } from '@ibisstair/rpc'
import type { TimerService } from '@ibisstair/timers'
import type * as v from 'valibot'
import { CallResultSchema, EventsAnswerSchema, LeasesAnswerSchema, TasksAnswerSchema } from './schemas.ts'
import type { EventsAnswer, LeasesAnswer, TasksAnswer } from './types.ts'

/** One event poll returns the unacknowledged answers of all slots of a worker. */
const MAX_ENDPOINT_ANSWER_BYTES = 2 * MAX_JOB_ANSWER_BYTES

/** HTTP client of one incarnation of an endpoint. */
export class EndpointClient {
  readonly #endpoint: EndpointInfo
  readonly #timers: TimerService
  readonly #pool: Agent = limitIdleTime(createPool())

  constructor (endpoint: EndpointInfo, timers: TimerService) {
    this.#endpoint = endpoint
    this.#timers = timers
  }

  /** Sends an operation on a task. Never rejects: a call without a valid answer has the result `unknown`. */
  async operate (request: TaskRequest, timeoutMs: number): Promise<CallResult> {
    const { taskId, operation, ...body } = request
    try {
      const path = `/v1/tasks/${encodeURIComponent(taskId)}/${operation}`
      return await this.#post(path, body, timeoutMs, CallResultSchema)
    } catch (err) {
      return EndpointClient.#toCallResult(request, err)
    }
  }

  renewLeases (renewals: readonly TaskRenewal[], timeoutMs: number): Promise<LeasesAnswer> {
    return this.#post('/v1/leases', { renewals }, timeoutMs, LeasesAnswerSchema)
  }

  /** Long poll; rejects if no answer arrives within `waitMs` plus a grace period. */
  pollEvents (after: number, waitMs: number): Promise<EventsAnswer> {
    return this.#post('/v1/events', { after, waitMs }, waitMs + LONG_POLL_GRACE_MS, EventsAnswerSchema)
  }

  listTasks (timeoutMs: number): Promise<TasksAnswer> {
    return this.#send('GET', '/v1/tasks', undefined, timeoutMs, TasksAnswerSchema)
  }

  close (): void {
    this.#pool.destroy()
  }

  /** A refused connection proves that this request was not delivered, but says nothing about earlier requests for the task. */
  static #toCallResult ({ operation }: TaskRequest, err: unknown): CallResult {
    const isUndelivered = err instanceof IbisError && err.details?.reason === 'connect'
    const startsAttempt = operation === 'reserve' || operation === 'run' || operation === 'start'
    if (isUndelivered && startsAttempt) return { status: 'refused', reason: 'connection refused' }
    return { status: 'unknown' }
  }

  #post<S extends v.GenericSchema>(path: string, body: object, timeoutMs: number, schema: S): Promise<v.InferOutput<S>> {
    return this.#send('POST', path, JSON.stringify(body), timeoutMs, schema)
  }

  async #send<S extends v.GenericSchema>(method: string, path: string, body: string | undefined, timeoutMs: number, schema: S): Promise<v.InferOutput<S>> {
    const { address, port } = this.#endpoint
    try {
      const reply = await sendHttp({
        address,
        port,
        method,
        path,
        timeoutMs,
        maxBytes: MAX_ENDPOINT_ANSWER_BYTES,
        agent: this.#pool,
        ...(body !== undefined && { body })
      }, this.#timers)
      const source = `answer of endpoint ${this.#endpoint.id} to ${path}`
      if (reply.status !== 200) throw new IbisError('unreachable', `${source}: HTTP status ${reply.status}`)
      return checkValue(schema, parseJson(reply.body, source), source)
    } catch (err) {
      if (err instanceof IbisError && err.details?.reason === 'timeout') dropIdleConnections(this.#pool)
      throw err
    }
  }
}
