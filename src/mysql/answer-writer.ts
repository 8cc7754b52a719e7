/** Writes answers to a client as MySQL packets. */
import { COLUMN_TYPE } from './consts.ts'
import type { RowPacing } from './paced-rows.ts'
import type { Answer, Cell, Column, DoneAnswer, RowsAnswer } from './types.ts'
import type { ServerConnection } from './server-connection.ts'

const HEADER_BYTES = 4
const NULL_CELL = Buffer.from([0xfb])
const INTEGER_TYPES = new Set<number>([
  COLUMN_TYPE.tiny, COLUMN_TYPE.short, COLUMN_TYPE.long, COLUMN_TYPE.longLong, COLUMN_TYPE.int24, COLUMN_TYPE.year
])
const FLOAT_TYPES = new Set<number>([COLUMN_TYPE.float, COLUMN_TYPE.double])
/** Column types from this code on are length-encoded in binary rows, too. */
const FIRST_LENGTH_ENCODED_TYPE = 245

/** A packet with an encoded body, in the form that mysql2 writes. */
class EncodedPacket {
  readonly buffer: Buffer

  constructor (parts: Buffer[]) {
    this.buffer = Buffer.concat([Buffer.alloc(HEADER_BYTES), ...parts])
  }

  length (): number {
    return this.buffer.length - HEADER_BYTES
  }

  writeHeader (sequenceId: number): void {
    this.buffer.writeUIntLE(this.length(), 0, 3)
    this.buffer.writeUInt8(sequenceId, 3)
  }
}

/** Writes the answer to a statement that has no rows. */
export function writeDone (connection: ServerConnection, { affectedRows, insertId }: DoneAnswer): void {
  connection.writeOk({ affectedRows, insertId })
}

/** Options of {@link writeAnswer}. */
interface AnswerOptions {
  /** Whether to use the binary row format, as for prepared statements. */
  binary: boolean
  pacing: Pick<RowPacing, 'write'>
}

/**
 * Writes the answer to a statement.
 *
 * @param connection - the client's connection
 * @param answer - the answer
 * @param options - the row format and the pacing of the rows
 */
export async function writeAnswer (
  connection: ServerConnection, answer: Answer, options: AnswerOptions
): Promise<void> {
  if (answer.type === 'done') {
    writeDone(connection, answer)
  } else {
    await writeRows(connection, answer, options)
  }
}

/**
 * Writes the answer to a prepare command.
 *
 * @param parameters - number of the statement's placeholders
 */
export function writePrepared (connection: ServerConnection, statementId: number, parameters: number): void {
  const header = Buffer.alloc(12)
  header.writeUInt32LE(statementId, 1)
  header.writeUInt16LE(0, 5)
  header.writeUInt16LE(parameters, 7)
  connection.stream.cork()
  connection.writePacket(new EncodedPacket([header]))
  for (let index = 0; index < parameters; index++) {
    connection.writePacket(new EncodedPacket([encodeColumn(textColumn('?'))]))
  }
  if (parameters > 0) {
    connection.writeEof()
  }
  connection.stream.uncork()
}

/** Creates the definition of a text column. */
export function textColumn (name: string): Column {
  return { name, type: COLUMN_TYPE.varString, flags: 0, characterSet: 45, columnLength: 65535, decimals: 0 }
}

async function writeRows (
  connection: ServerConnection, answer: RowsAnswer, { binary, pacing }: AnswerOptions
): Promise<void> {
  const columns = binary ? answer.columns.map(toBinaryColumn) : answer.columns
  const encodeRow = binary ? encodeBinaryRow : encodeTextRow
  await pacing.write({
    writeHead: () => {
      connection.writePacket(new EncodedPacket([encodeLength(columns.length)]))
      columns.forEach((column) => connection.writePacket(new EncodedPacket([encodeColumn(column)])))
      connection.writeEof()
    },
    rows: answer.rows,
    writeRow: (row) => connection.writePacket(new EncodedPacket(encodeRow(row, columns))),
    writeEnd: () => connection.writeEof()
  })
}

/** Declares integers as 64-bit and dates as text, so that binary rows need only three cell encodings. */
function toBinaryColumn (column: Column): Column {
  if (INTEGER_TYPES.has(column.type)) {
    return { ...column, type: COLUMN_TYPE.longLong }
  }
  if (FLOAT_TYPES.has(column.type)) {
    return { ...column, type: COLUMN_TYPE.double }
  }
  return column.type >= FIRST_LENGTH_ENCODED_TYPE ? column : { ...column, type: COLUMN_TYPE.varString }
}

function encodeColumn (column: Column): Buffer {
  const name = encodeLengthPrefixed(Buffer.from(column.name))
  const fixed = Buffer.alloc(13)
  fixed.writeUInt8(0x0c, 0)
  fixed.writeUInt16LE(column.characterSet, 1)
  fixed.writeUInt32LE(column.columnLength, 3)
  fixed.writeUInt8(column.type, 7)
  fixed.writeUInt16LE(column.flags, 8)
  fixed.writeUInt8(column.decimals, 10)
  const empty = Buffer.from([0])
  return Buffer.concat([encodeLengthPrefixed(Buffer.from('def')), empty, empty, empty, name, name, fixed])
}

function encodeTextRow (row: Cell[]): Buffer[] {
  return row.map((cell) => cell === null ? NULL_CELL : encodeLengthPrefixed(cell))
}

function encodeBinaryRow (row: Cell[], columns: Column[]): Buffer[] {
  const nulls = Buffer.alloc((columns.length + 9) >> 3)
  const cells: Buffer[] = []
  row.forEach((cell, index) => {
    if (cell === null) {
      nulls[(index + 2) >> 3]! |= 1 << ((index + 2) & 7)
      return
    }
    cells.push(encodeBinaryCell(cell, columns[index]!.type))
  })
  return [Buffer.from([0]), nulls, ...cells]
}

function encodeBinaryCell (cell: Buffer, type: number): Buffer {
  if (type === COLUMN_TYPE.longLong) {
    const integer = Buffer.alloc(8)
    integer.writeBigInt64LE(BigInt.asIntN(64, BigInt(cell.toString())))
    return integer
  }
  if (type === COLUMN_TYPE.double) {
    const float = Buffer.alloc(8)
    float.writeDoubleLE(Number(cell.toString()))
    return float
  }
  return encodeLengthPrefixed(cell)
}

function encodeLengthPrefixed (text: Buffer): Buffer {
  return Buffer.concat([encodeLength(text.length), text])
}

function encodeLength (length: number): Buffer {
  if (length < 0xfb) {
    return Buffer.from([length])
  }
  if (length <= 0xffff) {
    return Buffer.from([0xfc, length & 0xff, length >> 8])
  }
  const long = Buffer.alloc(9)
  long.writeUInt8(0xfe, 0)
  long.writeBigUInt64LE(BigInt(length), 1)
  return long
}
