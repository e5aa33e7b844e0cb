import type { DecisionCost } from './decision-cost.ts'
import type { RunResult } from './types.ts'

export const writeReport = (_results: readonly RunResult[], _costs: readonly DecisionCost[], _command: string): void => {}
