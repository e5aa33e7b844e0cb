/** Rules that can be switched off one by one, so that the bench can compare with and without each. */
export const RULES = [
  'customer-fairness', 'caller-fairness', 'urgency', 'ageing', 'best-fit', 'guarantees', 'home-scoring',
  'learning', 'deadlines', 'bounded-queues', 'never-fits',
  'quarantine', 'outliers', 'retry-budget',
  'planned-starts', 'backfill',
  'urgent-preemption', 'throttle'
] as const
export type Rule = typeof RULES[number]

export interface Policy {
  /** `arrival` is strict first come, first served; `indexed` orders by the rules. */
  readonly order: 'arrival' | 'indexed'
  readonly rules: ReadonlySet<Rule>
}

export const FCFS_POLICY: Policy = { order: 'arrival', rules: new Set() }

export const DEFAULT_POLICY: Policy = { order: 'indexed', rules: new Set(RULES) }

export const withoutRules = (...without: readonly Rule[]): Policy =>
  ({ order: 'indexed', rules: new Set(RULES.filter((rule) => !without.includes(rule))) })
