/**
 * Decodes the parameters of an execute command. mysql2's decoder searches the packet for the parameter types, so it
 * misreads values that look like a type; this one computes their offset from the number of placeholders.
 */
import { COLUMN_TYPE } from './consts.ts'
import type { StatementValue } from './types.ts'

const TYPE_NULL = 6
const TYPE_TIMESTAMP = 7
const TYPE_DATE = 10
const TYPE_TIME = 11
const TYPE_DATETIME = 12
const UNSIGNED_FLAG = 0x80
/** Length of statement id, cursor flags and iteration count. */
const EXECUTE_HEADER_BYTES = 9

/** Type of one parameter. */
interface ParameterType {
  code: number
  unsigned: boolean
}

/** A statement's parameter types; clients may omit them if they haven't changed since the last execution. */
export type ParameterTypes = ParameterType[]

/** Decoded parameter values and their types. */
interface DecodedExecution {
  values: StatementValue[]
  types: ParameterTypes
}

/** Reads a buffer sequentially. */
class ByteReader {
  private offset = 0
  private readonly bytes: Buffer

  constructor (bytes: Buffer) {
    this.bytes = bytes
  }

  take (length: number): Buffer {
    if (this.offset + length > this.bytes.length) {
      throw new RangeError('the execute packet ends early')
    }
    this.offset += length
    return this.bytes.subarray(this.offset - length, this.offset)
  }

  takeLengthEncoded (): Buffer {
    return this.take(this.takeLength())
  }

  private takeLength (): number {
    const first = this.take(1)[0]!
    if (first < 0xfb) {
      return first
    }
    if (first === 0xfc) {
      return this.take(2).readUInt16LE()
    }
    return first === 0xfd ? this.take(3).readUIntLE(0, 3) : Number(this.take(8).readBigUInt64LE())
  }
}

/**
 * Decodes the body of an execute command.
 *
 * @param body - the packet after the command byte
 * @param parameters - number of the statement's placeholders
 * @param knownTypes - types of the previous execution, used if the packet contains none
 * @throws RangeError if the packet is truncated or a parameter type is unsupported
 */
export function decodeExecution (body: Buffer, parameters: number, knownTypes: ParameterTypes): DecodedExecution {
  const reader = new ByteReader(body)
  reader.take(EXECUTE_HEADER_BYTES)
  if (parameters === 0) {
    return { values: [], types: [] }
  }
  const nulls = reader.take((parameters + 7) >> 3)
  const includesTypes = reader.take(1)[0] === 1
  const types = includesTypes ? readTypes(reader, parameters) : knownTypes
  if (types.length !== parameters) {
    throw new RangeError('the execute packet has no parameter types')
  }
  const values = types.map((type, index) => {
    const isNull = (nulls[index >> 3]! & (1 << (index & 7))) !== 0
    return isNull ? null : readValue(reader, type)
  })
  return { values, types }
}

function readTypes (reader: ByteReader, parameters: number): ParameterTypes {
  return Array.from({ length: parameters }, () => {
    const [code, flags] = reader.take(2)
    return { code: code!, unsigned: (flags! & UNSIGNED_FLAG) !== 0 }
  })
}

function readValue (reader: ByteReader, type: ParameterType): StatementValue {
  const read = VALUE_READERS[type.code]
  return read === undefined ? reader.takeLengthEncoded().toString('utf8') : read(reader, type.unsigned)
}

const VALUE_READERS: Record<number, (reader: ByteReader, unsigned: boolean) => StatementValue> = {
  [TYPE_NULL]: () => null,
  [COLUMN_TYPE.tiny]: (reader, unsigned) => unsigned ? reader.take(1).readUInt8() : reader.take(1).readInt8(),
  [COLUMN_TYPE.short]: (reader, unsigned) => unsigned ? reader.take(2).readUInt16LE() : reader.take(2).readInt16LE(),
  [COLUMN_TYPE.long]: (reader, unsigned) => unsigned ? reader.take(4).readUInt32LE() : reader.take(4).readInt32LE(),
  [COLUMN_TYPE.longLong]: (reader, unsigned) => toNumber(
    unsigned ? reader.take(8).readBigUInt64LE() : reader.take(8).readBigInt64LE()
  ),
  [COLUMN_TYPE.float]: (reader) => reader.take(4).readFloatLE(),
  [COLUMN_TYPE.double]: (reader) => reader.take(8).readDoubleLE(),
  [COLUMN_TYPE.blob]: (reader) => Buffer.from(reader.takeLengthEncoded()),
  [TYPE_DATE]: readDateTime,
  [TYPE_DATETIME]: readDateTime,
  [TYPE_TIMESTAMP]: readDateTime,
  [TYPE_TIME]: () => { throw new RangeError('TIME parameters are not supported; send them as text') }
}

function toNumber (value: bigint): number | bigint {
  const number = Number(value)
  return Number.isSafeInteger(number) ? number : value
}

/** Decodes dates as text, so that no time zone conversion takes place. */
function readDateTime (reader: ByteReader): string {
  const bytes = reader.take(reader.take(1)[0]!)
  const pad = (value: number, width: number): string => String(value).padStart(width, '0')
  if (bytes.length === 0) {
    return '0000-00-00 00:00:00'
  }
  const date = `${pad(bytes.readUInt16LE(0), 4)}-${pad(bytes[2]!, 2)}-${pad(bytes[3]!, 2)}`
  if (bytes.length < 7) {
    return date
  }
  const time = `${pad(bytes[4]!, 2)}:${pad(bytes[5]!, 2)}:${pad(bytes[6]!, 2)}`
  return bytes.length < 11 ? `${date} ${time}` : `${date} ${time}.${pad(bytes.readUInt32LE(7), 6)}`
}
