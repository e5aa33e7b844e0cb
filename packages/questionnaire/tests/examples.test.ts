import { checkFeasible, parseConfig, parseConfigChange } from '@ibisstair/model'
import { parseYaml } from '@ibisstair/settings'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import t from 'tap'
import { buildChange, buildConfig, findNotes, formatYaml, parseQuestionnaire } from '../src/index.ts'

const examples = fileURLToPath(new URL('../../../examples/', import.meta.url))
const readText = (file: string): string => readFileSync(examples + file, 'utf8')
const readYaml = (file: string): unknown => parseYaml(readText(file), file)

for (const deployment of ['co-op', 'guild']) {
  t.test(`the configuration of ${deployment} equals the one generated from its questionnaire`, async (t) => {
    const questionnaire = parseQuestionnaire(readYaml(`${deployment}/questionnaire.yaml`))
    t.strictSame(findNotes(questionnaire), [])
    t.equal(formatYaml(buildConfig(questionnaire)), readText(`${deployment}/config.yaml`))
  })

  t.test(`the configuration of ${deployment} is accepted and has the number of domains, workers and customers of the deployment`, async (t) => {
    const config = parseConfig(readYaml(`${deployment}/config.yaml`))
    checkFeasible(config)
    const racks = config.fleet.domains.flatMap((domain) => domain.racks)
    t.equal(config.fleet.domains.length, 4)
    t.equal(racks.reduce((sum, rack) => sum + rack.workers, 0), 30)
    t.ok(racks.every((rack) => rack.slotsPerWorker === 8 && rack.acceleratorsPerWorker === 8))
    t.equal(config.customers.length, 4)
  })
}

t.test('the change file for a new team equals the one generated from its questionnaire', async (t) => {
  const existing = parseConfig(readYaml('co-op/config.yaml'))
  const wanted = buildConfig(parseQuestionnaire(readYaml('co-op/new-team.yaml')), existing)
  const change = buildChange(existing, wanted)!
  t.equal(formatYaml(change), readText('co-op/new-team.changes.yaml'))
  t.strictSame(parseConfigChange(readYaml('co-op/new-team.changes.yaml')), change)
})
