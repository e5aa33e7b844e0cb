import { MAX_LOG_SPEED, MAX_MEMBER_PRECISION } from './constants.ts'
import type { Gaussian } from './speed-graph.ts'

/** Logarithms of speed at which distributions are evaluated: speeds of 0.3 to 3.3. */
const POINT_SPACING = 0.1
const POINTS: readonly number[] = Array.from({ length: 25 }, (_, i) => -1.2 + POINT_SPACING * i)

/** Factor that fits the logistic function to the normal distribution function. */
const LOGISTIC_FACTOR = 1.702

/** Of the Student's t-distribution of a gang's rate, which has tails: some gangs take seven times as long. */
const DEGREES_OF_FREEDOM = 3

/** Returns the probability of a speed above each point. */
const toSurvival = ({ mean, precision }: Gaussian): number[] => {
  const scale = LOGISTIC_FACTOR * Math.sqrt(precision)
  return POINTS.map((point) => 1 / (1 + Math.exp(scale * (point - mean))))
}

const multiply = (columns: ReadonlyArray<readonly number[]>): number[] =>
  POINTS.map((_, i) => columns.reduce((product, column) => product * column[i]!, 1))

/** Returns the expected logarithm of the speed of the slowest member. */
export const expectSlowest = (members: readonly Gaussian[]): number => {
  const survival = multiply(members.map(toSurvival))
  return POINTS[0]! + POINT_SPACING * survival.reduce((sum, value) => sum + value, 0) - POINT_SPACING / 2
}

/**
 * Returns what the rate of a gang says about each member. `slowest` is the speed of the slowest member as the rate suggests
 * it: a fast gang has no slow member, and a slow one has at least one, which is the more likely to be a member the less is
 * known of it.
 */
export const explainGangRate = (members: readonly Gaussian[], slowest: Gaussian): Gaussian[] => {
  const survivals = members.map(toSurvival)
  const allFaster = multiply(survivals)
  const likelihood = POINTS.map((point) => (1 + (point - slowest.mean) ** 2 * slowest.precision / DEGREES_OF_FREEDOM) ** (-(DEGREES_OF_FREEDOM + 1) / 2))
  return members.map((member, i) => {
    if (member.precision > MAX_MEMBER_PRECISION) return { mean: 0, precision: 0 }
    return toMessage(member, weighBySpeed(allFaster.map((all, k) => all / survivals[i]![k]!), likelihood))
  })
}

/** Returns the likelihood of the gang's rate for each speed of a member, given how likely all others are faster. */
const weighBySpeed = (othersFaster: readonly number[], likelihood: readonly number[]): number[] => {
  let slowerOther = 0
  let earlier = 1
  return othersFaster.map((faster, i) => {
    slowerOther += (earlier - faster) * likelihood[i]!
    earlier = faster
    return likelihood[i]! * faster + slowerOther
  })
}

/** Returns the message that turns the member's distribution into the one weighed by the likelihoods. */
const toMessage = ({ mean, precision }: Gaussian, likelihoods: readonly number[]): Gaussian => {
  let total = 0
  let sum = 0
  let squares = 0
  POINTS.forEach((point, i) => {
    const weight = Math.exp(-((point - mean) ** 2) * precision / 2) * likelihoods[i]!
    total += weight
    sum += weight * point
    squares += weight * point ** 2
  })
  const newMean = sum / total
  const newPrecision = 1 / Math.max(squares / total - newMean ** 2, 1 / (2 * MAX_MEMBER_PRECISION))
  const added = newPrecision - precision
  const suggested = (newMean * newPrecision - mean * precision) / added
  if (added > 0 && Math.abs(suggested) <= MAX_LOG_SPEED) return { mean: suggested, precision: added }
  // A rate that contradicts what is known widens the distribution, which no message does: it moves the mean instead.
  const limit = newMean < mean ? -MAX_LOG_SPEED : MAX_LOG_SPEED
  return { mean: limit, precision: Math.max(0, precision * (newMean - mean) / (limit - newMean)) }
}
