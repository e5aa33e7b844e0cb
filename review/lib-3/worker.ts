import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { callJson } from '../../platform/tests/support/call-json.ts'
import type { CaseRecord } from './deployment.ts'

export interface WorkerOptions {
  readonly id: string
  readonly zone: string
  readonly address: string
  readonly port: number
  /** Address that the worker announces, if calls reach it through a proxy. */
  readonly announced?: string
  /** Control addresses. */
  readonly controls: readonly string[]
  /** Returns the address at which the worker reaches a node; the node's own by default. */
  readonly route?: (target: string) => Promise<string>
  readonly runMs: number
  readonly record: CaseRecord
  /** Called when a run starts or ends. */
  readonly onChange?: () => void
}

interface Run {
  readonly task: string
  readonly run: number
  /** Undefined for a task that lasts. */
  readonly timer: NodeJS.Timeout | undefined
}

interface Answer {
  readonly status: number
  readonly body: object
}

const HEARTBEAT_MS = 1_500
const HEARTBEAT_TIMEOUT_MS = 1_000
const HOLD_MAX_MS = 6_000
const STOP_MS = 60
const CAPACITY = { Cpu: 8_000, MemMb: 8_000, Gpu: 8 }

/** Payload of tasks that last until they are stopped. */
export const LASTING = 'lasts'

/** A sound worker: it announces itself, runs tasks under a lease on its steady clock, and lists runs that have ended. */
export class Worker {
  readonly #options: WorkerOptions
  readonly #runs = new Map<string, Run>()
  readonly #highestRuns = new Map<string, number>()
  readonly #waiting = new Set<() => void>()
  readonly #server = createServer((req, res) => { this.#receive(req, res).catch(() => res.destroy()) })
  readonly #bornMs = Date.now()
  readonly #startedAtMs = performance.now()
  #ended: Array<[number, string, number, string, string]> = []
  #endNumber = 0
  #seq = 0
  #fence = 0
  #leaseUntilMs = 0
  #leaseTimer: NodeJS.Timeout | undefined
  #heartbeatTimer: NodeJS.Timeout | undefined
  #beatAddress: string | null = null
  #isDraining = false
  #hasEnded = false

  constructor (options: WorkerOptions) {
    this.#options = options
  }

  get running (): readonly string[] {
    return [...this.#runs.keys()]
  }

  async start (): Promise<void> {
    const { address, port } = this.#options
    await new Promise<void>((resolve) => this.#server.listen(port, address, resolve))
    this.#heartbeatTimer = setInterval(() => { this.#sendHeartbeat().catch(() => {}) }, HEARTBEAT_MS)
    await this.#sendHeartbeat()
  }

  /** Announces that the worker is draining; resolves with whether that was acknowledged. */
  async drain (): Promise<boolean> {
    this.#isDraining = true
    return await this.#sendHeartbeat()
  }

  /** Announces that the worker leaves; resolves with whether that was acknowledged. */
  async leave (): Promise<boolean> {
    const { id, record } = this.#options
    clearInterval(this.#heartbeatTimer)
    const isAcked = await this.#announce(`/ibisstair/Instances.Leave/${id}`, { Service: 'app', Address: this.#announced, born: this.#bornMs })
    record.write(`worker ${id} leaves: ${isAcked ? 'acknowledged' : 'no acknowledgement'}`)
    return isAcked
  }

  /** Ends the worker with all that runs on it. */
  end (): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    clearInterval(this.#heartbeatTimer)
    clearTimeout(this.#leaseTimer)
    for (const task of this.running) this.#endRun(task, 'ended with the worker')
    this.#server.close()
    this.#server.closeAllConnections()
    this.#options.record.write(`worker ${this.#options.id} has ended`)
  }

  get #announced (): string {
    const { announced, address, port } = this.#options
    return announced ?? `${address}:${port}`
  }

  get #clockMs (): number {
    return Math.floor(performance.now() - this.#startedAtMs)
  }

  async #sendHeartbeat (): Promise<boolean> {
    const { id, zone } = this.#options
    return await this.#announce(`/ibisstair/Instances.Heartbeat/${id}`, {
      Service: 'app', Address: this.#announced, Zone: zone, Version: 'v1', Slots: 8, State: this.#isDraining ? 'draining' : 'ready', ColdLeftMs: 0, Capacity: CAPACITY, Labels: ['a', 'r1-1'], ClockMs: this.#clockMs, Seq: ++this.#seq, born: this.#bornMs
    })
  }

  /** Sends an announcement to one node after another until one acknowledges it. */
  async #announce (path: string, body: object): Promise<boolean> {
    for (const target of [...this.#beatAddress === null ? [] : [this.#beatAddress], ...this.#options.controls]) {
      const reached = await (this.#options.route?.(target) ?? target)
      const reply = await callJson(reached, 'POST', path, body, {}, HEARTBEAT_TIMEOUT_MS).catch(() => null)
      this.#beatAddress = reply?.status === 200 ? reply.body?.BeatAddr ?? this.#beatAddress : null
      if (reply?.status === 200) return true
    }
    return false
  }

  async #receive (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    const { status, body } = await this.#handle(String(req.url), req.headers['x-ibisstair-expected-instance'], JSON.parse(Buffer.concat(chunks).toString() || '{}'))
    res.writeHead(status, { 'content-type': 'application/json' })
    res.end(JSON.stringify(body))
  }

  async #handle (url: string, expected: unknown, body: any): Promise<Answer> {
    if (expected !== this.#options.id) return { status: 421, body: {} }
    if ((body.FenceToken ?? 0) < this.#fence) return this.#reject('fence')
    this.#fence = body.FenceToken ?? 0
    if (body.UntilMs !== undefined) this.#extendLease(body.UntilMs)
    switch (url) {
      case '/ibisstair/run-start': return this.#startRun(body)
      case '/ibisstair/run-stop': return this.#stopRun(body)
      case '/ibisstair/hold': return await this.#hold(body)
      default: return { status: 404, body: {} }
    }
  }

  #accept (): Answer {
    return { status: 200, body: { ClockMs: this.#clockMs } }
  }

  #reject (reason: string): Answer {
    return { status: 409, body: { ClockMs: this.#clockMs, Reason: reason } }
  }

  #extendLease (untilMs: number): void {
    const granted = Math.min(untilMs, this.#clockMs + HOLD_MAX_MS)
    if (granted <= this.#leaseUntilMs) return
    this.#leaseUntilMs = granted
    clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => { for (const task of this.running) this.#endRun(task, 'lapsed') }, granted - this.#clockMs)
  }

  #startRun ({ Task: task, Run: run, Spec: spec, UntilMs: untilMs }: { Task: string, Run: number, Spec: string, UntilMs: number }): Answer {
    if (this.#runs.get(task)?.run === run) return this.#accept()
    if (run <= (this.#highestRuns.get(task) ?? 0)) return this.#reject('old')
    if (untilMs <= this.#clockMs) return this.#reject('late')
    this.#highestRuns.set(task, run)
    this.#runs.set(task, { task, run, timer: spec === LASTING ? undefined : setTimeout(() => this.#endRun(task, 'done'), this.#options.runMs) })
    this.#options.record.write(`worker ${this.#options.id} starts ${task} run ${run}`)
    this.#options.onChange?.()
    return this.#accept()
  }

  #stopRun ({ Task: task, Run: run }: { Task: string, Run: number }): Answer {
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0))
    if ((this.#runs.get(task)?.run ?? Infinity) <= run) setTimeout(() => this.#endRun(task, 'stopped'), STOP_MS)
    return this.#accept()
  }

  async #hold ({ AckedUpto: ackedUpto, WaitMs: waitMs = 0 }: { AckedUpto: number, WaitMs?: number }): Promise<Answer> {
    this.#ended = this.#ended.filter(([number]) => number > ackedUpto)
    if (this.#ended.length === 0 && waitMs > 0) await this.#waitForEnd(waitMs)
    const Running = [...this.#runs.values()].map(({ task, run }) => [task, run, '', 50, 0])
    return { status: 200, body: { ClockMs: this.#clockMs, born: this.#bornMs, Running, Ended: this.#ended } }
  }

  async #waitForEnd (waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#waiting.add(resolve)
      setTimeout(resolve, waitMs)
    })
  }

  #endRun (task: string, how: string): void {
    const run = this.#runs.get(task)
    if (!run) return
    clearTimeout(run.timer)
    this.#runs.delete(task)
    this.#ended.push([++this.#endNumber, task, run.run, how, ''])
    this.#options.record.write(`worker ${this.#options.id} ends ${task} run ${run.run}: ${how}`)
    for (const resolve of this.#waiting) resolve()
    this.#waiting.clear()
    this.#options.onChange?.()
  }
}
