/** The interactive prompt, with history and completion. */
import { createInterface } from 'node:readline/promises'
import { WORDS_AFTER } from '../../mysql-proxy/language/parser.ts'
import { WorkswardError, describeThrown } from '../../core/errors/index.ts'

const HISTORY_LENGTH = 200

/**
 * Runs commands that are typed until the input ends or `exit` is typed.
 *
 * @param run - runs a command and returns what to print
 */
export async function runPrompt (run: (command: string) => Promise<string>): Promise<void> {
  const terminal = createInterface({
    input: process.stdin,
    output: process.stdout,
    prompt: 'worksward> ',
    historySize: HISTORY_LENGTH,
    completer: completeCommand
  })
  terminal.prompt()
  for await (const line of terminal) {
    if (line.trim() === 'exit') {
      break
    }
    if (line.trim() !== '') {
      process.stdout.write(await run(line).catch(describeFailure))
    }
    terminal.prompt()
  }
  terminal.close()
}

/**
 * Completes the last word of a line.
 *
 * @param line - what was typed so far
 * @returns the words that can stand there, and the part that they replace
 */
export function completeCommand (line: string): [string[], string] {
  const words = line.trimStart().split(/\s+/)
  const begun = words.at(-1) ?? ''
  const candidates = WORDS_AFTER[words.at(-2)?.toLowerCase() ?? ''] ?? []
  return [candidates.filter((word) => word.startsWith(begun.toLowerCase())).map((word) => `${word} `), begun]
}

function describeFailure (thrown: unknown): string {
  const hint = thrown instanceof WorkswardError ? `\n  hint: ${thrown.hint}` : ''
  return `${describeThrown(thrown)}${hint}\n`
}
