/** Measures the CPU time to start the entry process, with and without the code cache of the build. */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { round2 } from './throughput.ts'
import type { Measurement, Row } from './types.ts'

const ROOT = new URL('../', import.meta.url).pathname
/** Number of interleaved starts of each command; the median is reported. */
const ROUNDS = 15
const MICROSECONDS_PER_MS = 1000
/** Module that prints the CPU time of its process on exit, in microseconds. */
const REPORT = `data:text/javascript,${encodeURIComponent(
  'process.on("exit", () => { const { user, system } = process.cpuUsage(); process.stdout.write("\\n" + (user + system)) })')}`

function deployedOptions (): string[] {
  const [, options = ''] = /^run = "node (.*) deploy\/start\.cjs"$/m.exec(readFileSync(`${ROOT}deploy/system.toml`, 'utf8')) ?? []
  return options.split(' ')
}

/** Arguments of each command by its table label. A different `--stack-size` invalidates the code cache. */
const COMMANDS: Record<string, string[]> = {
  'the runtime alone': ['-e', '0'],
  'code compiled at the build': [...deployedOptions(), 'deploy/start.cjs', '--version'],
  'code compiled anew': ['--stack-size=900', ...deployedOptions(), 'deploy/start.cjs', '--version']
}

function processorMs (args: string[]): number {
  const output = execFileSync(process.execPath, ['--import', REPORT, ...args], {
    cwd: ROOT, stdio: ['ignore', 'pipe', 'ignore']
  })
  return Number(String(output).split('\n').at(-1)) / MICROSECONDS_PER_MS
}

/** Measures the start up to command line parsing only, as later steps wait for the store. */
export const entryStart: Measurement = {
  title: 'Start of the entry process',
  description: `Processor time of a start up to the command line, median of ${ROUNDS} in turns. Before parts of packages ` +
    'that are not used were left out of the bundle, which then had 2.0 MB and now has 1.2 MB, a start took 2.6 to 3.4 ' +
    'times the runtime alone (two runs of ten).',
  run: async () => {
    execFileSync(process.execPath, ['deploy/bundle.js'], { cwd: ROOT })
    const times = Object.keys(COMMANDS).map((): number[] => [])
    for (let round = 0; round < ROUNDS; round++) {
      Object.values(COMMANDS).forEach((args, index) => times[index]!.push(processorMs(args)))
    }
    const medians = times.map((all) => all.sort((left, right) => left - right)[ROUNDS >> 1]!)
    return Object.keys(COMMANDS).map((started, index): Row => ({
      started, 'processor ms': round2(medians[index]!), 'of the runtime alone': round2(medians[index]! / medians[0]!)
    }))
  }
}
