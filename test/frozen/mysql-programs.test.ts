/** Output and exit codes of the programs. */
import { spawn } from 'node:child_process'
import { describe, it } from 'node:test'
import { expectGolden } from './mysql-golden.ts'

const FILE = 'programs'
const BIN = new URL('../../bin/', import.meta.url).pathname
const ROOT = new URL('../../', import.meta.url).pathname
const COMMANDS = [
  'check', 'check-entry', 'explain-log', 'plan', 'apply', 'rollback', 'query', 'prompt', 'dump', 'hash-password', 'hash-key'
]
/** A port without a listener. */
const NOBODY = '127.0.0.1:1'

/** Command-line arguments by name of the run. */
const RUNS: Record<string, string[][]> = {
  worksward: [
    ['--help'], ['--version'], [], ['aply'], ...COMMANDS.map((command) => [command, '--help']), ['check', 'none.yaml'],
    ['check', 'examples/association.yaml'], ['check', 'examples/vodostaj.yaml'], ['check', 'examples/association-proxy-1.yaml'],
    ['check'], ['plan', 'none.yaml'], ['apply', 'none.yaml'], ['plan', 'examples/association.yaml', '--unknown'],
    ['query', 'shwo groups'], ['query', 'show groups', '--server', NOBODY], ['hash-password', 'app-password'],
    ['hash-key', 'embedded-operator-key'], ['explain-log', 'none.log'], ['explain-log', 'package.json', '--request', 'none']
  ],
  'worksward-proxy': [['--help'], ['none.yaml'], [], ['examples/association.yaml']],
  'worksward-keeper': [['--help'], ['none.yaml'], [], ['examples/association-proxy-1.yaml']],
  'worksward-standin': [['--help'], ['none.yaml'], [], ['examples/association.yaml']],
  'worksward-load': [
    ['--help'], [], ['experiment', '--help'], ['run', '--help'], ['rnu'], ['run', '--mix', 'none']
  ]
}

async function runProgram (program: string, args: string[]): Promise<unknown> {
  const environment: Record<string, string | undefined> = { ...process.env, WORKSWARD_KEY: 'key' }
  delete environment['WORKSWARD_SERVER']
  delete environment['NODE_OPTIONS']
  const child = spawn(process.execPath, [`${BIN}${program}.js`, ...args], {
    cwd: ROOT, env: environment, stdio: ['ignore', 'pipe', 'pipe']
  })
  let output = ''
  let errors = ''
  child.stdout.on('data', (chunk) => { output += String(chunk) })
  child.stderr.on('data', (chunk) => { errors += String(chunk) })
  const code = await new Promise<number | null>((resolve) => child.once('close', resolve))
  return { code, output: stripMachine(output), errors: stripMachine(errors) }
}

/** The first line of the help contains the runtime version and the platform. */
function stripMachine (text: string): string {
  return text.replaceAll(/ [a-z0-9]+-[a-z0-9]+ node-v[0-9.]+/g, ' SYSTEM')
}

describe('programs', { concurrency: 2 }, () => {
  for (const [program, runs] of Object.entries(RUNS)) {
    for (const args of runs) {
      const name = [program, ...args].join(' ')
      it(`print the same output: ${name}`, async () => {
        expectGolden(FILE, name, await runProgram(program, args))
      })
    }
  }
})
