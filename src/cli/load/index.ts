/** `worksward-load`: generates load, injects faults, and checks the recorded histories. */
import { appendFileSync, writeFileSync } from 'node:fs'
import { WorkswardError } from '../../core/errors/index.ts'
import { ownValue } from '../../core/own-value.ts'
import { parseEndpoint } from '../../core/wire/dialer.ts'
import { runExperiment } from '../../emulation/load/experiment.ts'
import { scheduleFaults } from '../../emulation/load/faults.ts'
import { createRandom } from '../../emulation/load/random.ts'
import { summarize } from '../../emulation/load/summary.ts'
import { FULL_MIX, GRID_MIX, runWorkload } from '../../emulation/load/workload.ts'
import { runProgram } from '../run-command.ts'

const MIXES = { full: FULL_MIX, grid: GRID_MIX }

/** Command line options of `run`. */
interface RunOptions {
  proxies: string
  user: string
  password: string
  group: string
  seconds: number
  sessions: number
  mix: keyof typeof MIXES
  seed: number
  history?: string
}

await runProgram('worksward-load', (program) => {
  program.command('experiment', 'Run embedded deployments under faults and check every promise')
    .option('--seeds <count>', 'Number of runs', { default: 5 })
    .option('--first <seed>', 'First seed', { default: 1 })
    .option('--faults <count>', 'Faults in each run', { default: 3 })
    .option('--seconds <time>', 'Length of each run', { default: 3 })
    .action(runExperiments)
  program.command('run', 'Drive load through running proxies')
    .option('--proxies <list>', 'Addresses ip:port, separated by commas', { default: '127.0.0.1:3306' })
    .option('--user <name>', 'Service', { default: 'app' })
    .option('--password <text>', 'Password of the service', { default: '' })
    .option('--group <name>', 'Database group', { default: 'member-a' })
    .option('--seconds <time>', 'Length of the run', { default: 10 })
    .option('--sessions <count>', 'Sessions at a time', { default: 8 })
    .option('--mix <name>', 'full or grid', { default: 'grid' })
    .option('--seed <number>', 'Seed', { default: 1 })
    .option('--history <file>', 'Write what callers saw to a file, one JSON line an event')
    .action(runLoad)
})

async function runExperiments (
  options: { seeds: number, first: number, faults: number, seconds: number }
): Promise<void> {
  let violationCount = 0
  for (let seed = options.first; seed < options.first + options.seeds; seed++) {
    const durationMs = options.seconds * 1000
    const faults = scheduleFaults(createRandom(seed), durationMs, options.faults)
    const { violations, history } = await runExperiment({ seed, faults, workload: { durationMs } })
    violationCount += violations.length
    const { operations, done, notRun, mayHaveRun } = summarize(history.events)
    const names = faults.map(({ name }) => name).join('+')
    process.stdout.write(`seed=${seed} faults=${names} operations=${operations} done=${done} not_run=${notRun} ` +
      `may_have_run=${mayHaveRun} violations=${violations.length}\n`)
    violations.forEach(({ check, description }) => process.stdout.write(`  ${check}: ${description}\n`))
  }
  process.stdout.write(`violations=${violationCount}\n`)
  process.exitCode = violationCount === 0 ? 0 : 1
}

async function runLoad (options: RunOptions): Promise<void> {
  const mix = ownValue(MIXES, options.mix)
  if (mix === undefined) {
    throw new WorkswardError('InvalidCommand', { reason: `unknown mix '${options.mix}'; there are: full, grid` })
  }
  if (options.history !== undefined) {
    writeFileSync(options.history, '')
  }
  const events = await runWorkload({
    target: {
      proxies: options.proxies.split(',').map(parseEndpoint),
      user: options.user,
      password: String(options.password),
      database: options.group
    },
    seed: options.seed,
    sessions: options.sessions,
    durationMs: options.seconds * 1000,
    mix,
    roaming: 0.1,
    handles: ['token', 'id', 'connection'],
    thinkMs: 0,
    onEvent: (event) => {
      if (options.history !== undefined) {
        appendFileSync(options.history, JSON.stringify(event) + '\n')
      }
    }
  })
  for (const [name, value] of Object.entries(summarize(events))) {
    process.stdout.write(`${name}=${value}\n`)
  }
}
