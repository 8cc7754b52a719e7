// Bundles the entry process into one file and writes its V8 code cache, to shorten the start of the process.
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { build } from 'esbuild'

/** Output file, which `start.cjs` runs. */
const BUNDLE = 'target/worksward-entry.cjs'

await build({
  entryPoints: ['src/cli/entry/index.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  external: ['cbor-extract'],
  alias: {
    // The package's main module formats numbers while loading, which makes the runtime load its locale data.
    'hdr-histogram-js': 'hdr-histogram-js/dist/HistogramBuilder.js',
    // The package's main module loads HTTPS, cluster support and default metrics, which are unused here.
    'prom-client': './deploy/prom-client.cjs'
  }
})

/** Returns the Node.js options of the deployed process; the code cache is rejected under different options. */
function runtimeOptions () {
  const [, options = ''] = /^run = "node (.*?) ?deploy\/start\.cjs"$/m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? []
  return options.split(' ')
}

execFileSync(process.execPath, [...runtimeOptions(), 'deploy/compile.cjs', BUNDLE], { stdio: 'inherit' })
