/** Interactive prompt with history and completion. */
import { createInterface } from 'node:readline/promises'
import { WORDS_AFTER } from '../../mysql-proxy/language/parser.ts'
import { WorkswardError, describeThrown } from '../../core/errors/index.ts'
import { ownValue } from '../../core/own-value.ts'

const HISTORY_LENGTH = 200

/**
 * Reads and runs commands until the input ends or `exit` is entered.
 *
 * @param run - runs a command and returns its output
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
 * @param line - the input so far
 * @returns the possible completions and the word that they replace
 */
export function completeCommand (line: string): [string[], string] {
  const words = line.trimStart().split(/\s+/)
  const prefix = words.at(-1) ?? ''
  const candidates = ownValue(WORDS_AFTER, words.at(-2)?.toLowerCase() ?? '') ?? []
  return [candidates.filter((word) => word.startsWith(prefix.toLowerCase())).map((word) => `${word} `), prefix]
}

function describeFailure (thrown: unknown): string {
  const hint = thrown instanceof WorkswardError ? `\n  hint: ${thrown.hint}` : ''
  return `${describeThrown(thrown)}${hint}\n`
}
