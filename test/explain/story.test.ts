import { describe, it } from 'node:test'
import { expect } from 'earl'
import { formatFields, type LogFields } from '../../src/core/logger/index.ts'
import { parseLogLine } from '../../src/explain/parse-log.ts'
import { formatStory, tellStory } from '../../src/explain/story.ts'

const START = Date.parse('2026-12-02T10:00:00Z')

function line (atMs: number, host: string, event: string, fields: LogFields = {}): string {
  return formatFields({ time: new Date(START + atMs).toISOString(), level: 'info', event, host, ...fields })
}

/** A failover seen by two hosts, of which the second one's clock is 5 s ahead. */
const AHEAD = 5000
const log = [
  line(0, 'h1', 'upstream.unreachable', { group: 'g', upstream: 'g-a', fault: 'refused', reason: 'connect ECONNREFUSED' }),
  line(300, 'h1', 'failover.started', { group: 'g', reason: 'unreachable', primary: 'g-a', epoch: 1 }),
  line(310 + AHEAD, 'h2', 'leadership.closing', { group: 'g', epoch: 1, confirmedAgeMs: 900 }),
  line(320, 'h1', 'leadership.host-closed', { group: 'g', epoch: 1, peer: 'h2', because: 'acknowledged', waitedMs: 8 }),
  line(400, 'h1', 'failover.started', { group: 'other', reason: 'draining', primary: 'x', epoch: 1 }),
  line(450 + AHEAD, 'h2', 'request.failed', {
    id: 'r7', type: 'data', group: 'g', outcome: 'busy', reason: 'no primary is known; retry after 300 ms', ms: 140
  }),
  'a line of another program',
  line(20_000, 'h1', 'failover.started', { group: 'g', reason: 'draining', primary: 'g-b', epoch: 2 })
]
const entries = log.flatMap((text) => parseLogLine(text) ?? [])

describe('the story of a request', () => {
  it('reads back what the logger writes, also after a prefix', () => {
    const entry = parseLogLine('  5.39 front-1 ' + line(0, 'h1', 'request.failed', { id: 'r', reason: 'a "b" c' }))
    expect(entry?.fields).toEqual({ id: 'r', reason: 'a "b" c' })
    expect(entry?.host).toEqual('h1')
  })

  it('joins the lines of other hosts that concern its group, in the order of cause', () => {
    const { lines, offsets } = tellStory(entries, 'r7')
    expect(offsets.get('h2')).toEqual(-AHEAD)
    expect(lines.map(({ entry }) => entry.event)).toEqual([
      'upstream.unreachable', 'failover.started', 'leadership.closing', 'leadership.host-closed', 'request.failed'
    ])
  })

  it('says what the lines show', () => {
    const text = formatStory(tellStory(entries, 'r7'))
    expect(text).toMatchRegex(/h1 began to replace primary g-a of the group: unreachable/)
    expect(text).toMatchRegex(/answered busy after 140 ms/)
    expect(text).toMatchRegex(/the clock of h2 was taken to be 5000 ms ahead/)
  })

  it('knows nothing of an id that no line carries', () => {
    expect(tellStory(entries, 'r8').lines).toEqual([])
  })
})
