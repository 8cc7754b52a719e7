/** Measures the longest interval without an acknowledged write around a failover, as callers see it. */
import { runExperiment } from '../src/emulation/load/experiment.ts'
import type { FaultName } from '../src/emulation/load/faults.ts'
import { reportViolations } from './report-violations.ts'
import { failoverGapMs } from '../src/emulation/load/summary.ts'
import type { Measurement, Row } from './types.ts'

const RUNS = 20
const FAULTS: FaultName[] = ['crash-primary', 'pause-primary', 'cut-primary']
const WRITES = { purchase: 100, 'read-own': 0, transfer: 0, total: 0, echo: 0 }

/** Measures the gap for each kind of primary failure. */
export const failoverGap: Measurement = {
  title: 'Failover gap',
  description: `Longest time between two acknowledged writes around the failure, ${RUNS} runs of each kind, 12 writers, ` +
    'sizes of the Association.',
  run: async () => {
    const rows: Row[] = []
    for (const fault of FAULTS) {
      rows.push(await measure(fault))
    }
    return rows
  }
}

async function measure (name: FaultName): Promise<Row> {
  const gaps: number[] = []
  let violations = 0
  for (let seed = 1; seed <= RUNS; seed++) {
    const result = await runExperiment({
      seed,
      faults: [{ name, atMs: 600 + seed * 7, durationMs: 1500 }],
      workload: { durationMs: 2400, mix: WRITES, sessions: 12, handles: ['connection'], thinkMs: 0, roaming: 0 }
    })
    violations += result.violations.length
    reportViolations(`${name} seed ${seed}`, result)
    gaps.push(failoverGapMs(result.history.events, result.faults[0]!.atMs) ?? Infinity)
  }
  const sorted = gaps.sort((left, right) => left - right)
  const percentileOf = (share: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]!)
  return { failure: name, runs: RUNS, 'p50 ms': percentileOf(0.5), 'p90 ms': percentileOf(0.9), 'largest ms': percentileOf(1), violations }
}
