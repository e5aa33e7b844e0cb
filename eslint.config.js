import neostandard from 'neostandard'

const noAmbientTime = [
  { object: 'Date', property: 'now', message: 'Use the timer service of @ibisstair/timers.' },
  { object: 'Math', property: 'random', message: 'Use RandomSource of @ibisstair/timers.' }
]
const noAmbientTimers = ['setTimeout', 'setInterval', 'setImmediate'].map((name) => ({
  name,
  message: 'Use the timer service of @ibisstair/timers.'
}))
const noProcesses = ['child_process', 'cluster', 'worker_threads'].flatMap((name) => [name, `node:${name}`])

// Names on the wire of the users' platform; only platform/ knows them.
const PLATFORM_FIELDS = '^(FenceToken|UntilMs|AckedUpto|BeatAddr|ColdLeftMs|DrainRemainingMs|MaxPerServer)$'
const PLATFORM_TEXTS = '(ibisstair.(run-|hold|Instances|Config|Evacuation)|x-ibisstair-(credential|expected)|IBISSTAIR_SETTINGS)'
const noPlatformNames = [`Identifier[name=/${PLATFORM_FIELDS}/]`, `Literal[value=/${PLATFORM_TEXTS}/]`, `TemplateElement[value.raw=/${PLATFORM_TEXTS}/]`].map((selector) => ({
  selector,
  message: 'A name of the platform belongs into platform/.'
}))

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'journal/**', '.tap/**', '.demo/**', 'coverage/**'] }),
  {
    rules: {
      // An interface may declare a method with the same name as a parameter type uses; TypeScript checks both.
      'no-redeclare': 'off'
    }
  },
  {
    files: ['packages/*/src/**/*.ts', 'apps/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['packages/timers/src/**'],
    rules: {
      'no-restricted-properties': ['error', ...noAmbientTime],
      'no-restricted-globals': ['error', ...noAmbientTimers]
    }
  },
  {
    files: ['packages/**/*.ts', 'apps/**/*.ts'],
    rules: { 'no-restricted-syntax': ['error', ...noPlatformNames] }
  },
  {
    files: ['packages/*/src/**/*.ts', 'apps/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: { 'no-restricted-imports': ['error', { paths: noProcesses }] }
  }
]
