export * from './constants.ts'
export * from './gang.ts'
export * from './request.ts'
export * from './types.ts'
