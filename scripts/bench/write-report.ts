import { readFileSync, existsSync, mkdirSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import * as echarts from 'echarts'
import type { DecisionCost } from './decision-cost.ts'
import { formatTables } from './report.ts'
import { median } from './statistics.ts'
import type { RunResult } from './types.ts'
import { PHASES } from './types.ts'

const PAGE = fileURLToPath(new URL('../../docs/measurements.md', import.meta.url))
const FOLDER = fileURLToPath(new URL('../../docs/measurements/', import.meta.url))
const BEGIN = '<!-- bench: begin -->'
const END = '<!-- bench: end -->'
const CHART_SIZE = { width: 1000, height: 420 }

export interface ReportHeader {
  readonly command: string
  readonly commit: string
  readonly seeds: string
  readonly previous: string
}

type Metric = (result: RunResult) => number

const renderChart = (option: echarts.EChartsCoreOption): string => {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, ...CHART_SIZE })
  chart.setOption({ animation: false, ...option })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

const getMedianMetric = (results: readonly RunResult[], policy: string, phase: string, metric: Metric): number => {
  const values = results.filter(({ spec }) => spec.policy === policy && spec.phase === phase && !spec.alone).map(metric)
  return Number(median(values).toPrecision(3))
}

const renderPhaseChart = (title: string, results: readonly RunResult[], metric: Metric, isLog: boolean): string => {
  const policies = [...new Set(results.map(({ spec }) => spec.policy))]
  return renderChart({
    title: { text: title, left: 'center', textStyle: { fontSize: 14 } },
    legend: { top: 28 },
    grid: { top: 70, bottom: 40, left: 60, right: 20 },
    xAxis: { type: 'category', data: [...PHASES], axisLabel: { interval: 0 } },
    yAxis: isLog ? { type: 'log', min: 1 } : { type: 'value' },
    series: policies.map((policy) => ({ name: policy, type: 'bar', data: PHASES.map((phase) => getMedianMetric(results, policy, phase, metric)) }))
  })
}

const renderCostChart = (costs: readonly DecisionCost[]): string => {
  const series = new Map<string, [number, number][]>()
  for (const { policy, workers, queued, microseconds } of costs) {
    const name = `${policy}, ${workers} workers`
    series.set(name, [...series.get(name) ?? [], [queued, Number(microseconds.toPrecision(3))]])
  }
  return renderChart({
    title: { text: 'Microseconds an event over the number of queued jobs', left: 'center', textStyle: { fontSize: 14 } },
    legend: { top: 28 },
    grid: { top: 90, bottom: 40, left: 60, right: 20 },
    xAxis: { type: 'log', min: 100, max: 10_000 },
    yAxis: { type: 'value', min: 0 },
    series: [...series].map(([name, data]) => ({ name, type: 'line', data }))
  })
}

/** Replaces the plots and the generated part of the page; the other parts are written by hand. */
export const writeReport = (results: readonly RunResult[], costs: readonly DecisionCost[], head: ReportHeader): void => {
  mkdirSync(FOLDER, { recursive: true })
  const plots: string[] = []
  const addPlot = (name: string, svg: string): void => {
    writeFileSync(`${FOLDER}${name}.svg`, `${svg}\n`)
    plots.push(`![${name}](measurements/${name}.svg)`)
  }
  for (const deployment of new Set(results.map(({ spec }) => spec.deployment))) {
    const own = results.filter(({ spec }) => spec.deployment === deployment)
    addPlot(`${deployment}-urgent-p99`, renderPhaseChart(`${deployment}: p99 of urgent work, ratio to an empty fleet (median of the seeds)`, own, (r) => Math.max(1, r.urgentP99), true))
    addPlot(`${deployment}-gang-wait`, renderPhaseChart(`${deployment}: median wait of large gangs in seconds`, own, (r) => r.gangWaitP50Ms / 1000, false))
    addPlot(`${deployment}-fragmentation`, renderPhaseChart(`${deployment}: free accelerators that the largest guaranteed shape cannot use, %`, own, (r) => 100 * r.fragmentation, false))
  }
  if (costs.length > 0) addPlot('decision-cost', renderCostChart(costs))
  const intro = [
    `Command: \`${head.command}\``, '', `Commit: ${head.commit}. Seeds: ${head.seeds}. Version before: \`${head.previous}\`.`, '',
    'Each cell is the median over the seeds with the lowest and the highest value.'
  ].join('\n')
  const generated = [BEGIN, intro, formatTables(results, costs), '### Plots', ...plots, END].join('\n\n')
  const page = existsSync(PAGE) ? readFileSync(PAGE, 'utf8') : `# Measurements\n\n${BEGIN}${END}\n`
  const from = page.indexOf(BEGIN)
  const until = page.indexOf(END) + END.length
  writeFileSync(PAGE, page.slice(0, from) + generated + page.slice(until))
}
