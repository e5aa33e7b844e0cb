import { simulate } from './simulate.ts'
import type { RunSpec } from './types.ts'

process.on('message', (spec: RunSpec) => {
  process.send!(simulate(spec))
})
