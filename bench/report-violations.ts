/** Prints the guarantees a run violated, with the events of the requests concerned, to standard error. */
import type { ExperimentResult } from '../src/emulation/load/experiment.ts'

/**
 * Prints the violations of a run, if any.
 *
 * @param label - identifies the run in the output
 * @param result - the finished run
 */
export function reportViolations (label: string, { violations, history, faults }: ExperimentResult): void {
  if (violations.length === 0) {
    return
  }
  process.stderr.write(`${label}: faults ${JSON.stringify(faults)}\n`)
  for (const { check, description } of violations) {
    process.stderr.write(`  ${check}: ${description}\n`)
    const [request = ''] = description.split(' ')
    history.events
      .filter(({ operation }) => 'request' in operation && request.startsWith(operation.request))
      .forEach((event) => process.stderr.write(`    ${JSON.stringify(event)}\n`))
  }
}
