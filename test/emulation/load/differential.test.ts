import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { NaiveOptions } from '../../../bench/naive/naive-proxy.ts'
import { runNaive } from '../../../bench/naive/run-naive.ts'
import { runExperiment, type ExperimentOptions } from '../../../src/emulation/load/experiment.ts'
import type { OperationType } from '../../../src/emulation/load/operations.ts'

const only = (mix: Partial<Record<OperationType, number>>): Record<OperationType, number> =>
  ({ purchase: 0, 'read-own': 0, transfer: 0, total: 0, echo: 0, ...mix })

/** One habit of the naive version and a run that shows its harm, for each promise. */
const CASES: Array<{ check: string, habits: Partial<NaiveOptions>, options: Omit<ExperimentOptions, 'seed'> }> = [
  {
    check: 'reads-own-writes',
    habits: {},
    // More than the time between two requests of a session on a busy machine, so that the harm shows on any.
    options: { sizes: { lagMs: 400 }, faults: [], workload: { mix: only({ purchase: 1, 'read-own': 1 }), durationMs: 900 } }
  },
  {
    check: 'never-back-in-time',
    habits: {},
    options: { sizes: { lagMs: 5 }, faults: [{ name: 'lag-replica', atMs: 100, durationMs: 1200 }], workload: { mix: only({ purchase: 1, 'read-own': 2 }), durationMs: 1500 } }
  },
  {
    check: 'at-most-once',
    habits: { retryOnError: true },
    options: { faults: [{ name: 'lose-write', atMs: 100, durationMs: 800 }], workload: { mix: only({ purchase: 1 }), durationMs: 1000 } }
  },
  {
    check: 'refused-never-ran',
    habits: { retryOnError: false, claimNotRun: true },
    options: { faults: [{ name: 'lose-write', atMs: 100, durationMs: 800 }], workload: { mix: only({ purchase: 1 }), durationMs: 1000 } }
  },
  {
    check: 'acknowledged-survives',
    habits: {},
    options: { sizes: { lagMs: 300 }, faults: [{ name: 'crash-primary', atMs: 600, durationMs: 900 }], workload: { mix: only({ purchase: 1 }), durationMs: 1200 } }
  },
  {
    check: 'transactions-isolated',
    habits: { shareConnection: true },
    options: { faults: [], workload: { mix: only({ transfer: 1, total: 1 }), durationMs: 900 } }
  },
  {
    check: 'whole-answers',
    habits: { truncateAnswers: true },
    options: { faults: [], workload: { mix: only({ echo: 1 }), durationMs: 400 } }
  }
]

describe('the naive version and worksward, on the same workload and faults', () => {
  for (const { check, habits, options } of CASES) {
    it(`breaks ${check} without worksward, and keeps it with worksward`, async () => {
      const naive = await runNaive({ ...options, seed: 1 }, habits)
      expect(naive.violations.map((violation) => violation.check).includes(check)).toEqual(true)
      const { violations } = await runExperiment({ ...options, seed: 1 })
      expect(violations).toEqual([])
    })
  }
})
