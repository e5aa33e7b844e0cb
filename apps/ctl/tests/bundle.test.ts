import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import t from 'tap'
import { VERSION } from '@ibisstair/settings'
import { buildApp } from '../../../scripts/build.mjs'

const execute = promisify(execFile)

t.test('a bundle starts as a single file, and the CommonJS packages in it can call `require`', async (t) => {
  const folder = t.testdir()
  for (const name of ['burn', 'ctl']) {
    const bundle = await buildApp(name, folder)
    const { stdout } = await execute(bundle, ['--version'])
    t.equal(stdout, `ibisstair-${name} ${VERSION}\n`)
    await t.rejects(execute(bundle, ['--unknown']), { code: 2 })
  }
})
