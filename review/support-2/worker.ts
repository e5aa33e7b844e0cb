import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { callJson, delay, waitUntil } from './http.ts'
import type { Record } from './record.ts'

export interface WorkerOptions {
  readonly id: string
  readonly address: string
  readonly port: number
  readonly controls: readonly string[]
  readonly labels: readonly string[]
  readonly service: string
  readonly record: Record
}

/** What a task does; the payload of a job is this as JSON. */
export interface Behaviour {
  readonly runMs: number
  /** The task crashes its worker after this time. */
  readonly crashAfterMs?: number
}

interface Run {
  readonly task: string
  readonly run: number
  readonly timers: readonly NodeJS.Timeout[]
}

interface Answer {
  readonly status: number
  readonly body: object
}

const CAPACITY = { Cpu: 32_000, MemMb: 128_000, Gpu: 8 }
const HEARTBEAT_MS = 1_000
/** A worker that drains serves on for this time after the acknowledgement. */
const DRAIN_MS = 2_000
const MAX_LEASE_MS = 6_000
const STOP_MS = 60
const MAX_ENDS_PER_REPORT = 500
/** Time for which a worker is away after a task has crashed it. */
export const CRASH_DOWN_MS = 2_000

/**
 * Stand-in for a worker: announces itself, runs tasks under a lease and lists their ends. While it is down it answers
 * nothing, and connections to it hang; when it is back it is a new life under the same id and address, which knows nothing
 * of before.
 */
export class Worker {
  readonly #options: WorkerOptions
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #runs = new Map<string, Run>()
  readonly #highestRuns = new Map<string, number>()
  readonly #waiting = new Set<() => void>()
  #ended: Array<readonly [number, string, number, string, string]> = []
  #lastEnd = 0
  #bornMs = 0
  #seq = 0
  #fence = 0
  #leaseUntilMs = 0
  #leaseTimer: NodeJS.Timeout | undefined
  #heartbeatTimer: NodeJS.Timeout | undefined
  #beatAddress: string | null = null
  /** The worker is unhealthy: it answers each order to start a task with 503 and does nothing. */
  isUnhealthy = false
  #isDraining = false
  #isDrainAcked = false
  #isDown = false
  #isStopped = false

  constructor (options: WorkerOptions) {
    this.#options = options
    this.#server = createServer((req, res) => { this.#receive(req, res).catch(() => res.destroy()) })
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
  }

  get id (): string {
    return this.#options.id
  }

  get address (): string {
    return `${this.#options.address}:${this.#options.port}`
  }

  get isDown (): boolean {
    return this.#isDown
  }

  get running (): readonly string[] {
    return [...this.#runs.keys()]
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#options.port, this.#options.address, resolve)
    })
    this.#beginLife()
  }

  stop (): void {
    this.#isStopped = true
    this.#forgetAll()
    clearInterval(this.#heartbeatTimer)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  /** The worker crashes: everything that runs is gone, and it answers nothing until `comeBack`. */
  crash (cause: string): void {
    this.#options.record.add(this.id, 'crash', { born: this.#bornMs, cause, running: this.running })
    this.#isDown = true
    clearInterval(this.#heartbeatTimer)
    this.#forgetAll()
  }

  /** Announces that the worker drains, serves until `beforeLeaving` resolves, then says that it leaves, and ends. */
  async leave (beforeLeaving: () => Promise<void>): Promise<void> {
    const { controls, record } = this.#options
    this.#isDraining = true
    record.add(this.id, 'drains')
    await waitUntil('the drain is acknowledged', async () => {
      if (!this.#isDrainAcked) await this.#sendHeartbeat()
      return this.#isDrainAcked
    })
    await delay(DRAIN_MS)
    await beforeLeaving()
    const body = { born: this.#bornMs }
    for (const target of controls) {
      const reply = await callJson(target, 'POST', `/ibisstair/Instances.Leave/${this.id}`, body, {}, 1_000).catch(() => null)
      if (reply?.status === 200) break
    }
    record.add(this.id, 'leaves', { running: this.running })
    this.stop()
  }

  /** Begins a new life, which announces itself at once. */
  comeBack (): void {
    // Connections of the former life are unknown to the machine now.
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#isDown = false
    this.#beginLife()
  }

  #beginLife (): void {
    this.#bornMs = Math.max(Date.now(), this.#bornMs + 1)
    this.#seq = 0
    this.#fence = 0
    this.#leaseUntilMs = 0
    this.#ended = []
    this.#lastEnd = 0
    this.#highestRuns.clear()
    this.#beatAddress = null
    this.#options.record.add(this.id, 'life begins', { born: this.#bornMs })
    const beat = (): void => { this.#sendHeartbeat().catch(() => {}) }
    this.#heartbeatTimer = setInterval(beat, HEARTBEAT_MS)
    beat()
  }

  #forgetAll (): void {
    for (const { timers } of this.#runs.values()) for (const timer of timers) clearTimeout(timer)
    this.#runs.clear()
    this.#waiting.clear()
    clearTimeout(this.#leaseTimer)
  }

  /** The steady clock of this life. */
  get #clockMs (): number {
    return Date.now() - this.#bornMs
  }

  async #sendHeartbeat (): Promise<void> {
    const { id, controls, labels, service } = this.#options
    const born = this.#bornMs
    const state = this.#isDraining ? 'draining' : 'ready'
    const heartbeat = { Service: service, Address: this.address, Zone: 'z1', Version: 'v1', Slots: 8, State: state, ColdLeftMs: 0, Capacity: CAPACITY, Labels: labels, ClockMs: this.#clockMs, Seq: ++this.#seq, born }
    for (const target of [...this.#beatAddress === null ? [] : [this.#beatAddress], ...controls]) {
      if (this.#isDown || this.#isStopped || born !== this.#bornMs) return
      const reply = await callJson(target, 'POST', `/ibisstair/Instances.Heartbeat/${id}`, heartbeat, {}, 1_000).catch(() => null)
      if (born !== this.#bornMs) return
      this.#beatAddress = reply?.status === 200 ? reply.body?.BeatAddr ?? this.#beatAddress : null
      if (reply?.status !== 200) continue
      if (state === 'draining') this.#isDrainAcked = true
      return
    }
  }

  async #receive (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    const born = this.#bornMs
    // What reaches a machine that is down is lost.
    if (this.#isDown) return
    const answer = await this.#handle(String(req.url), req.headers['x-ibisstair-expected-instance'], JSON.parse(Buffer.concat(chunks).toString() || '{}'))
    if (this.#isDown || born !== this.#bornMs) return
    res.writeHead(answer.status, { 'content-type': 'application/json' })
    res.end(JSON.stringify(answer.body))
  }

  async #handle (url: string, expected: unknown, order: any): Promise<Answer> {
    if (expected !== undefined && expected !== this.id) return { status: 421, body: {} }
    const fence = order.FenceToken ?? 0
    if (fence < this.#fence) return this.#reject('fence')
    this.#fence = fence
    if (order.UntilMs !== undefined) this.#extendLease(order.UntilMs)
    switch (url) {
      case '/ibisstair/run-start': return this.#startRun(order)
      case '/ibisstair/run-stop': return this.#stopRun(order)
      case '/ibisstair/hold': return await this.#hold(order)
      default: return { status: 404, body: {} }
    }
  }

  #reject (reason: string): Answer {
    return { status: 409, body: { ClockMs: this.#clockMs, Reason: reason } }
  }

  #accept (): Answer {
    return { status: 200, body: { ClockMs: this.#clockMs } }
  }

  /** A lease never shortens. */
  #extendLease (untilMs: number): void {
    const granted = Math.min(untilMs, this.#clockMs + MAX_LEASE_MS)
    if (granted <= this.#leaseUntilMs) return
    this.#leaseUntilMs = granted
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => { for (const task of this.running) this.#end(task, 'lapsed') }, granted - this.#clockMs)
  }

  #startRun ({ Task: task, Run: run, Spec: spec, UntilMs: untilMs, FenceToken: fence }: { Task: string, Run: number, Spec: string, UntilMs: number, FenceToken: number }): Answer {
    if (this.isUnhealthy) {
      this.#options.record.add(this.id, 'start refused', { task, run, status: 503 })
      return { status: 503, body: {} }
    }
    if (this.#runs.get(task)?.run === run) return this.#accept()
    if (run <= (this.#highestRuns.get(task) ?? 0)) return this.#reject('old')
    if (untilMs <= this.#clockMs) return this.#reject('late')
    this.#highestRuns.set(task, run)
    this.#options.record.add(this.id, 'start', { task, run, fence, born: this.#bornMs })
    const { runMs, crashAfterMs } = JSON.parse(spec) as Behaviour
    const timers = [setTimeout(() => this.#end(task, 'done'), runMs)]
    if (crashAfterMs !== undefined) timers.push(setTimeout(() => this.#crashBy(task), crashAfterMs))
    this.#runs.set(task, { task, run, timers })
    return this.#accept()
  }

  #crashBy (task: string): void {
    this.crash(task)
    setTimeout(() => { if (!this.#isStopped) this.comeBack() }, CRASH_DOWN_MS)
  }

  #stopRun ({ Task: task, Run: run }: { Task: string, Run: number }): Answer {
    this.#options.record.add(this.id, 'stop', { task, run, born: this.#bornMs })
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0))
    if ((this.#runs.get(task)?.run ?? Infinity) <= run) setTimeout(() => this.#end(task, 'stopped'), STOP_MS)
    return this.#accept()
  }

  async #hold ({ AckedUpto: ackedUpto, WaitMs: waitMs = 0 }: { AckedUpto: number, WaitMs?: number }): Promise<Answer> {
    for (const [, task, run, how] of this.#ended.filter(([number]) => number <= ackedUpto)) this.#options.record.add(this.id, 'end noted', { task, run, how })
    this.#ended = this.#ended.filter(([number]) => number > ackedUpto)
    if (this.#ended.length === 0 && waitMs > 0) await this.#waitForEnd(waitMs)
    const Running = [...this.#runs.values()].map(({ task, run }) => [task, run, '', 50, 0])
    return { status: 200, body: { ClockMs: this.#clockMs, born: this.#bornMs, Running, Ended: this.#ended.slice(0, MAX_ENDS_PER_REPORT) } }
  }

  async #waitForEnd (waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#waiting.add(resolve)
      setTimeout(resolve, waitMs)
    })
  }

  #end (task: string, how: string): void {
    const run = this.#runs.get(task)
    if (!run) return
    for (const timer of run.timers) clearTimeout(timer)
    this.#runs.delete(task)
    this.#ended.push([++this.#lastEnd, task, run.run, how, ''])
    this.#options.record.add(this.id, 'end', { task, run: run.run, how, born: this.#bornMs })
    for (const wake of this.#waiting) wake()
    this.#waiting.clear()
  }
}
