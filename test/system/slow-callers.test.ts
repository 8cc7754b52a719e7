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

interface SlowCase {
  requests: string[]
  pauseMs: number
  /** When the requests are sent, in milliseconds after SIGTERM. */
  sentMs: number
  /** Outcomes that tell the truth, by request. */
  outcomes: string[][]
}

const READ_OUTCOMES = ['DONE', 'ABORTED']
const DONE = ['DONE']
const BEHIND = { requests: ['READ large', 'READ t1', 'WRITE t2 data'], outcomes: [READ_OUTCOMES, DONE, DONE] }

const CASES: SlowCase[] = [
  { requests: ['READ large'], pauseMs: 20, sentMs: -300, outcomes: [READ_OUTCOMES] },
  { requests: ['READ large'], pauseMs: 10, sentMs: 1000, outcomes: [READ_OUTCOMES] },
  { requests: ['BEGIN', 'READ large'], pauseMs: 20, sentMs: -300, outcomes: [DONE, READ_OUTCOMES] },
  { requests: ['WRITE large data'], pauseMs: 20, sentMs: 500, outcomes: [['DONE', 'INDOUBT']] },
  { ...BEHIND, pauseMs: 20, sentMs: -300 },
  { ...BEHIND, pauseMs: 10, sentMs: 500 }
]

/** Returns the outcomes that are missing or untrue. */
async function playSlowCase ({ requests, pauseMs, sentMs, outcomes }: SlowCase): Promise<string[]> {
  const { host, caller } = await setUp()
  caller.send('READ large')
  await caller.untilAnswers(1)
  caller.pauseMs = pauseMs
  const moments = [
    { atMs: Math.max(0, sentMs), act: () => caller.send(...requests) },
    { atMs: Math.max(0, -sentMs), act: () => host.process.signal('SIGTERM') }
  ]
  await Promise.all(moments.map(async ({ atMs, act }) => {
    await pause(atMs)
    act()
  }))
  const answers = (await answersAtEnd({ host, caller }, 1 + requests.length)).slice(1)
  return outcomes.flatMap((expected, index) => {
    const outcome = answers[index]?.outcome ?? 'none'
    return expected.includes(outcome) ? [] : [`${requests.join(', ')} at ${sentMs}: ${requests[index]} had ${outcome}`]
  })
}

describe('a planned stop with callers that read slowly', () => {
  afterEach(() => closers.splice(0).forEach((close) => close()))

  // Guards against large answers that are cut off, with those behind them, because only the whole answer can end them.
  it('ends every answer with a verdict that is true', async () => {
    expect((await Promise.all(CASES.map(playSlowCase))).flat()).toEqual([])
  })

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
