/** Runs the same workload and faults against worksward and against the naive proxy. */
import { CHECKERS } from '../src/emulation/load/checks/index.ts'
import { runExperiment, type ExperimentOptions, type ExperimentResult } from '../src/emulation/load/experiment.ts'
import { summarize } from '../src/emulation/load/summary.ts'
import { runNaive } from './naive/run-naive.ts'
import type { Measurement, Row } from './types.ts'

const SEEDS = [1, 2, 3, 4]

/** Builds the options of one run: replication lag, lost answers and an isolated primary. */
function differentialOptions (seed: number): ExperimentOptions {
  return {
    seed,
    sizes: { lagMs: 30 },
    faults: [
      { name: 'lose-commit', atMs: 300, durationMs: 600 },
      { name: 'lose-write', atMs: 600, durationMs: 600 },
      { name: 'cut-primary', atMs: 1300, durationMs: 1000 }
    ],
    workload: { durationMs: 3000 }
  }
}

/** Compares violations and request outcomes of the two proxies. */
export const differential: Measurement = {
  title: 'Worksward and the naive version',
  description: `Same seeds (${SEEDS.join(', ')}), workload and faults: lag 30 ms, lost answers, the primary cut off for 1 s.`,
  run: async () => [await measure('worksward', runExperiment), await measure('naive', runNaive)]
}

async function measure (version: string, run: (options: ExperimentOptions) => Promise<ExperimentResult>): Promise<Row> {
  const results: ExperimentResult[] = []
  for (const seed of SEEDS) {
    results.push(await run(differentialOptions(seed)))
  }
  const violations = results.flatMap((result) => result.violations)
  const events = results.flatMap(({ history }) => history.events)
  const countOf = (check: string): number => violations.filter((found) => found.check === check).length
  const counts = Object.keys(CHECKERS).map((check) => [check, countOf(check)])
  const { done, notRun, mayHaveRun } = summarize(events)
  return { version, served: done, 'not run': notRun, unknown: mayHaveRun, ...Object.fromEntries(counts) }
}
