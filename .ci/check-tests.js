// Runs the tests and passes over those that KNOWN-RED.txt names; any other failure fails.
import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createInterface } from 'node:readline'

/** What the runner says of a suite that only failed because a test in it did. */
const FAILED_BY_ITS_TESTS = 'subtestsFailed'

const knownRed = new Map(readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
  .filter((line) => line.trim() !== '' && !line.startsWith('#'))
  .map((line) => line.split('|').map((part) => part.trim()))
  .map(([test, cause, issue]) => [test, `${cause} (issue ${issue})`]))

const failures = []
const passed = new Set()
const tests = spawn('npm', ['test'], { stdio: ['ignore', 'pipe', 'inherit'] })
for await (const line of createInterface({ input: tests.stdout })) {
  console.log(line)
  const [, name] = /^\s*not ok \d+ - (.*?)(?: # .*)?$/.exec(line) ?? []
  const [, done] = /^\s*ok \d+ - (.*?)(?: # .*)?$/.exec(line) ?? []
  const [, type] = /^\s*failureType: '(\w+)'/.exec(line) ?? []
  if (name !== undefined) {
    failures.push({ name, onlyItsTests: false })
  }
  passed.add(done)
  if (type === FAILED_BY_ITS_TESTS) {
    failures.at(-1).onlyItsTests = true
  }
}
const code = tests.exitCode ?? await new Promise((resolve) => tests.once('close', resolve))
const red = failures.filter(({ onlyItsTests }) => !onlyItsTests).map(({ name }) => name)
const unknown = red.filter((name) => !knownRed.has(name))
for (const [name, cause] of knownRed) {
  const outcome = red.includes(name) ? 'failed' : passed.has(name) ? 'passed this time' : 'not run here'
  console.log(`known red, ${outcome}: ${name}: ${cause}`)
}
unknown.forEach((name) => console.log(`red: ${name}`))
// A runner that failed without naming a test has failed for another reason.
process.exitCode = code !== 0 && (unknown.length > 0 || red.length === 0) ? 1 : 0
