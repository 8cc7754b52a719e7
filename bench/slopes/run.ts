/** Measures all slopes, writes the data file and a picture of each. */
import { cpus } from 'node:os'
import { mkdirSync, writeFileSync } from 'node:fs'
import { measureIdleCallers, measureStatements } from './callers.ts'
import {
  measureConfiguration, measureGroupState, measureLedger, measureMembership, measurePlacement, measureProbes
} from './control.ts'
import { fitSlope } from './fit.ts'
import { drawSlope } from './plot.ts'
import type { Point, Slope, SlopeData } from './types.ts'

const FOLDER = new URL('../../docs/capacity/', import.meta.url)
const slopes: Record<string, Slope> = {}

function add (key: string, name: string, sizeUnit: string, costUnit: string, points: Point[]): void {
  slopes[key] = fitSlope({ name, sizeUnit, costUnit }, points)
  const { perUnit, spread } = slopes[key]
  process.stdout.write(`${key}: ${perUnit} ${costUnit} per ${sizeUnit} (spread ${Math.round(spread * 100)}%)\n`)
}

const membership = measureMembership()
add('memberListBytes', 'Whole list of members', 'members', 'bytes', membership.listBytes)
add('memberMergeMs', 'Merging a whole list', 'members', 'ms', membership.mergeMs)
add('heartbeatBytes', 'Heartbeat', 'members in it', 'bytes', membership.heartbeatBytes)

const placement = measurePlacement()
add('placeMs', 'Placing one group', 'members', 'ms', placement.placeMs)

const configuration = measureConfiguration()
add('applyMs', 'Checking changed groups', 'groups', 'ms', configuration.applyMs)
add('changeBytes', 'Changed groups', 'groups', 'bytes', configuration.bytes)

add('groupStateKb', 'State of a home, no connections', 'groups', 'KB', await measureGroupState())
add('ledgerKb', 'Ledger', 'keys', 'KB', await measureLedger())

const probes = await measureProbes()
add('probeMs', 'Status questions', 'questions', 'ms of processor', probes.processor)
add('probeBytes', 'Status questions, both ways', 'questions', 'bytes', probes.bytes)

const idle = await measureIdleCallers()
add('idleCallerKb', 'Memory of idle callers', 'callers', 'KB', idle.memory)
add('idleCallerMs', 'Processor time of idle callers', 'callers', 'ms/s', idle.processor)

const statements = await measureStatements()
add('localStatementMs', 'Statements served by the caller\'s proxy', 'statements/s', 'ms/s', statements.local)
add('entryStatementMs', 'Statements passed on, at the caller\'s proxy', 'statements/s', 'ms/s', statements.entry)
add('homeStatementMs', 'Statements passed on, at the home', 'statements/s', 'ms/s', statements.home)

const { figures } = placement
const machine = `${cpus().length} cores, ${cpus()[0]?.model ?? 'unknown'}, Node.js ${process.version}`
mkdirSync(FOLDER, { recursive: true })
const data: SlopeData = { machine, slopes, figures }
writeFileSync(new URL('slopes.json', FOLDER), JSON.stringify(data, null, 2) + '\n')
for (const [key, slope] of Object.entries(slopes)) {
  writeFileSync(new URL(`${key}.svg`, FOLDER), await drawSlope(slope))
}
Object.entries(figures).forEach(([name, value]) => process.stdout.write(`${name}: ${value}\n`))
