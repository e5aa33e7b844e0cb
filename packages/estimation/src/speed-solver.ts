import { MAX_GANG_ENDPOINTS, MAX_LOG_SPEED, MAX_QUEUE_DEVIATION, MIN_QUEUE_DEVIATION, MIN_QUEUE_STEPS, SOLVE_ITERATIONS, TAIL_SCALE } from './constants.ts'
import { expectSlowest, explainGangRate } from './gang-rates.ts'
import { median } from './median.ts'
import { getCavity, NO_MESSAGE, updateBelief, updateWeights, type EndpointNode, type Gaussian, type StepLink, type StepNode } from './speed-graph.ts'

/** Standard deviation of a normal distribution divided by its median absolute deviation. */
const DEVIATION_PER_MAD = 1.4826

/**
 * Estimates speeds by Gaussian belief propagation: a run's logarithm of time per percent is the work of its step minus the
 * speed of its endpoint plus noise. Steps tell endpoints how fast they were compared with the other endpoints of the step
 * and with the queue; endpoints tell steps how much work a rate stands for. Answers the load of uneven endpoints under
 * wrong estimates: no estimate of a submitter is used.
 */
export const solveSpeeds = (steps: readonly StepNode[], endpoints: readonly EndpointNode[]): void => {
  endpoints.forEach(updateWeights)
  for (let i = 0; i < SOLVE_ITERATIONS; i++) {
    endpoints.forEach(updateBelief)
    steps.forEach(updateWork)
    const priors = getQueuePriors(steps)
    for (const step of steps) sendMessages(step, priors.get(step.queue) ?? NO_MESSAGE)
  }
  endpoints.forEach(updateBelief)
}

const updateWork = (step: StepNode): void => {
  const links = [...step.links.values()]
  if (step.isSpreadGang) step.logWork = links[0]!.logRate + expectSlowest(links.map(({ endpoint }) => endpoint.belief))
  else step.logWork = median(links.map(({ logRate, endpoint }) => logRate + endpoint.belief.mean))
}

/** Returns the distribution of the work of each queue's steps; none for a queue with few of them. */
const getQueuePriors = (steps: readonly StepNode[]): Map<string, Gaussian> => {
  const works = new Map<string, number[]>()
  for (const { queue, logWork } of steps) {
    const known = works.get(queue)
    if (known) known.push(logWork)
    else works.set(queue, [logWork])
  }
  const priors = new Map<string, Gaussian>()
  for (const [queue, values] of works) {
    if (values.length <= MIN_QUEUE_STEPS) continue
    const mean = median(values)
    const deviation = DEVIATION_PER_MAD * median(values.map((value) => Math.abs(value - mean)))
    const bounded = Math.min(MAX_QUEUE_DEVIATION, Math.max(MIN_QUEUE_DEVIATION, deviation))
    priors.set(queue, { mean, precision: 1 / (bounded ** 2 * (1 + 1 / values.length)) })
  }
  return priors
}

const sendMessages = (step: StepNode, queuePrior: Gaussian): void => {
  const links = [...step.links.values()]
  if (step.isSpreadGang) sendGangMessages(links, queuePrior)
  else sendComparisons(links, queuePrior)
}

/** A gang has one rate, so that only the work of its queue tells whether it is slow. */
const sendGangMessages = (links: readonly StepLink[], queuePrior: Gaussian): void => {
  if (queuePrior.precision === 0 || links.length > MAX_GANG_ENDPOINTS) return
  const { logRate, variance } = links[0]!
  const slowest = { mean: queuePrior.mean - logRate, precision: 1 / (variance + 1 / queuePrior.precision) }
  const messages = explainGangRate(links.map(getCavity), slowest)
  links.forEach((link, i) => { link.message = messages[i]! })
}

/** Compares each endpoint with the others of the step and with the queue. */
const sendComparisons = (links: readonly StepLink[], queuePrior: Gaussian): void => {
  const views = links.map((link) => {
    const cavity = getCavity(link)
    return { link, cavity, work: link.logRate + cavity.mean, precision: link.trust / (link.variance + 1 / cavity.precision) }
  })
  const precision = views.reduce((sum, view) => sum + view.precision, queuePrior.precision)
  const weighted = views.reduce((sum, view) => sum + view.precision * view.work, queuePrior.precision * queuePrior.mean)
  for (const { link, cavity, work, precision: own } of views) {
    const rest = precision - own
    if (views.length === 1 && queuePrior.precision === 0) {
      link.message = NO_MESSAGE
      continue
    }
    const suggested = (weighted - own * work) / rest - link.logRate
    const variance = link.variance + 1 / rest
    link.trust = getTrust(suggested - cavity.mean, variance + 1 / cavity.precision)
    link.message = { mean: Math.min(MAX_LOG_SPEED, Math.max(-MAX_LOG_SPEED, suggested)), precision: link.trust / variance }
  }
}

/** Returns the weight of an observation with that deviation; tails and stalls get almost none. */
const getTrust = (deviation: number, variance: number): number => 1 / (1 + deviation ** 2 / variance / TAIL_SCALE)
