import { describe, it } from 'node:test'
import { expect } from 'earl'
import { decodeExecution } from '../../src/mysql/execute-decoder.ts'

/** Builds the body of an execute command with one parameter. */
function bodyOf (type: number, value: Buffer): Buffer {
  const header = Buffer.alloc(9)
  return Buffer.concat([header, Buffer.from([0, 1, type, 0]), value])
}

describe('decodeExecution', () => {
  it('decodes a text that contains the bytes of a parameter type', () => {
    const text = Buffer.from([0xfd, 0x00, 0x01, 0xfd, 0x00])
    const { values } = decodeExecution(bodyOf(0xfc, Buffer.concat([Buffer.from([text.length]), text])), 1, [])
    expect(values).toEqual([text])
  })

  it('decodes 64-bit integers beyond the safe range without loss', () => {
    const value = Buffer.alloc(8)
    value.writeBigInt64LE(9007199254740993n)
    expect(decodeExecution(bodyOf(8, value), 1, []).values).toEqual([9007199254740993n])
  })

  it('uses the types of the previous execution if the client omits them', () => {
    const first = decodeExecution(bodyOf(3, Buffer.from([7, 0, 0, 0])), 1, [])
    const again = Buffer.concat([Buffer.alloc(9), Buffer.from([0, 0]), Buffer.from([8, 0, 0, 0])])
    expect(decodeExecution(again, 1, first.types).values).toEqual([8])
  })

  it('rejects a truncated packet', () => {
    expect(() => decodeExecution(bodyOf(8, Buffer.alloc(3)), 1, [])).toThrow('ends early')
  })
})
