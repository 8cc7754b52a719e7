/** The log of one stand-in upstream. */
import { LOG_START, type LogPosition } from '../../positions/position.ts'
import type { Statement } from '../../mysql/types.ts'

/** One committed change, or the start of a term when it has no statements. */
interface LogRecord extends LogPosition {
  statements: Statement[]
  /** When the record was written, in milliseconds of the monotonic clock. */
  writtenAt: number
}

/** Records kept for followers; a follower further behind takes a snapshot. */
const KEPT_RECORDS = 5000

/** A log: where each term starts, and the newest records. */
export class ReplicationLog {
  private termStarts: LogPosition[] = []
  private records: LogRecord[] = []
  private last: LogPosition = LOG_START

  /** Where the log ends. */
  get end (): LogPosition {
    return this.last
  }

  /**
   * Appends a record at the next position.
   *
   * @param term - its term
   * @param statements - what it does
   * @returns the record
   */
  append (term: number, statements: Statement[]): LogRecord {
    const record = { term, position: this.last.position + 1, statements, writtenAt: performance.now() }
    this.take(record)
    return record
  }

  /**
   * Takes over a record of another log.
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
   * Says whether this log continues another one.
   *
   * @param end - where the other log ends
   * @returns whether it is a prefix of this one
   */
  continues (end: LogPosition): boolean {
    return end.position === 0 || (end.position <= this.last.position && this.termAt(end.position) === end.term)
  }

  /**
   * Returns the record after a position.
   *
   * @param position - the position
   * @returns the record, or undefined when there is none or it is no longer kept
   */
  after (position: number): LogRecord | undefined {
    const first = this.records[0]
    return first === undefined ? undefined : this.records[position + 1 - first.position]
  }

  /** Takes over another log whole. */
  copyFrom (other: ReplicationLog): void {
    this.termStarts = [...other.termStarts]
    this.records = [...other.records]
    this.last = other.last
  }

  private termAt (position: number): number {
    return this.termStarts.findLast((start) => start.position <= position)?.term ?? 0
  }
}
