import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { NaiveOptions } from '../../../bench/naive/naive-proxy.ts'
import { runNaive, type NaiveScript } from '../../../bench/naive/run-naive.ts'
import { runExperiment, type ExperimentOptions } from '../../../src/emulation/load/experiment.ts'
import type { OperationType } from '../../../src/emulation/load/operations.ts'

const only = (mix: Partial<Record<OperationType, number>>): Record<OperationType, number> =>
  ({ purchase: 0, 'read-own': 0, transfer: 0, total: 0, echo: 0, ...mix })

/** For each guarantee, a flaw of the naive proxy and a run in which that flaw violates it. */
interface DifferentialCase {
  check: string
  naiveOptions: Partial<NaiveOptions>
  options: Omit<ExperimentOptions, 'seed'>
  /** Order of events of the naive run, where a violation would otherwise depend on the speed of the machine. */
  script?: NaiveScript
}

const CASES: DifferentialCase[] = [
  {
    check: 'reads-own-writes',
    naiveOptions: {},
    script: { heldReplicas: 'all', operations: 150 },
    options: { sizes: { lagMs: 400 }, faults: [], workload: { mix: only({ purchase: 1, 'read-own': 1 }), durationMs: 900 } }
  },
  {
    check: 'never-back-in-time',
    naiveOptions: {},
    script: { heldReplicas: 'one', operations: 300 },
    options: { sizes: { lagMs: 5 }, faults: [{ name: 'lag-replica', atMs: 100, durationMs: 1200 }], workload: { mix: only({ purchase: 1, 'read-own': 2 }), durationMs: 1500 } }
  },
  {
    check: 'at-most-once',
    naiveOptions: { retryOnError: true },
    options: { faults: [{ name: 'lose-write', atMs: 100, durationMs: 800 }], workload: { mix: only({ purchase: 1 }), durationMs: 1000 } }
  },
  {
    check: 'refused-never-ran',
    naiveOptions: { retryOnError: false, claimNotRun: true },
    options: { faults: [{ name: 'lose-write', atMs: 100, durationMs: 800 }], workload: { mix: only({ purchase: 1 }), durationMs: 1000 } }
  },
  {
    check: 'acknowledged-survives',
    naiveOptions: {},
    script: { heldReplicas: 'all', operations: 40, crashes: true },
    options: { sizes: { lagMs: 300 }, faults: [{ name: 'crash-primary', atMs: 600, durationMs: 900 }], workload: { mix: only({ purchase: 1 }), durationMs: 1200 } }
  },
  {
    check: 'transactions-isolated',
    naiveOptions: { shareConnection: true },
    options: { faults: [], workload: { mix: only({ transfer: 1, total: 1 }), durationMs: 900 } }
  },
  {
    check: 'whole-answers',
    naiveOptions: { truncateAnswers: true },
    options: { faults: [], workload: { mix: only({ echo: 1 }), durationMs: 400 } }
  }
]

describe('the naive proxy and worksward under the same workload and faults', () => {
  for (const { check, naiveOptions, options, script } of CASES) {
    it(`breaks ${check} without worksward, and keeps it with worksward`, async () => {
      const naive = await runNaive({ ...options, seed: 1 }, naiveOptions, script)
      expect(naive.violations.map((violation) => violation.check).includes(check)).toEqual(true)
      const { violations } = await runExperiment({ ...options, seed: 1 })
      expect(violations).toEqual([])
    })
  }
})
