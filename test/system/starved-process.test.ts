import { after, before, describe, it } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { expect } from 'earl'
import type { Logger } from '../../src/core/logger/index.ts'
import { GROUP, purchase, readRequests, startTestDeployment, type TestDeployment } from '../fixtures/deployment.ts'

/** Duration of one stall, in milliseconds; longer than the timeout of a probe. */
const STALL_MS = 180
const STALLS = 20

/** Keeps the event loop from running, as a machine does that gives the process no processor time. */
function stall (): void {
  const until = performance.now() + STALL_MS
  while (performance.now() < until) {
    // Busy on purpose.
  }
}

describe('a process that is starved of processor time', () => {
  let deployment: TestDeployment
  const elections: string[] = []
  const logger: Logger = {
    log: (_level, event, fields) => {
      event === 'failover.started' && elections.push(String(fields?.['reason']))
    }
  }
  before(async () => { deployment = await startTestDeployment({}, { logger }) })
  after(async () => await deployment.close())

  // Guards against elections because of answers that arrived while the keeper did not run.
  it('replaces no primary while all upstreams are alive', async () => {
    const writer = await deployment.connect(0)
    const { term } = deployment.primaryOf(GROUP).upstream.status()
    elections.length = 0
    for (let count = 0; count < STALLS; count++) {
      stall()
      await nextTurn()
    }
    await purchase(writer, 'starved', 's1')
    expect(await readRequests(writer, 'starved')).toEqual(['s1'])
    expect(elections).toEqual([])
    expect(deployment.primaryOf(GROUP).upstream.status().term).toEqual(term)
  })
})
