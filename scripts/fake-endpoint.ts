// A small endpoint for the demo and the tests. It serves the protocol of docs/design.md section 6.2
// with a TaskTable, simulates tasks by waiting, and accepts faults through POST /control.
import { createServer, request as httpRequest, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { asId, type DomainId, type EndpointId, type RackId, type TaskId } from '@ibisstair/common'
import { TaskTable, type TaskEffect, type TaskRenewal, type TaskRequest } from '@ibisstair/endpoint-tasks'
import type { EndpointInfo } from '@ibisstair/model'
import { parseJson, readBody, sendJson } from '@ibisstair/rpc'
import { SystemTimerService, type Unsubscribe } from '@ibisstair/timers'

export interface FakeEndpointOptions {
  readonly id: string
  readonly domain: string
  readonly rack: string
  readonly slots?: number
  readonly accelerators?: number
  readonly connections?: number
  readonly incarnation?: number
  /** Endpoint listeners of the entries to announce to. */
  readonly entries: ReadonlyArray<{ readonly address: string, readonly port: number }>
  readonly announceMs?: number
  /** Port to announce instead of the listener's, for example that of a proxy in front of it. */
  readonly announcedPort?: number
}

/** Faults that the fake endpoint has until they are set again. */
export interface Faults {
  /** Every task fails as soon as it starts. */
  fail?: boolean
  /** Tasks do not finish while this is set. */
  hang?: boolean
  /** No request gets an answer, and no announcement is sent. */
  silent?: boolean
  /** No announcement is sent, but requests are served. */
  muted?: boolean
  /** Requests are executed, but their answers are never sent. */
  loseAnswers?: boolean
  /** Delay before each answer, in milliseconds. */
  delayMs?: number
  /** Each finished task is reported twice. */
  answerTwice?: boolean
  /** Number of busy accelerators to report instead of the real one. */
  lieOnUsage?: number
  /** Checkpoint requests are never completed. */
  ignoreCheckpoint?: boolean
}

/** Record of one task start, kept by the endpoint for the checks of the tests. */
export interface StartRecord {
  readonly taskId: string
  readonly customer: string
  readonly key: string
  readonly kind: string
  readonly index: number
  readonly tasks: number
  readonly atMs: number
  endMs?: number
  end?: 'done' | 'failed' | 'killed'
}

interface RunningTask {
  readonly stop: Unsubscribe
  readonly record: StartRecord
}

interface Payload {
  readonly runMs?: number
  readonly fail?: boolean
  readonly answer?: unknown
}

const MAX_BODY_BYTES = 4 * 1024 * 1024
const MAX_RECORDS = 100_000
const HANG_CHECK_INTERVAL_MS = 200

export class FakeEndpoint {
  readonly #options: FakeEndpointOptions
  readonly #timers = new SystemTimerService()
  readonly #server: Server
  readonly #running = new Map<TaskId, RunningTask>()
  readonly #finished: TaskId[] = []
  readonly #eventWaiters = new Set<() => void>()
  readonly #subscriptions: Unsubscribe[] = []
  #table: TaskTable
  #incarnation: number
  #sequence = 0
  #leaving = false
  faults: Faults = {}
  readonly records: StartRecord[] = []

  constructor (options: FakeEndpointOptions) {
    this.#options = options
    this.#incarnation = options.incarnation ?? this.#timers.wallClock()
    this.#table = this.#createTable()
    this.#server = createServer((req, res) => {
      this.#handle(req.method ?? '', new URL(req.url ?? '/', 'http://endpoint.invalid').pathname, readBody(req, MAX_BODY_BYTES), res)
        .catch((err: Error) => sendJson(res, 400, { error: err.message }))
    })
  }

  get id (): EndpointId {
    return asId<EndpointId>(this.#options.id)
  }

  get port (): number {
    return (this.#server.address() as AddressInfo).port
  }

  /** The endpoint with the incarnation and sequence of its last announcement, but the listener's own port. */
  get info (): EndpointInfo {
    const { domain, rack, connections } = this.#options
    return {
      id: this.id,
      incarnation: this.#incarnation,
      sequence: this.#sequence,
      address: '127.0.0.1',
      port: (this.#server.address() as AddressInfo).port,
      domain: asId<DomainId>(domain),
      rack: asId<RackId>(rack),
      slots: this.#slots,
      connections: connections ?? 64,
      accelerators: this.#accelerators,
      leaving: this.#leaving
    }
  }

  get freeAccelerators (): number {
    return this.#table.getStats().freeAccelerators
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    this.#subscriptions.push(this.#timers.every(this.#options.announceMs ?? 1000, () => this.announce()))
    this.#subscriptions.push(this.#timers.every(100, () => this.#apply(this.#table.advance(this.#timers.now()))))
    this.announce()
  }

  /** Ends without an announcement, as a VM that loses power. */
  kill (): void {
    for (const unsubscribe of this.#subscriptions) unsubscribe()
    for (const taskId of [...this.#running.keys()]) this.#kill(taskId)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Drops all tasks and restarts under a new incarnation. */
  restart (): void {
    for (const taskId of [...this.#running.keys()]) this.#kill(taskId)
    this.#finished.length = 0
    this.#incarnation = Math.max(this.#incarnation + 1, this.#timers.wallClock())
    this.#sequence = 0
    this.#table = this.#createTable()
    this.announce()
  }

  /** Announces that the endpoint leaves, to the entry with index `entryIndex` or else to the next in turn. */
  leave (entryIndex?: number): void {
    this.#leaving = true
    this.#table.leave()
    this.announce(entryIndex)
  }

  announce (entryIndex?: number): void {
    if (this.faults.silent || this.faults.muted) return
    const { id, domain, rack, entries } = this.#options
    const body = JSON.stringify({
      endpointId: id,
      incarnation: this.#incarnation,
      sequence: ++this.#sequence,
      address: '127.0.0.1',
      port: this.#options.announcedPort ?? this.port,
      failureDomain: domain,
      rack,
      slots: this.#slots,
      connections: this.#options.connections ?? 64,
      accelerators: this.#accelerators,
      leaving: this.#leaving
    })
    // Without an index, each announcement goes to one entry in turn, as through a load balancer.
    const target = entries[entryIndex ?? this.#sequence % entries.length]
    if (target) this.#post(target, body)
  }

  get #slots (): number {
    return this.#options.slots ?? 8
  }

  get #accelerators (): number {
    return this.#options.accelerators ?? 8
  }

  #createTable (): TaskTable {
    return new TaskTable({ endpointId: this.id, incarnation: this.#incarnation, slots: this.#slots, accelerators: this.#accelerators })
  }

  #post ({ address, port }: { readonly address: string, readonly port: number }, body: string): void {
    const req = httpRequest({ host: address, port, method: 'POST', path: '/v1/announce', timeout: 1000, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } })
    req.on('response', (res) => res.resume())
    req.on('timeout', () => req.destroy())
    req.on('error', () => {})
    req.end(body)
  }

  async #handle (method: string, path: string, bodyRead: Promise<Buffer>, res: ServerResponse): Promise<void> {
    const raw = await bodyRead
    const body = raw.length > 0 ? parseJson(raw, path) as Record<string, unknown> : {}
    if (path === '/control') return sendJson(res, 200, this.#control(body))
    if (path === '/records') return sendJson(res, 200, { records: this.records })
    if (this.faults.silent) return
    const answer = await this.#answer(method, path, body)
    if (this.faults.loseAnswers) return
    if (this.faults.delayMs) await this.#timers.delay(this.faults.delayMs)
    sendJson(res, answer === undefined ? 404 : 200, answer ?? {})
  }

  #control (body: Record<string, unknown>): object {
    const { leave, restart, ...faults } = body
    this.faults = faults as Faults
    if (restart) this.restart()
    if (leave !== undefined) this.leave(typeof leave === 'number' ? leave : undefined)
    return { ok: true }
  }

  async #answer (method: string, path: string, body: Record<string, unknown>): Promise<object | undefined> {
    const [, , first, taskId, operation] = path.split('/')
    const now = this.#timers.now()
    if (first === 'tasks' && method === 'GET' && taskId === undefined) return { incarnation: this.#incarnation, tasks: this.#table.list() }
    if (first === 'tasks' && method === 'GET') return this.#table.getView(asId<TaskId>(decodeURIComponent(taskId!)))
    if (first === 'tasks' && operation !== undefined) {
      const request = { ...body, taskId: decodeURIComponent(taskId!), operation } as unknown as TaskRequest
      const { result, effects } = this.#table.handle(request, now)
      this.#apply(effects)
      return result
    }
    if (path === '/v1/leases') {
      const { views, effects } = this.#table.renew(body.renewals as TaskRenewal[], now)
      this.#apply(effects)
      return { incarnation: this.#incarnation, views, usage: { acceleratorsBusy: this.faults.lieOnUsage ?? this.#countBusyAccelerators(), lagMs: 1000 } }
    }
    if (path === '/v1/events') return await this.#getEvents(body.after as number, body.waitMs as number)
    return undefined
  }

  #countBusyAccelerators (): number {
    return this.#accelerators - this.#table.getStats().freeAccelerators
  }

  async #getEvents (after: number, waitMs: number): Promise<object> {
    if (this.#finished.length <= after) {
      await new Promise<void>((resolve) => {
        const resume = (): void => {
          stop()
          this.#eventWaiters.delete(resume)
          resolve()
        }
        const stop = this.#timers.subscribe(waitMs, resume)
        this.#eventWaiters.add(resume)
      })
    }
    const unacknowledged = new Set(this.#table.getUnacknowledged().map(({ taskId }) => taskId))
    const finished = this.#finished.slice(after)
      .filter((taskId) => unacknowledged.has(taskId))
      .map((taskId) => ({ taskId, view: this.#table.getView(taskId) }))
    return { incarnation: this.#incarnation, cursor: this.#finished.length, finished: this.faults.answerTwice ? [...finished, ...finished] : finished }
  }

  #apply (effects: readonly TaskEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'execute': this.#execute(effect)
          break
        case 'kill': this.#kill(effect.taskId)
          break
        case 'checkpoint':
          if (!this.faults.ignoreCheckpoint) this.#timers.subscribe(20, () => this.#table.markCheckpointed(effect.taskId))
          break
        case 'throttle':
      }
    }
  }

  #execute ({ taskId, grant, payload }: TaskEffect & { type: 'execute' }): void {
    const { runMs = 20, fail = false, answer } = (payload ?? {}) as Payload
    const { customer, key, kind, shape } = grant.request
    const record: StartRecord = { taskId, customer, key, kind, index: grant.index, tasks: shape.tasks, atMs: this.#timers.wallClock() }
    if (this.records.length < MAX_RECORDS) this.records.push(record)
    const isFailing = this.faults.fail === true || fail
    const finish = (): void => {
      if (this.faults.hang) {
        this.#running.set(taskId, { stop: this.#timers.subscribe(HANG_CHECK_INTERVAL_MS, finish), record })
        return
      }
      this.#running.delete(taskId)
      Object.assign(record, { endMs: this.#timers.wallClock(), end: isFailing ? 'failed' : 'done' })
      const outcome = isFailing
        ? { state: 'failed', error: 'task failed by a fault or by its payload' } as const
        : { state: 'done', answer: answer ?? { key, index: grant.index } } as const
      this.#apply(this.#table.complete(taskId, outcome, this.#timers.now()))
      this.#finished.push(taskId)
      for (const resume of [...this.#eventWaiters]) resume()
    }
    this.#running.set(taskId, { stop: this.#timers.subscribe(isFailing ? 1 : runMs, finish), record })
  }

  #kill (taskId: TaskId): void {
    const task = this.#running.get(taskId)
    if (!task) return
    task.stop()
    Object.assign(task.record, { endMs: this.#timers.wallClock(), end: 'killed' })
    this.#running.delete(taskId)
  }
}
