// Loads and runs the bundled entry process, with its V8 code cache if there is one.
const { readFileSync } = require('node:fs')
const { Script } = require('node:vm')

/** Compiles a bundle as a function of the CommonJS module variables. */
exports.readBundle = (file, cachedData) => {
  const source = readFileSync(file, 'utf8')
  const wrapped = `(function (exports, require, module, __filename, __dirname) {${source}\n})`
  return new Script(wrapped, { filename: file, cachedData })
}

/** Returns the path of a bundle's code cache. */
exports.compiledFileOf = (file) => `${file}.compiled`

exports.runBundle = (script, file) => script.runInThisContext()({}, require, { exports: {} }, file, '.')
