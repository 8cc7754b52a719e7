/** Says on standard error which promises a run broke, and what callers saw of the requests concerned. */
import type { ExperimentResult } from '../src/emulation/load/experiment.ts'

/**
 * Reports a run's violations.
 *
 * @param label - which run it was
 * @param result - the run
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
