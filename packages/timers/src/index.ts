export * from './manual.ts'
export * from './random.ts'
export * from './system.ts'
export * from './types.ts'
