export * from './constants.ts'
export * from './decaying-usage.ts'
export * from './dominant-share.ts'
export type * from './types.ts'
