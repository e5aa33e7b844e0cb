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

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', '.tap/**', '.demo/**', 'coverage/**'] }),
  {
    rules: {
      // An interface may declare a method with the same name as a parameter type uses; TypeScript checks both.
      'no-redeclare': 'off'
    }
  },
  {
    files: ['packages/*/src/**/*.ts', 'apps/*/src/**/*.ts'],
    ignores: ['packages/timers/src/**'],
    rules: {
      'no-restricted-properties': ['error', ...noAmbientTime],
      'no-restricted-globals': ['error', ...noAmbientTimers]
    }
  },
  {
    files: ['packages/*/src/**/*.ts', 'apps/*/src/**/*.ts'],
    rules: { 'no-restricted-imports': ['error', { paths: noProcesses }] }
  }
]
