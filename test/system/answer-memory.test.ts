/**
 * The heap of an entry process whose callers read large answers, or do not read theirs. Guards against answers that are
 * held without being counted until the runtime ends the process.
 */
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { pause } from '../../src/core/time/deadline.ts'
import { connectPacedCaller, type PacedCaller } from '../fixtures/entry-processes/paced-caller.ts'
import { startSingleHost, type SingleHost } from '../fixtures/entry-processes/single-host.ts'

const HEAP_MEGABYTES = 64
const LARGE_BYTES = 4_000_000

const closers: Array<() => void> = []

async function setUp (): Promise<SingleHost> {
  const host = await startSingleHost({ graceSeconds: 3, largeBytes: LARGE_BYTES, heapMegabytes: HEAP_MEGABYTES })
  closers.push(host.close)
  return host
}

async function connect (host: SingleHost, count: number): Promise<PacedCaller[]> {
  const callers = await Promise.all(Array.from({ length: count }, async () =>
    await connectPacedCaller(host.endpoint, 'money')))
  closers.push(...callers.map(({ close }) => close))
  return callers
}

describe('the memory of answers', () => {
  afterEach(() => closers.splice(0).reverse().forEach((close) => close()))

  it('answers all sessions that read large answers at the same time', async () => {
    const host = await setUp()
    const callers = await connect(host, 30)
    for (let round = 1; round <= 4; round++) {
      callers.forEach((caller) => caller.send('READ large'))
      await Promise.all(callers.map(async (caller) => await caller.untilAnswers(round)))
    }
    const answers = callers.flatMap((caller) => caller.answers)
    expect(answers.length).toEqual(120)
    expect(answers.some(({ outcome }) => outcome === 'DONE')).toEqual(true)
  })

  it('serves others, also new statements, while callers do not read their answers', async () => {
    const host = await setUp()
    const callers = await connect(host, 40)
    callers.forEach((caller) => {
      caller.pauseMs = Infinity
      caller.send(...Array.from({ length: 10 }, () => 'READ large'))
    })
    await pause(3000)
    const [other] = await connect(host, 1)
    other!.send(`PREPARE s READ ${'q'.repeat(500_000)}`)
    await other!.untilAnswers(1)
    // The upstream may be busy with the reads of the others.
    for (let tried = 1; tried <= 20 && !other!.answers.slice(1).some(({ outcome }) => outcome === 'DONE'); tried++) {
      other!.send('EXEC s t1')
      await other!.untilAnswers(tried + 1)
      await pause(200)
    }
    expect([other!.answers[0]?.outcome, other!.answers.at(-1)?.outcome]).toEqual(['DONE', 'DONE'])
  })
})
