// Writes the V8 code cache of a bundle: `node OPTIONS deploy/compile.cjs BUNDLE`. OPTIONS must be those that the bundle
// will run with. Functions are compiled at their first call, so the bundle is run once with `--version`.
const { writeFileSync } = require('node:fs')
const { compiledFileOf, readBundle, runBundle } = require('./load-bundle.cjs')

const [, , file] = process.argv
const script = readBundle(file)
process.argv.splice(2, 1, '--version')
runBundle(script, file)
process.on('exit', () => writeFileSync(compiledFileOf(file), script.createCachedData()))
