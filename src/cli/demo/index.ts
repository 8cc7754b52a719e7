/** `npm start`: runs a short workload on an embedded deployment, crashes the primary once, and prints a summary. */
import { runExperiment } from '../../emulation/load/experiment.ts'
import { failoverGapMs, summarize } from '../../emulation/load/summary.ts'
import { FULL_MIX } from '../../emulation/load/workload.ts'
import { createLogger } from '../../core/logger/index.ts'

const DURATION_MS = 4000
const CRASH_AT_MS = 1500
const DOWN_MS = 1000

const logger = createLogger({ level: 'warn', fields: {} })
process.stdout.write('worksward: one group of three upstreams, three proxies, three keepers, in this process.\n')
process.stdout.write(`A workload runs for ${DURATION_MS / 1000} s; its primary crashes after ${CRASH_AT_MS / 1000} s.\n\n`)

const result = await runExperiment({
  seed: 1,
  faults: [{ name: 'crash-primary', atMs: CRASH_AT_MS, durationMs: DOWN_MS }],
  workload: { durationMs: DURATION_MS, mix: FULL_MIX },
  logger
})

const { history, violations, faults, readsOnReplicas, readsOnPrimary } = result
const summary = summarize(history.events)
const gap = failoverGapMs(history.events, faults[0]!.atMs)
const replicaShare = Math.round(100 * readsOnReplicas / Math.max(1, readsOnReplicas + readsOnPrimary))

const lines: Array<[string, string | number]> = [
  ['requests', summary.operations],
  ['served', summary.done],
  ['refused, certainly not run', summary.notRun],
  ['outcome unknown to the caller', summary.mayHaveRun],
  ['read p50 / p99, ms', `${summary.readP50Ms} / ${summary.readP99Ms}`],
  ['write p50 / p99, ms', `${summary.writeP50Ms} / ${summary.writeP99Ms}`],
  ['reads served by replicas', `${replicaShare}%`],
  ['gap between writes around the failover, ms', gap === undefined ? 'no write afterwards' : Math.round(gap)],
  ['broken promises', violations.length]
]
process.stdout.write('\n')
lines.forEach(([name, value]) => process.stdout.write(`${name.padEnd(46)}${value}\n`))
violations.forEach(({ check, description }) => process.stdout.write(`  ${check}: ${description}\n`))
process.exitCode = violations.length === 0 ? 0 : 1
