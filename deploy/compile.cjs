// Writes the V8 code cache of a bundle: `node OPTIONS deploy/compile.cjs BUNDLE`. OPTIONS must be those that the bundle
// will run with. All functions are compiled, so that a process that has just started compiles none at its first requests.
const { writeFileSync } = require('node:fs')
const { setFlagsFromString } = require('node:v8')
const { compiledFileOf, readBundle } = require('./load-bundle.cjs')

const [, , file] = process.argv
setFlagsFromString('--no-lazy')
const script = readBundle(file)
// The cache holds a hash of the flags, which must be those of the deployed process.
setFlagsFromString('--lazy')
writeFileSync(compiledFileOf(file), script.createCachedData())
