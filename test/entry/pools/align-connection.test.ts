/** Guards against connections that keep the values and statements of the sessions that used them. */
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { fingerprintOf } from '../../../src/core/memory/fingerprint.ts'
import { applySessionValues, ensurePrepared, mismatchCost } from '../../../src/entry/pools/align-connection.ts'
import type { ConnectionLease } from '../../../src/entry/pools/types.ts'
import type { UpstreamCommand } from '../../../src/entry/ports/index.ts'
import { decodeValues } from '../../../src/entry/requests/forwarded-steps.ts'

const LONG = 'q'.repeat(10_000)

function setUp () {
  const sent: UpstreamCommand[] = []
  const run = async (command: UpstreamCommand) => {
    sent.push(command)
    return { rows: [], state: 'idle' }
  }
  const lease = { connection: { run }, values: new Map(), prepared: new Map() } as unknown as ConnectionLease
  return { lease, sent }
}

const preparedOf = (shape: string) => ({ access: 'read', shape, fingerprint: fingerprintOf(shape) }) as const

describe('a connection that is prepared for a session', () => {
  it('keeps no long value or statement', async () => {
    const { lease, sent } = setUp()
    await applySessionValues(lease, decodeValues([['zone', LONG], [LONG, 'value']]))
    await ensurePrepared(lease, preparedOf(LONG))
    expect(sent.map(({ type }) => type)).toEqual(['set', 'set', 'prepare'])
    const kept = [...lease.values, ...lease.prepared].flat()
    expect(Math.max(...kept.map(({ length }) => length)) < 100).toEqual(true)
  })

  it('sets what differs only, also between a long value and its fingerprint', async () => {
    const { lease, sent } = setUp()
    const values = decodeValues([['zone', LONG]])
    await applySessionValues(lease, values)
    await applySessionValues(lease, decodeValues([['zone', LONG]]))
    expect([sent.length, mismatchCost(lease.values, values)]).toEqual([1, 0])
    await applySessionValues(lease, decodeValues([['zone', fingerprintOf(LONG)]]))
    expect(sent.at(-1)).toEqual({ type: 'set', name: 'zone', value: fingerprintOf(LONG) })
  })

  it('prepares a statement once, and another one for each access and shape', async () => {
    const { lease, sent } = setUp()
    const names = []
    for (const prepared of [
      preparedOf(LONG), preparedOf(LONG), preparedOf(`${LONG}q`), { ...preparedOf(LONG), access: 'write' } as const
    ]) {
      names.push(await ensurePrepared(lease, prepared))
    }
    expect(names).toEqual(['w1', 'w1', 'w2', 'w3'])
    expect(sent.length).toEqual(3)
  })
})
