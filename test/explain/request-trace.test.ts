import { describe, it } from 'node:test'
import { expect } from 'earl'
import { formatFields, type LogFields } from '../../src/core/logger/index.ts'
import { parseLogLine } from '../../src/explain/parse-log.ts'
import { formatTrace, traceRequest } from '../../src/explain/request-trace.ts'

const START = Date.parse('2026-12-02T10:00:00Z')

function line (atMs: number, host: string, event: string, fields: LogFields = {}): string {
  return formatFields({ time: new Date(START + atMs).toISOString(), level: 'info', event, host, ...fields })
}

/** Clock offset of the second host, in milliseconds. */
const CLOCK_OFFSET_MS = 5000
const log = [
  line(0, 'h1', 'upstream.unreachable', { group: 'g', upstream: 'g-a', fault: 'refused', reason: 'connect ECONNREFUSED' }),
  line(300, 'h1', 'failover.started', { group: 'g', reason: 'unreachable', primary: 'g-a', epoch: 1 }),
  line(310 + CLOCK_OFFSET_MS, 'h2', 'leadership.closing', { group: 'g', epoch: 1, confirmedAgeMs: 900 }),
  line(320, 'h1', 'leadership.host-stopped', { group: 'g', epoch: 1, peer: 'h2', because: 'acknowledged', waitedMs: 8 }),
  line(400, 'h1', 'failover.started', { group: 'other', reason: 'draining', primary: 'x', epoch: 1 }),
  line(450 + CLOCK_OFFSET_MS, 'h2', 'request.failed', {
    id: 'r7', type: 'data', group: 'g', outcome: 'busy', reason: 'no primary is known; retry after 300 ms', ms: 140
  }),
  'a line of another program',
  line(20_000, 'h1', 'failover.started', { group: 'g', reason: 'draining', primary: 'g-b', epoch: 2 })
]
const entries = log.flatMap((text) => parseLogLine(text) ?? [])

describe('traceRequest', () => {
  it('parses the output of the logger after a prefix', () => {
    const entry = parseLogLine('  5.39 front-1 ' + line(0, 'h1', 'request.failed', { id: 'r', reason: 'a "b" c' }))
    expect(entry?.fields).toEqual({ id: 'r', reason: 'a "b" c' })
    expect(entry?.host).toEqual('h1')
  })

  it('includes related lines of other hosts, ordered by corrected time', () => {
    const { lines, offsets } = traceRequest(entries, 'r7')
    expect(offsets.get('h2')).toEqual(-CLOCK_OFFSET_MS)
    expect(lines.map(({ entry }) => entry.event)).toEqual([
      'upstream.unreachable', 'failover.started', 'leadership.closing', 'leadership.host-stopped', 'request.failed'
    ])
  })

  it('reports the causes and clock offsets it finds', () => {
    const text = formatTrace(traceRequest(entries, 'r7'))
    expect(text).toMatchRegex(/h1 began to replace primary g-a of the group: unreachable/)
    expect(text).toMatchRegex(/answered busy after 140 ms/)
    expect(text).toMatchRegex(/the clock of h2 was taken to be 5000 ms ahead/)
  })

  it('returns no lines for an unknown id', () => {
    expect(traceRequest(entries, 'r8').lines).toEqual([])
  })
})
