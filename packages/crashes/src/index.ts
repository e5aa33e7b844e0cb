export { assignBlame } from './blame.ts'
export * from './constants.ts'
export type * from './types.ts'
export { getProbationMs, judge } from './verdict.ts'
