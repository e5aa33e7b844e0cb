import type { DomainScheduler, Policy, Rule } from '@ibisstair/scheduler'
import { FCFS_POLICY, DEFAULT_POLICY, RULES, Scheduler, withoutRules } from '@ibisstair/scheduler'

const isRule = (name: string): name is Rule => RULES.includes(name as Rule)

/** Parses `fcfs`, `present` (the default policy), or `no-RULE+RULE` (the default policy without these rules). */
const parsePolicy = (name: string): Policy => {
  if (name === 'fcfs') return FCFS_POLICY
  if (name === 'present') return DEFAULT_POLICY
  const rules = name.replace(/^no-/, '').split('+')
  const unknown = rules.find((rule) => !isRule(rule))
  if (unknown !== undefined) throw new Error(`unknown rule ${unknown}; known are ${RULES.join(', ')}`)
  return withoutRules(...rules.filter(isRule))
}

export const createScheduler = (policy: string): DomainScheduler => new Scheduler(parsePolicy(policy))
