import { describe, it } from 'node:test'
import { expect } from 'earl'
import { createFrameSocket, decodeFrame, encodeFrame } from './frame-socket.ts'
import { expectGolden } from './golden.ts'
import { FAILURES, HANDSHAKE, MESSAGES } from './message-examples.ts'

/** Field names that frames encode as numbers, in the order of their numbers. */
const NAMES = [
  'id', 'type', 'body', 'failure', 'verdict', 'entry', 'details', 'leftMs', 'inTimeMs', 'values', 'step', 'upstream',
  'priority', 'epoch', 'after', 'begin', 'transaction', 'access', 'text', 'prepared', 'shape', 'parameters', 'begun',
  'answer', 'lost', 'reason', 'load', 'leaving', 'rows', 'signature', 'kind', 'message', 'state', 'position', 'term',
  'costMs', 'ranMs', 'version', 'digest', 'ageMs', 'group', 'proofs'
]

/** Converts a value to JSON, with bytes and undefined as text. */
function show (value: unknown): unknown {
  if (value === undefined) {
    return 'undefined'
  }
  if (value instanceof Uint8Array) {
    return `bytes ${Buffer.from(value).toString('hex')}`
  }
  if (Array.isArray(value)) {
    return value.map(show)
  }
  return typeof value === 'object' && value !== null
    ? Object.fromEntries(Object.entries(value).map(([name, part]) => [name, show(part)]))
    : value
}

async function goldenOf (values: unknown[]): Promise<unknown[]> {
  const frames = await Promise.all(values.map(async (value) => await encodeFrame(value)))
  return frames.map((frame) => ({ frame, value: show(decodeFrame(frame)) }))
}

describe('frame encoding between entry processes is unchanged', () => {
  for (const [type, { questions, answers }] of Object.entries(MESSAGES)) {
    it(`for ${type}`, async () => {
      const asked = questions.map((body, index) => ({ id: index + 1, type, body }))
      const answered = answers.map((body, index) => ({ body, id: index + 1 }))
      expectGolden(`frames-${type}`, { questions: await goldenOf(asked), answers: await goldenOf(answered) })
    })
  }

  it('for failures and the handshake', async () => {
    const failures = FAILURES.map((failure, index) => ({ failure, id: 1000 * index + 23 }))
    expectGolden('frames-handshake', { failures: await goldenOf(failures), handshake: await goldenOf(HANDSHAKE) })
  })

  it('for every field name that has a number', async () => {
    const frames = await Promise.all(NAMES.map(async (name) => await encodeFrame({ [name]: 0 })))
    const expected = NAMES.map((_name, index) => {
      const number = index + 1
      const key = number < 24 ? number.toString(16).padStart(2, '0') : `18${number.toString(16)}`
      return Buffer.from(`b90001${key}00`, 'hex')
    }).map((body) => body.length.toString(16).padStart(8, '0') + body.toString('hex'))
    expect(frames).toEqual(expected)
    expect(frames.map(decodeFrame)).toEqual(NAMES.map((name) => ({ [name]: 0 })))
  })

  it('for values of every type', async () => {
    expectGolden('frames-values', await goldenOf([
      0, 23, 24, 255, 65_536, 4_294_967_296, -1, -300, 1.5, -0.1, 1e300, true, false, null, '', 'ä€𝄞', 'x'.repeat(40),
      [], [1, [2]], {}, { unnamed: 1, id: 2 }, { rows: [{ key: 'k', value: 'v', version: 1 }] }, undefined
    ]))
  })
})

describe('frame decoder', () => {
  it('accepts split and concatenated frames', async () => {
    const hex = await encodeFrame({ id: 1, type: 'neighbour', body: {} })
    const { frames, arrive, read } = createFrameSocket()
    frames.trust()
    arrive(hex.slice(0, 6))
    arrive(hex.slice(6) + hex + hex.slice(0, 12))
    expect(read.length).toEqual(2)
    arrive(hex.slice(12))
    expect(read).toEqual(Array.from({ length: 3 }, () => ({ id: 1, type: 'neighbour', body: {} })))
  })

  it('limits frames to 1024 bytes before the handshake and 64 MiB after it', () => {
    const isRefused = (lengthHex: string, trusted: boolean): boolean => {
      const { frames, arrive, socket } = createFrameSocket()
      if (trusted) {
        frames.trust()
      }
      arrive(lengthHex)
      return socket.destroyed
    }
    expect(['00000400', '00000401'].map((length) => isRefused(length, false))).toEqual([false, true])
    expect(['04000000', '04000001'].map((length) => isRefused(length, true))).toEqual([false, true])
  })
})
