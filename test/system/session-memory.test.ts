/**
 * The heap of an entry process whose sessions keep values and prepared statements. Guards against sessions and upstream
 * connections that each keep copies of the texts until the runtime ends the process.
 */
import { afterEach, describe, it } from 'node:test'
import { expect } from 'earl'
import { connectPacedCaller, type PacedAnswer, type PacedCaller } from '../fixtures/entry-processes/paced-caller.ts'
import { startSingleHost, type SingleHost } from '../fixtures/entry-processes/single-host.ts'

const HEAP_MEGABYTES = 64

const closers: Array<() => void> = []

async function setUp (): Promise<SingleHost> {
  const host = await startSingleHost({ graceSeconds: 3, largeBytes: 0, heapMegabytes: HEAP_MEGABYTES })
  closers.push(host.close)
  return host
}

async function connectCallers (host: SingleHost, count: number): Promise<PacedCaller[]> {
  const callers = await Promise.all(Array.from({ length: count }, async () =>
    await connectPacedCaller(host.endpoint, 'money')))
  closers.push(...callers.map(({ close }) => close))
  return callers
}

/** Sends requests one after the other, and returns the answers; ends early when the connection does. */
async function ask (caller: PacedCaller, texts: string[]): Promise<PacedAnswer[]> {
  const first = caller.answers.length
  for (const [index, text] of texts.entries()) {
    caller.send(text)
    await caller.untilAnswers(first + index + 1)
  }
  return caller.answers.slice(first)
}

const textOf = (label: string, bytes: number): string => `${label} `.padEnd(bytes, 'z')
const namesOf = (count: number): string[] => Array.from({ length: count }, (_, index) => `s${index}`)
const outcomesOf = (answers: PacedAnswer[]): string[] => [...new Set(answers.map(({ outcome }) => outcome))]

describe('the memory of session values and prepared statements', () => {
  afterEach(() => closers.splice(0).reverse().forEach((close) => close()))

  it('serves all sessions that prepare the same statements', async () => {
    const host = await setUp()
    const callers = await connectCallers(host, 20)
    const answers = await Promise.all(callers.map(async (caller) => await ask(caller, namesOf(100).flatMap((name) =>
      [`PREPARE ${name} READ ${textOf(name, 20_000)}`, `EXEC ${name} x`]))))
    expect(answers.map(({ length }) => length)).toEqual(callers.map(() => 200))
    expect(outcomesOf(answers.flat())).toEqual(['DONE'])
  })

  for (const [what, count, bytes] of [['few large', 4, 1_000_000], ['many small', 250, 10_000]] as const) {
    it(`refuses ${what} statements that do not fit, and serves the sessions that have theirs`, async () => {
      const host = await setUp()
      const callers = await connectCallers(host, 16)
      const prepared = await Promise.all(callers.map(async (caller, index) => await ask(caller,
        namesOf(count).map((name) => `PREPARE ${name} READ ${textOf(`${index} ${name}`, bytes)}`))))
      expect(outcomesOf(prepared.flat()).sort()).toEqual(['DONE', 'TOOBIG'])
      const refusal = prepared.flat().find(({ outcome }) => outcome === 'TOOBIG')!.message
      expect(/^the statement 's\d+' takes \d+ bytes, .* of \d+ bytes$/.test(refusal)).toEqual(true)
      const executed = await Promise.all(callers.map(async (caller, index) => await ask(caller,
        namesOf(count).filter((_, place) => prepared[index]![place]!.outcome === 'DONE').map((name) => `EXEC ${name} x`))))
      expect(outcomesOf(executed.flat())).toEqual(['DONE'])
    })
  }

  it('has room again when statements are replaced or deallocated, and when sessions end', async () => {
    const host = await setUp()
    const names = namesOf(20)
    for (let round = 0; round < 3; round++) {
      const [caller] = await connectCallers(host, 1)
      const prepareAll = (label: string): string[] =>
        names.map((name) => `PREPARE ${name} READ ${textOf(`${round} ${label} ${name}`, 700_000)}`)
      const answers = await ask(caller!, [
        ...prepareAll('first'), ...prepareAll('replaced'), ...names.map((name) => `DEALLOC ${name}`), ...prepareAll('last')
      ])
      expect(answers.length).toEqual(80)
      expect(outcomesOf(answers)).toEqual(['DONE'])
      caller!.close()
    }
  })

  it('keeps no message alive by a value that came in it', async () => {
    const host = await setUp()
    const callers = await connectCallers(host, 10)
    const value = 'v'.repeat(40)
    const answers = await Promise.all(callers.map(async (caller) => {
      for (const name of namesOf(200)) {
        caller.send(`SET ${name.padEnd(30, 'n')} ${value}`, `READ ${textOf('t', 50_000)}`)
        await caller.untilAnswers(caller.answers.length + 2)
      }
      return caller.answers
    }))
    expect(answers.map(({ length }) => length)).toEqual(callers.map(() => 400))
    expect(outcomesOf(answers.flat())).toEqual(['DONE'])
  })
})
