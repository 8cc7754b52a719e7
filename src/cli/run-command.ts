/** Shared by all programs: command line parsing, error reports and exit codes. */
import { cac, type CAC } from 'cac'
import { writeSync } from 'node:fs'
import { WorkswardError, describeStack, describeThrown } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'

/** Exit code for an invalid command line or input file. */
const EXIT_BAD_INPUT = 2
const EXIT_FAILED = 1
/** Delay before the exit in which the last log line is flushed, in milliseconds. */
const LOG_FLUSH_MS = 50
const VERSION = '0.1.0'
const STANDARD_ERROR = 2

/**
 * Runs a program.
 *
 * @param name - name of the program
 * @param define - adds the program's commands
 * @param argv - arguments in the form of `process.argv`
 */
export async function runProgram (name: string, define: (program: CAC) => void, argv = process.argv): Promise<void> {
  const program = cac(name)
  define(program)
  program.help()
  program.version(VERSION)
  try {
    program.parse(argv, { run: false })
    if (program.options['help'] === true || program.options['version'] === true) {
      return
    }
    if (program.matchedCommand === undefined) {
      throw new WorkswardError('InvalidCommand', { reason: describeUnknownCommand(program) })
    }
    await program.runMatchedCommand()
  } catch (thrown) {
    reportFailure(name, thrown)
  }
}

/** Prints an error with its hint and sets the exit code. */
function reportFailure (name: string, thrown: unknown): void {
  const known = thrown instanceof WorkswardError
  const title = known ? `${thrown.title}: ` : ''
  const hint = known ? `\n  hint: ${thrown.hint}` : ''
  writeSync(STANDARD_ERROR, `${name}: ${title}${describeThrown(thrown)}${hint}\n`)
  const badInput = known && ['InvalidSettings', 'UnreadableFile', 'InvalidCommand'].includes(thrown.entry)
  const usage = thrown instanceof Error && thrown.name === 'CACError'
  process.exitCode = badInput || usage ? EXIT_BAD_INPUT : EXIT_FAILED
}

/**
 * Logs an uncaught error and exits, since the state of the process may be inconsistent.
 */
export function exitAfterCrash (error: Error, logger: Logger): void {
  logger.log('error', 'process.crashed', { reason: error.message, stack: describeStack(error) })
  setTimeout(() => process.exit(EXIT_FAILED), LOG_FLUSH_MS)
}

function describeUnknownCommand (program: CAC): string {
  const [given] = program.args
  const known = program.commands.map((command) => command.name).filter((name) => name !== '')
  return given === undefined
    ? `a command is missing; there are: ${known.join(', ')}`
    : `unknown command '${given}'; there are: ${known.join(', ')}`
}
