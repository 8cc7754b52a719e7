/** Runs measurements and writes their tables to docs/MEASUREMENTS.md. */
import { readFileSync, writeFileSync } from 'node:fs'
import { differential } from './differential.ts'
import { entryStart } from './entry-start.ts'
import { failoverGap } from './failover-gap.ts'
import { faultyRuns } from './faulty-runs.ts'
import { idleConnections } from './idle-connections.ts'
import { overload } from './overload.ts'
import { replicaShare } from './replica-share.ts'
import { throughput } from './throughput.ts'
import type { Measurement, Row } from './types.ts'

const PAGE = new URL('../docs/MEASUREMENTS.md', import.meta.url)
const MEASUREMENTS: Record<string, Measurement> = {
  throughput,
  'replica-share': replicaShare,
  'failover-gap': failoverGap,
  overload,
  'idle-connections': idleConnections,
  differential,
  'faulty-runs': faultyRuns,
  'entry-start': entryStart
}

const wanted = process.argv.slice(2)
const names = wanted.length === 0 ? Object.keys(MEASUREMENTS) : wanted
for (const name of names) {
  const measurement = MEASUREMENTS[name]
  if (measurement === undefined) {
    process.stderr.write(`unknown measurement '${name}'; there are: ${Object.keys(MEASUREMENTS).join(', ')}\n`)
    process.exit(2)
  }
  const rows = await measurement.run()
  const section = `## ${measurement.title}\n\n${measurement.description}\n\n${formatTable(rows)}\n`
  process.stdout.write(`${section}\n`)
  writeSection(name, section)
}

/** Replaces the section between its markers, or appends it when the markers are missing. */
function writeSection (name: string, section: string): void {
  const begin = `<!-- begin ${name} -->`
  const end = `<!-- end ${name} -->`
  const page = readFileSync(PAGE, 'utf8')
  const from = page.indexOf(begin)
  const to = page.indexOf(end)
  const block = `${begin}\n${section}${end}`
  const changed = from < 0 ? `${page}\n${block}\n` : page.slice(0, from) + block + page.slice(to + end.length)
  writeFileSync(PAGE, changed)
}

function formatTable (rows: Row[]): string {
  const columns = Object.keys(rows[0] ?? {})
  const line = (cells: Array<string | number>): string => `| ${cells.join(' | ')} |`
  return [line(columns), line(columns.map(() => '---')), ...rows.map((row) => line(columns.map((name) => row[name]!)))]
    .join('\n')
}
