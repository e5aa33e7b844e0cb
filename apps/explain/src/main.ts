import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { EXIT_FAILURE, EXIT_OK, runMain, type CommandLine, type CommandSpec } from '@ibisstair/settings'
import { buildTimeline, formatLine, parseLine, type LogLine } from './timeline.ts'

const SPEC: CommandSpec = {
  name: 'ibisstair-explain',
  summary: 'Prints the timeline of one job from the logs of the processes.',
  usage: ['[--changes] ID FILE...'],
  minPositionals: 2,
  maxPositionals: 10_000,
  options: {
    changes: { type: 'boolean', help: 'also print changes of leader, configuration and endpoints during the job' }
  },
  notes: ['Exit code 1 means that no log line mentions the job.']
}

const readLines = async (file: string): Promise<LogLine[]> => {
  const lines: LogLine[] = []
  for await (const text of createInterface({ input: createReadStream(file) })) {
    const line = parseLine(text)
    if (line) lines.push(line)
  }
  return lines
}

const explain = async (command: CommandLine): Promise<number> => {
  const [id, ...files] = command.positionals
  const lines = (await Promise.all(files.map(readLines))).flat()
  const timeline = buildTimeline(lines, id!, command.getFlag('changes'))
  for (const line of timeline) process.stdout.write(`${formatLine(line)}\n`)
  return timeline.length > 0 ? EXIT_OK : EXIT_FAILURE
}

await runMain(SPEC, explain)
