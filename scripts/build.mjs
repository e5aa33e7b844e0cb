// Bundles all programs, or those named on the command line, into dist/ibisstair-<name>.mjs. With
// --platform it bundles the programs of platform/ into target/.
import { build } from 'esbuild'
import { chmodSync, existsSync, readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))

// io_uring has to be disabled before Node.js starts. Bundled CommonJS packages call `require`,
// which an ES module does not have.
const BANNER = [
  '#!/usr/bin/env -S UV_USE_IO_URING=0 node',
  "import { createRequire as createRequireOfBundle } from 'node:module'",
  'const require = createRequireOfBundle(import.meta.url)'
].join('\n')

const findApps = () => readdirSync(`${root}apps`).filter((name) => existsSync(`${root}apps/${name}/src/main.ts`))

/** Bundles one program and resolves with the path of the bundle. */
export const buildApp = async (name, outDir = `${root}dist`, entryPoint = `apps/${name}/src/main.ts`) => {
  const outfile = `${outDir}/ibisstair-${name}.mjs`
  await build({
    absWorkingDir: root,
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    // Identifiers keep their names: error classes appear in messages and logs, and the helper that
    // would restore the names costs time at each creation of an inner function.
    minifyWhitespace: true,
    minifySyntax: true,
    sourcemap: true,
    banner: { js: BANNER },
    logLevel: 'warning'
  })
  chmodSync(outfile, 0o755)
  return outfile
}

const PLATFORM_PROGRAMS = ['entry', 'control']

/** Bundles the platform's programs and resolves with their paths. */
export const buildPlatform = async () =>
  await Promise.all(PLATFORM_PROGRAMS.map((name) => buildApp(`platform-${name}`, `${root}target`, `platform/src/${name}/main.ts`)))

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const args = process.argv.slice(2)
  if (args[0] === '--platform') for (const path of await buildPlatform()) console.log(path)
  else for (const name of args.length > 0 ? args : findApps()) console.log(await buildApp(name))
}
