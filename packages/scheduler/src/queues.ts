import type { CallerId, CustomerId } from '@ibisstair/common'
import type { CustomerShare } from '@ibisstair/model'
import { URGENCIES } from '@ibisstair/model'
import { MAX_SHAPE_CLASSES } from './constants.ts'
import type { Job } from './entities.ts'
import { shapeKeyOf } from './entities.ts'
import { IndexedHeap } from './indexed-heap.ts'
import { LinkedQueue } from './linked-queue.ts'

const MIXED_SHAPES = 'mixed'

/** Use and queued work of one caller of a customer in this domain. */
export class CallerAccount {
  accelerators = 0
  slots = 0
  /** Order of the newest start; among callers with equal use, the one served longest ago is next. */
  lastServed = 0
  queued = 0
  readonly queuedByUrgency: number[] = URGENCIES.map(() => 0)
  readonly workByUrgency: number[] = URGENCIES.map(() => 0)
  readonly callerQueues = new Set<CallerQueue>()

  constructor (readonly id: CallerId) {}

  get isIdle (): boolean {
    return this.queued === 0 && this.accelerators === 0 && this.slots === 0
  }
}

/** Queued jobs of one caller with one shape. */
export class CallerQueue {
  readonly jobs = new LinkedQueue<Job>()

  constructor (readonly caller: CallerAccount, readonly shapeClass: ShapeClass) {}
}

const isServedBefore = (a: CallerAccount, b: CallerAccount): boolean => {
  const useOfA = Math.max(a.accelerators, a.slots)
  const useOfB = Math.max(b.accelerators, b.slots)
  return useOfA === useOfB ? a.lastServed < b.lastServed : useOfA < useOfB
}

const isCustomerBefore = (a: CustomerAccount, b: CustomerAccount): boolean =>
  a.weightedShare === b.weightedShare ? a.lastServed < b.lastServed : a.weightedShare < b.weightedShare

/** Queued jobs of one customer, urgency and shape. */
export class ShapeClass {
  readonly arrivals = new LinkedQueue<Job>()
  readonly #callerQueues = new Map<CallerId, CallerQueue>()
  readonly #order = new IndexedHeap<CallerQueue>((a, b) => isServedBefore(a.caller, b.caller))
  /** Fleet epoch at which a search for this shape failed. */
  blockedEpoch = -1
  /** Fleet epoch at which this shape did not fit into the guarantee, and the time of the next attempt. */
  guaranteeBlockedEpoch = -1
  guaranteeRetryAtMs = 0

  constructor (readonly key: string, readonly account: CustomerAccount) {}

  callerQueueOf (caller: CallerAccount): CallerQueue {
    const known = this.#callerQueues.get(caller.id)
    if (known) return known
    const callerQueue = new CallerQueue(caller, this)
    this.#callerQueues.set(caller.id, callerQueue)
    caller.callerQueues.add(callerQueue)
    this.#order.push(callerQueue)
    return callerQueue
  }

  removeCallerQueue (callerQueue: CallerQueue): void {
    this.#callerQueues.delete(callerQueue.caller.id)
    callerQueue.caller.callerQueues.delete(callerQueue)
    this.#order.remove(callerQueue)
  }

  reorder (callerQueue: CallerQueue): void {
    this.#order.update(callerQueue)
  }

  next (fairCallers: boolean): Job | undefined {
    if (!fairCallers) return this.arrivals.head?.value
    return this.#order.peek()?.jobs.head?.value
  }
}

/** Queued jobs of one customer and urgency. */
export class UrgencyQueue {
  readonly arrivals = new LinkedQueue<Job>()
  readonly classes = new Map<string, ShapeClass>()
  /** Estimated accelerator milliseconds that wait here. */
  work = 0
  lastStartMs = -Infinity

  constructor (readonly account: CustomerAccount) {}

  get size (): number {
    return this.arrivals.size
  }

  classOf (job: Job): ShapeClass {
    const known = this.classes.get(job.shapeKey)
    if (known) return known
    // Callers choose shapes freely; beyond the limit they share one class and wait in its order.
    const key = this.classes.size < MAX_SHAPE_CLASSES ? job.shapeKey : `${MIXED_SHAPES}:${this.account.id}`
    const shared = this.classes.get(key)
    if (shared) return shared
    const shapeClass = new ShapeClass(key, this.account)
    this.classes.set(key, shapeClass)
    return shapeClass
  }
}

/** One customer's queue, use and configuration in this domain. */
export class CustomerAccount {
  readonly urgencies: readonly UrgencyQueue[] = URGENCIES.map(() => new UrgencyQueue(this))
  readonly callers = new Map<CallerId, CallerAccount>()
  priority = 1
  maxQueued = Infinity
  isConfigured = false
  /** Use above the guarantees. */
  borrowedAccelerators = 0
  borrowedSlots = 0
  readonly running = new Set<Job>()
  readonly runningByUrgency: readonly LinkedQueue<Job>[] = URGENCIES.map(() => new LinkedQueue<Job>())
  /** Sums and shapes of the guarantees in this domain. */
  guaranteedAccelerators = 0
  guaranteedSlots = 0
  guaranteedShapes: ReadonlySet<string> = new Set()
  usedAccelerators = 0
  usedSlots = 0
  queued = 0
  /** Queued jobs that have exactly a guaranteed shape. */
  queuedGuaranteed = 0
  /** Order among customers: weighted dominant share of the use above the guarantees. */
  weightedShare = 0
  lastServed = 0

  constructor (readonly id: CustomerId) {}

  get hasGuarantees (): boolean {
    return this.guaranteedShapes.size > 0
  }

  configure (share: CustomerShare | undefined): void {
    this.isConfigured = share !== undefined
    this.priority = Math.max(share?.priority ?? 1, Number.EPSILON)
    const guarantees = share?.guarantees ?? []
    this.guaranteedShapes = new Set(guarantees.map(({ shape }) => shapeKeyOf(shape)))
    this.guaranteedAccelerators = guarantees.reduce((sum, { shape, count }) => sum + count * shape.tasks * shape.acceleratorsPerTask, 0)
    this.guaranteedSlots = guarantees.reduce((sum, { shape, count }) => sum + count * shape.tasks * shape.slotsPerTask, 0)
    this.recountGuaranteed()
    this.maxQueued = share?.maxQueued ?? 0
  }

  /** Counts the queued jobs of guaranteed shapes anew after a change of the configuration. */
  recountGuaranteed (): void {
    this.queuedGuaranteed = 0
    for (const queue of this.urgencies) {
      for (const [key, { arrivals }] of queue.classes) if (this.guaranteedShapes.has(key)) this.queuedGuaranteed += arrivals.size
    }
  }

  callerOf (id: CallerId): CallerAccount {
    const known = this.callers.get(id)
    if (known) return known
    const caller = new CallerAccount(id)
    this.callers.set(id, caller)
    return caller
  }
}

/** All queued jobs, indexed so that adding, removing and choosing do not depend on their number. */
export class JobQueues {
  readonly #customers = new Map<CustomerId, CustomerAccount>()
  readonly #arrivals = new LinkedQueue<Job>()
  readonly #memberships = new Map<Job, { readonly account: CustomerAccount, readonly queue: UrgencyQueue, readonly callerQueue: CallerQueue }>()
  readonly #shapes = new Map<string, IndexedHeap<ShapeClass>>()
  #startCount = 0

  get size (): number {
    return this.#memberships.size
  }

  get oldest (): Job | undefined {
    return this.#arrivals.head?.value
  }

  /** Classes with queued jobs by shape, the customer that is next first: a shape that fits nowhere is skipped for all. */
  get shapes (): ReadonlyMap<string, IndexedHeap<ShapeClass>> {
    return this.#shapes
  }

  get customers (): IterableIterator<CustomerAccount> {
    return this.#customers.values()
  }

  customerOf (id: CustomerId): CustomerAccount {
    const known = this.#customers.get(id)
    if (known) return known
    const account = new CustomerAccount(id)
    this.#customers.set(id, account)
    return account
  }

  find (id: CustomerId): CustomerAccount | undefined {
    return this.#customers.get(id)
  }

  has (job: Job): boolean {
    return this.#memberships.has(job)
  }

  /** Adds a job; one that is queued again goes to the front. */
  add (job: Job, atFront: boolean, work: number): void {
    const account = this.customerOf(job.metadata.customer)
    const queue = account.urgencies[job.urgencyIndex]!
    const shapeClass = queue.classOf(job)
    const caller = account.callerOf(job.metadata.caller)
    const callerQueue = shapeClass.callerQueueOf(caller)
    const lists = [this.#arrivals, queue.arrivals, shapeClass.arrivals, callerQueue.jobs]
    job.queueNodes = lists.map((list) => atFront ? list.pushFront(job) : list.push(job))
    job.queuedWork = work
    this.#memberships.set(job, { account, queue, callerQueue })
    this.#addToShapeHeap(shapeClass)
    caller.queued += 1
    account.queued += 1
    if (account.guaranteedShapes.has(shapeClass.key)) account.queuedGuaranteed += 1
    caller.queuedByUrgency[job.urgencyIndex]! += 1
    caller.workByUrgency[job.urgencyIndex]! += work
    queue.work += work
    shapeClass.blockedEpoch = -1
    shapeClass.guaranteeBlockedEpoch = -1
  }

  remove (job: Job): void {
    const membership = this.#memberships.get(job)
    if (!membership) return
    const { account, queue, callerQueue } = membership
    this.#memberships.delete(job)
    for (const node of job.queueNodes) node.queue?.remove(node)
    job.queueNodes = []
    const { caller, shapeClass } = callerQueue
    caller.queued -= 1
    account.queued -= 1
    if (account.guaranteedShapes.has(shapeClass.key)) account.queuedGuaranteed -= 1
    caller.queuedByUrgency[job.urgencyIndex]! -= 1
    caller.workByUrgency[job.urgencyIndex]! -= job.queuedWork
    queue.work = queue.size === 0 ? 0 : queue.work - job.queuedWork
    if (callerQueue.jobs.size === 0) shapeClass.removeCallerQueue(callerQueue)
    if (shapeClass.arrivals.size === 0) this.#removeClass(queue, shapeClass)
    this.#removeIdleCaller(account, caller)
  }

  /** Adds the capacity of a job to the use of its caller and customer (`sign` 1) or subtracts it (-1). */
  recordUsage (job: Job, sign: 1 | -1): void {
    const account = this.customerOf(job.metadata.customer)
    const caller = account.callerOf(job.metadata.caller)
    if (sign === 1) {
      account.running.add(job)
      job.runningNode = account.runningByUrgency[job.urgencyIndex]!.push(job)
    } else {
      account.running.delete(job)
      if (job.runningNode) account.runningByUrgency[job.urgencyIndex]!.remove(job.runningNode)
    }
    account.usedAccelerators += sign * job.accelerators
    account.usedSlots += sign * job.slots
    caller.accelerators += sign * job.accelerators
    caller.slots += sign * job.slots
    if (sign === 1) caller.lastServed = account.lastServed = ++this.#startCount
    for (const callerQueue of caller.callerQueues) callerQueue.shapeClass.reorder(callerQueue)
    this.#removeIdleCaller(account, caller)
  }

  /** Removes accounts of customers that left the configuration and hold nothing. */
  removeUnusedCustomer (account: CustomerAccount): void {
    if (!account.isConfigured && account.queued === 0 && account.running.size === 0) this.#customers.delete(account.id)
  }

  /** Sets the share of a customer and reorders its shape classes. */
  setWeightedShare (account: CustomerAccount, key: number): void {
    account.weightedShare = key
    for (const queue of account.urgencies) {
      for (const shapeClass of queue.classes.values()) this.#shapes.get(shapeClass.key)!.update(shapeClass)
    }
  }

  #addToShapeHeap (shapeClass: ShapeClass): void {
    if (shapeClass.arrivals.size > 1) return
    const known = this.#shapes.get(shapeClass.key)
    if (known) return known.push(shapeClass)
    const heap = new IndexedHeap<ShapeClass>((a, b) => isCustomerBefore(a.account, b.account))
    this.#shapes.set(shapeClass.key, heap)
    heap.push(shapeClass)
  }

  #removeClass (queue: UrgencyQueue, shapeClass: ShapeClass): void {
    queue.classes.delete(shapeClass.key)
    const heap = this.#shapes.get(shapeClass.key)!
    heap.remove(shapeClass)
    if (heap.size === 0) this.#shapes.delete(shapeClass.key)
  }

  #removeIdleCaller (account: CustomerAccount, caller: CallerAccount): void {
    if (caller.isIdle) account.callers.delete(caller.id)
  }
}
