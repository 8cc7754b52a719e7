/**
 * The heap of an entry process whose callers send more than it can hold. Guards against requests that wait, parts of
 * requests, pipelined requests and keys that are kept until the runtime ends the process.
 */
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { pause } from '../../src/core/time/deadline.ts'
import { connectPacedCaller, type PacedCaller } from '../fixtures/entry-processes/paced-caller.ts'
import { LONG_DATABASE, startSingleHost, type SingleHost } from '../fixtures/entry-processes/single-host.ts'

const HEAP_MEGABYTES = 64
const STATEMENT_MS = 400
const LARGE_BYTES = 900_000

const closers: Array<() => void> = []

async function setUp (): Promise<SingleHost> {
  const host = await startSingleHost({
    graceSeconds: 3, largeBytes: 0, heapMegabytes: HEAP_MEGABYTES, statementMs: STATEMENT_MS
  })
  closers.push(host.close)
  return host
}

async function connect (
  host: SingleHost, count: number, database = 'money', key?: string
): Promise<PacedCaller[]> {
  const callers = await Promise.all(Array.from({ length: count }, async () =>
    await connectPacedCaller(host.endpoint, database, key)))
  closers.push(...callers.map(({ close }) => close))
  return callers
}

/** Returns the outcome of a usual request of another caller, within two seconds. */
async function outcomeOfSmall (host: SingleHost): Promise<string> {
  const [caller] = await connect(host, 1)
  caller!.send('READ t1')
  await Promise.race([caller!.untilAnswers(1), pause(2000)])
  return caller!.answers[0]?.outcome ?? 'no answer'
}

describe('the memory of requests', () => {
  afterEach(() => closers.splice(0).reverse().forEach((close) => close()))

  it('refuses large requests that do not fit at once, and serves the others', async () => {
    const host = await setUp()
    const callers = await connect(host, 80)
    const startedAt = performance.now()
    const refusedMs: number[] = []
    await Promise.all(callers.map(async (caller) => {
      caller.send(`READ ${'x'.repeat(LARGE_BYTES)}`)
      await caller.untilAnswers(1)
      caller.answers[0]?.outcome === 'BUSY' && refusedMs.push(performance.now() - startedAt)
    }))
    const answers = callers.flatMap((caller) => caller.answers)
    expect(answers.length).toEqual(80)
    expect([...new Set(answers.map(({ outcome }) => outcome))].sort()).toEqual(['BUSY', 'DONE'])
    const refusal = answers.find(({ message }) => message.startsWith('the request'))!.message
    expect(/^the request takes \d+ bytes, .* of \d+ bytes$/.test(refusal)).toEqual(true)
    expect(await outcomeOfSmall(host)).toEqual('DONE')
  })

  it('serves usual requests while others have sent large parts of theirs', async () => {
    const host = await setUp()
    const callers = await connect(host, 100)
    callers.forEach((caller) => caller.sendPart(`READ ${'x'.repeat(LARGE_BYTES)}`))
    await pause(1000)
    expect(await outcomeOfSmall(host)).toEqual('DONE')
  })

  it('serves usual requests while others pipeline thousands', async () => {
    const host = await setUp()
    const callers = await connect(host, 60)
    callers.forEach((caller) => caller.send(...Array.from({ length: 3000 }, () => 'READ t')))
    await pause(1000)
    expect(['DONE', 'BUSY']).toInclude(await outcomeOfSmall(host))
    const answered = (): number => callers.reduce((sum, { answers }) => sum + answers.length, 0)
    const before = answered()
    await pause(1000)
    expect(answered() > before).toEqual(true)
  })

  it('keeps no key of a session', async () => {
    const host = await setUp()
    await connect(host, 100, LONG_DATABASE, 'k'.repeat(LARGE_BYTES))
    expect(await outcomeOfSmall(host)).toEqual('DONE')
  })
})
