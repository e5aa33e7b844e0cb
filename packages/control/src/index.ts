export * from './constants.ts'
export * from './jobs.ts'
export * from './node.ts'
export * from './session.ts'
