/** Measures the share of reads that replicas serve, by how sessions identify themselves. */
import { runExperiment } from '../src/emulation/load/experiment.ts'
import { summarize } from '../src/emulation/load/summary.ts'
import { GRID_MIX, type WorkloadOptions } from '../src/emulation/load/workload.ts'
import type { Measurement, Row } from './types.ts'

const LAG_MS = 50
const SEEDS = [1, 2, 3]
const DURATION_MS = 4000

/** Measures the share for each kind of session handle. */
export const replicaShare: Measurement = {
  title: 'Share of reads on replicas',
  description: `Lag ${LAG_MS} ms, 5% writes, 8 sessions that roam, seeds ${SEEDS.join(', ')}; no faults.`,
  run: async () => {
    const rows: Row[] = []
    for (const handle of ['token', 'id', 'connection'] as const) {
      rows.push(await measure(handle))
    }
    return rows
  }
}

async function measure (handle: WorkloadOptions['handles'][number]): Promise<Row> {
  let onReplicas = 0
  let onPrimary = 0
  let violations = 0
  let readP50Ms = 0
  let readP99Ms = 0
  for (const seed of SEEDS) {
    const result = await runExperiment({
      seed,
      sizes: { lagMs: LAG_MS },
      faults: [],
      workload: { durationMs: DURATION_MS, mix: GRID_MIX, handles: [handle] }
    })
    onReplicas += result.readsOnReplicas
    onPrimary += result.readsOnPrimary
    violations += result.violations.length
    const summary = summarize(result.history.events)
    readP50Ms = Math.max(readP50Ms, summary.readP50Ms)
    readP99Ms = Math.max(readP99Ms, summary.readP99Ms)
  }
  const share = Math.round(1000 * onReplicas / (onReplicas + onPrimary)) / 10
  return {
    session: handle,
    reads: onReplicas + onPrimary,
    'on replicas %': share,
    'read p50 ms': readP50Ms,
    'read p99 ms': readP99Ms,
    violations
  }
}
