export * from './constants.ts'
export * from './decide-admission.ts'
export * from './retry-spread.ts'
