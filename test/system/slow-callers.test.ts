/** Planned stops of a host whose callers read slowly, with real processes. */
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { pause } from '../../src/core/time/deadline.ts'
import { connectPacedCaller, type PacedAnswer, type PacedCaller } from '../fixtures/entry-processes/paced-caller.ts'
import { startSingleHost, type SingleHost } from '../fixtures/entry-processes/single-host.ts'

const GRACE_SECONDS = 3
const LARGE_BYTES = 16_000_000

const closers: Array<() => void> = []

async function setUp (): Promise<{ host: SingleHost, caller: PacedCaller }> {
  const host = await startSingleHost({ graceSeconds: GRACE_SECONDS, largeBytes: LARGE_BYTES })
  const caller = await connectPacedCaller(host.endpoint, 'money')
  closers.push(caller.close, host.close)
  return { host, caller }
}

/** Waits until the host has ended, and returns the answers that its caller has read whole. */
async function answersAtEnd (
  { host, caller }: { host: SingleHost, caller: PacedCaller }, count: number
): Promise<PacedAnswer[]> {
  await host.process.ended
  caller.pauseMs = 0
  await caller.untilAnswers(count)
  return caller.answers
}

describe('a planned stop with callers that read slowly', () => {
  afterEach(() => closers.splice(0).forEach((close) => close()))

  // Guards against a refusal that promises that a read has not run although it has.
  it('refuses no read as not run that an upstream has run', async () => {
    const { host, caller } = await setUp()
    caller.pauseMs = 10
    caller.send('READ large', 'READ large', 'READ large')
    await pause(100)
    host.process.signal('SIGTERM')
    const answers = await answersAtEnd({ host, caller }, 3)
    const refused = answers.map(({ outcome }, index) => outcome === 'BUSY' ? index + 1 : 0)
    expect(refused.filter((number) => host.record.runs.has(`paced-${number}`))).toEqual([])
  })
})
