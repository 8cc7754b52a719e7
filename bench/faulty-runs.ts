/** Counts violations over many seeded runs with injected faults; several runs execute concurrently. */
import { runExperiment, type ExperimentResult } from '../src/emulation/load/experiment.ts'
import { scheduleFaults } from '../src/emulation/load/faults.ts'
import { createRandom } from '../src/emulation/load/random.ts'
import { summarize } from '../src/emulation/load/summary.ts'
import { reportViolations } from './report-violations.ts'
import type { Measurement } from './types.ts'

const RUNS = Number(process.env['WORKSWARD_RUNS'] ?? 100)
const CONCURRENT_RUNS = 3
const DURATION_MS = 3000
const FAULTS_PER_RUN = 3

/** Runs all seeds and sums the results. */
export const faultyRuns: Measurement = {
  title: 'Faulty runs',
  description: `${RUNS} runs with seeds from 1, ${FAULTS_PER_RUN} faults each drawn from all kinds, ${DURATION_MS} ms, ` +
    `${CONCURRENT_RUNS} runs at a time, 8 sessions.`,
  run: async () => {
    const seeds = Array.from({ length: RUNS }, (_value, index) => index + 1)
    const results: ExperimentResult[] = []
    const runSeeds = async (): Promise<void> => {
      for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        const faults = scheduleFaults(createRandom(seed), DURATION_MS, FAULTS_PER_RUN)
        const result = await runExperiment({ seed, faults, workload: { durationMs: DURATION_MS } })
        reportViolations(`seed ${seed}`, result)
        results.push(result)
      }
    }
    await Promise.all(Array.from({ length: CONCURRENT_RUNS }, runSeeds))
    const summaries = results.map(({ history }) => summarize(history.events))
    const sum = (pick: (summary: typeof summaries[number]) => number): number =>
      summaries.reduce((total, summary) => total + pick(summary), 0)
    return [{
      runs: results.length,
      requests: sum(({ operations }) => operations),
      served: sum(({ done }) => done),
      'refused not run': sum(({ notRun }) => notRun),
      'outcome unknown': sum(({ mayHaveRun }) => mayHaveRun),
      violations: results.reduce((total, { violations }) => total + violations.length, 0)
    }]
  }
}
