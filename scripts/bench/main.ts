import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { parseArgs } from 'node:util'
import { formatTables } from './report.ts'
import { measureDecisions } from './decision-cost.ts'
import type { DeploymentName, Phase, RunResult, RunSpec } from './types.ts'
import { PHASES } from './types.ts'

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '10' },
    'first-seed': { type: 'string', default: '1' },
    policies: { type: 'string', default: 'fcfs,no-urgent-preemption+throttle,present' },
    phases: { type: 'string', default: PHASES.join(',') },
    deployments: { type: 'string', default: 'co-op,guild' },
    processes: { type: 'string', default: '3' },
    scale: { type: 'boolean', default: false },
    commit: { type: 'string', default: 'working tree' },
    write: { type: 'boolean', default: false }
  }
})

const listSpecs = (): RunSpec[] => {
  const specs: RunSpec[] = []
  for (let i = 0; i < Number(values.seeds); i++) {
    const seed = Number(values['first-seed']) + i
    for (const deployment of values.deployments.split(',') as DeploymentName[]) {
      for (const policy of values.policies.split(',')) {
        for (const phase of values.phases.split(',') as Phase[]) specs.push({ deployment, phase, policy, seed, alone: false })
        specs.push({ deployment, phase: 'ordinary', policy, seed, alone: true })
      }
    }
  }
  return specs
}

const keyOf = (spec: RunSpec): string => JSON.stringify(spec)

const runAll = async (specs: readonly RunSpec[]): Promise<RunResult[]> => {
  const results: RunResult[] = []
  const waiting = [...specs]
  const runChild = (): Promise<void> => new Promise((resolve, reject) => {
    const child = fork(fileURLToPath(new URL('worker.ts', import.meta.url)))
    const next = (): void => {
      const spec = waiting.shift()
      if (spec) child.send(spec)
      else child.disconnect()
    }
    child.on('message', (result: RunResult) => {
      results.push(result)
      next()
    })
    child.on('exit', (code) => code === 0 ? resolve() : reject(new Error(`bench process exited with ${code}`)))
    next()
  })
  await Promise.all(Array.from({ length: Math.min(3, Number(values.processes)) }, runChild))
  const order = new Map(specs.map((spec, i) => [keyOf(spec), i]))
  return results.sort((a, b) => order.get(keyOf(a.spec))! - order.get(keyOf(b.spec))!)
}

const results = await runAll(listSpecs())
const costs = values.scale ? measureDecisions(values.policies.split(',')) : []
console.log(formatTables(results, costs))
if (values.write) {
  const { writeReport } = await import('./write-report.ts')
  const first = Number(values['first-seed'])
  const policies = values.policies.split(',')
  writeReport(results, costs, {
    command: `npm run bench -- ${process.argv.slice(2).join(' ')}`,
    commit: values.commit,
    seeds: `${first} to ${first + Number(values.seeds) - 1}`,
    previous: policies.at(-2) ?? 'none'
  })
}
