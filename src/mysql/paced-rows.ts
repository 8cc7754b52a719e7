/**
 * Writes the rows of a result set in pieces, each one after the operating system has taken those before it, so that the
 * set can be ended with an error after any piece, and a slow client takes little memory.
 */
import { createWriteRate, type WriteRate } from '../core/wire/write-rate.ts'
import { mayWriteOn } from '../core/wire/write-rules.ts'
import type { Refusal, ServeOptions } from './client-handler.ts'
import type { ServerConnection } from './server-connection.ts'
import type { Cell } from './types.ts'

/** Size of a piece, in bytes; a longer row is a piece of its own. */
const PIECE_BYTES = 65_536

/** A result set, and how its packets are written. */
interface RowSet {
  /** Writes what comes before the rows. */
  writeHead: () => void
  rows: Cell[][]
  writeRow: (row: Cell[]) => void
  /** Writes what comes after all rows. */
  writeEnd: () => void
}

/** Writes the rows of one client's result sets. */
export interface RowPacing {
  /** Records a command; see {@link WriteRate.recordRequest}. */
  recordRequest: WriteRate['recordRequest']
  /**
   * Writes a result set; nothing else may be written to the connection meanwhile. An error ends it in place of the rows
   * that can't be written before the process stops.
   */
  write: (set: RowSet) => Promise<void>
}

/** Returns the approximate size of a row, in bytes. */
function sizeOf (row: Cell[]): number {
  return row.reduce((bytes, cell) => bytes + (cell?.length ?? 0), 0)
}

/**
 * Waits until the operating system has taken everything that was written, or the connection is lost; only after a whole
 * piece, for which the socket reports it.
 */
async function untilTaken (stream: ServerConnection['stream']): Promise<void> {
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      stream.off('drain', finish)
      stream.off('close', finish)
      resolve()
    }
    stream.on('drain', finish)
    stream.on('close', finish)
  })
}

/**
 * Creates the pacing of a connection.
 *
 * @param connection - the connection
 * @param options - how result sets end while the process stops
 * @returns the pacing
 */
export function createRowPacing (
  connection: ServerConnection, { stopping, toRefusal }: Pick<ServeOptions, 'stopping' | 'toRefusal'>
): RowPacing {
  const { stream } = connection
  const rate = createWriteRate()
  const endEarly = (remainingBytes: number): Refusal | undefined =>
    stopping === undefined || mayWriteOn(rate.progressOf(remainingBytes), stopping.remainingMs())
      ? undefined
      : toRefusal(stopping.errorOf('ran'))
  /** Writes the next piece from a row on; returns the number and size of its rows. */
  const writePiece = (
    { rows, writeHead, writeRow, writeEnd }: RowSet, from: number
  ): { count: number, bytes: number } => {
    let [next, bytes] = [from, 0]
    stream.cork()
    from === 0 && writeHead()
    while (next < rows.length && bytes < PIECE_BYTES) {
      bytes += sizeOf(rows[next]!)
      writeRow(rows[next++]!)
    }
    next === rows.length && writeEnd()
    stream.uncork()
    return { count: next - from, bytes }
  }
  /** Waits for room; returns whether it had to. */
  const waitForRoom = async (bytes: number): Promise<boolean> => {
    if (stream.writableLength === 0) {
      rate.recordTaken(bytes)
      return false
    }
    rate.recordFull()
    // A packet that arrives meanwhile changes the number of the next packet.
    const { sequenceId } = connection
    await untilTaken(stream)
    connection.sequenceId = sequenceId
    rate.recordRoom()
    return true
  }
  return {
    recordRequest: rate.recordRequest,
    write: async (set) => {
      let remainingBytes = set.rows.reduce((total, row) => total + sizeOf(row), 0)
      let isDecisionDue = remainingBytes > PIECE_BYTES
      for (let from = 0; stream.writable;) {
        const refusal = isDecisionDue ? endEarly(remainingBytes) : undefined
        if (refusal !== undefined) {
          connection.writeError(refusal)
          return
        }
        const { count, bytes } = writePiece(set, from)
        from += count
        remainingBytes -= bytes
        if (from === set.rows.length) {
          return
        }
        isDecisionDue = await waitForRoom(bytes)
      }
    }
  }
}
