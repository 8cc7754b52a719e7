// Starts the bundled entry process with its code cache; logs a warning if the cache is missing or rejected.
// The settings are read after the code is loaded, so a change that is announced before needs no action.
process.on('SIGHUP', () => {})

const { existsSync, readFileSync } = require('node:fs')
const { join } = require('node:path')
const { compiledFileOf, readBundle, runBundle } = require('./load-bundle.cjs')

const bundle = join(__dirname, '..', 'target', 'worksward-entry.cjs')
const compiled = compiledFileOf(bundle)
const script = readBundle(bundle, existsSync(compiled) ? readFileSync(compiled) : undefined)
if (script.cachedDataRejected !== false) {
  process.stderr.write('level=warn event=process.code-cache-rejected reason="another runtime or other options than when it was built"\n')
}
runBundle(script, bundle)
