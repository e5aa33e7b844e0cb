import { IbisError } from '@ibisstair/common'
import type { TimerService } from '@ibisstair/timers'
import t from 'tap'
import { createEndpoint, createStep } from '../../jobs/tests/support/samples.ts'
import { ORDER_REPEAT_MS, ORDER_TIMEOUT_MS } from '../src/constants.ts'
import type { EndpointPort, OrderResult } from '../src/ports.ts'
import { sendWithRepeat } from '../src/repeated-order.ts'
import { TestCluster } from './support/test-cluster.ts'

const OK: OrderResult = { type: 'ok', clockMs: 1 }
const NO_ANSWER = new IbisError('unreachable', 'no answer', { info: { reason: 'timeout' } })
const BROKEN = new IbisError('unreachable', 'socket hang up', { info: { code: 'ECONNRESET' } })
const NO_LISTENER = new IbisError('unreachable', 'refused', { info: { code: 'ECONNREFUSED' } })

/** Sends an order to an endpoint that gives the answers one after the other. */
const send = async (answers: Array<OrderResult | IbisError>, mayRepeat = true) => {
  const timeoutsMs: number[] = []
  const outcome = await sendWithRepeat(async (timeoutMs) => {
    const answer = answers[timeoutsMs.push(timeoutMs) - 1]!
    if (answer instanceof IbisError) throw answer
    return answer
  }, () => mayRepeat)
  return { ...outcome, timeoutsMs }
}

t.test('an order is repeated only if nothing tells what became of it', async (t) => {
  t.match(await send([OK]), { result: OK, isUncertain: false, timeoutsMs: [ORDER_REPEAT_MS] })
  t.match(await send([NO_LISTENER]), { result: NO_LISTENER, isUncertain: false, timeoutsMs: [ORDER_REPEAT_MS] })
  t.match(await send([NO_ANSWER, OK]), { result: OK, isUncertain: true, timeoutsMs: [ORDER_REPEAT_MS, ORDER_TIMEOUT_MS - ORDER_REPEAT_MS] })
})

t.test('an order is not repeated after a broken connection or once it must not be given any more: a successor could carry it out', async (t) => {
  t.match(await send([BROKEN]), { result: BROKEN, timeoutsMs: [ORDER_REPEAT_MS] })
  t.match(await send([NO_ANSWER], false), { result: NO_ANSWER, timeoutsMs: [ORDER_REPEAT_MS] })
})

t.test('a refusal or a refused connection after a lost attempt does not show that the order is not carried out', async (t) => {
  t.match(await send([NO_ANSWER, { type: 'refused', reason: 'room' }]), { isUncertain: true })
  t.match(await send([NO_ANSWER, NO_LISTENER]), { isUncertain: true })
})

/** Loses every thirtieth start and stop; renewals arrive. */
const loseOrders = (fleet: EndpointPort, timers: TimerService): EndpointPort => {
  let orders = 0
  const pass = async (send: () => Promise<OrderResult>, timeoutMs: number): Promise<OrderResult> => {
    if (++orders % 30 !== 0) return await send()
    await timers.delay(timeoutMs)
    throw NO_ANSWER
  }
  return {
    start: (endpoint, order, timeoutMs) => pass(() => fleet.start(endpoint, order, timeoutMs), timeoutMs),
    stop: (endpoint, order, timeoutMs) => pass(() => fleet.stop(endpoint, order, timeoutMs), timeoutMs),
    renew: (endpoint, order, timeoutMs) => fleet.renew(endpoint, order, timeoutMs),
    closeConnections: () => {}
  }
}

t.test('gangs run whole within a second although one order in thirty gets no answer', async (t) => {
  const GANGS = 40
  const endpoints = Array.from({ length: 6 }, (_, i) => createEndpoint(`w${i}`, { address: `10.0.0.${i}:1` }))
  const cluster = new TestCluster(1, { runMs: 3_000 }, endpoints)
  cluster.port = loseOrders(cluster.fleet, cluster.timers)
  cluster.elect()
  await cluster.run(1_000)
  let incomplete = 0
  for (let gang = 0; gang < GANGS; gang++) {
    cluster.submit(`a${gang}`, [createStep({ count: 6, gang: true, resources: { cpuMilli: 1_000, memMb: 1, accelerators: 8 } })], 0)
    await cluster.run(1_000)
    if (cluster.fleet.listViews().some(({ tasks }) => tasks.length === 0)) incomplete += 1
    await cluster.run(2_700)
  }
  t.same(cluster.fleet.violations, [])
  t.equal(incomplete, 0)
})
