/** Replication log of a stand-in upstream. */
import { LOG_START, type LogPosition } from '../../positions/position.ts'
import type { Statement } from '../../mysql/types.ts'

/** A committed change; a record without statements marks the start of a term. */
interface LogRecord extends LogPosition {
  statements: Statement[]
  /** Time of the write, in milliseconds of the monotonic clock. */
  writtenAt: number
}

/** Number of retained records; a follower that lags further behind needs a snapshot. */
const KEPT_RECORDS = 5000

/** Holds the start position of each term and the latest records. */
export class ReplicationLog {
  private termStarts: LogPosition[] = []
  private records: LogRecord[] = []
  private last: LogPosition = LOG_START

  /** Position of the last record. */
  get end (): LogPosition {
    return this.last
  }

  /**
   * Creates a record at the next position and appends it.
   *
   * @param term - term of the record
   * @param statements - statements that the record replays
   * @returns the record
   */
  append (term: number, statements: Statement[]): LogRecord {
    const record = { term, position: this.last.position + 1, statements, writtenAt: performance.now() }
    this.take(record)
    return record
  }

  /**
   * Appends a record that was copied from another log.
   *
   * @param record - the record that follows the end of this log
   */
  take (record: LogRecord): void {
    if (record.term !== this.last.term) {
      this.termStarts.push({ term: record.term, position: record.position })
    }
    this.last = { term: record.term, position: record.position }
    this.records.push(record)
    if (this.records.length > KEPT_RECORDS * 2) {
      this.records = this.records.slice(-KEPT_RECORDS)
    }
  }

  /**
   * Returns whether another log is a prefix of this one.
   *
   * @param end - last position of the other log
   * @returns whether this log contains that position with the same term
   */
  continues (end: LogPosition): boolean {
    return end.position === 0 || (end.position <= this.last.position && this.termAt(end.position) === end.term)
  }

  /**
   * Returns the record after a position.
   *
   * @param position - the position
   * @returns the record, or undefined when it does not exist or is no longer retained
   */
  after (position: number): LogRecord | undefined {
    const first = this.records[0]
    return first === undefined ? undefined : this.records[position + 1 - first.position]
  }

  /** Replaces the content of this log by a copy of another one. */
  copyFrom (other: ReplicationLog): void {
    this.termStarts = [...other.termStarts]
    this.records = [...other.records]
    this.last = other.last
  }

  private termAt (position: number): number {
    return this.termStarts.findLast((start) => start.position <= position)?.term ?? 0
  }
}
