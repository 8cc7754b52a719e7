/** Asynchronous replication of a stand-in upstream: applies the records of its primary after a configured lag. */
import type { Statement } from '../../mysql/types.ts'
import { openDatabase, type Database } from './database.ts'
import type { ReplicationLog } from './replication-log.ts'

/** Retry interval of a follower whose primary is unreachable, in milliseconds. */
const RECONNECT_MS = 5
/** Retry interval for a snapshot while a transaction is open on the primary, in milliseconds. */
const SNAPSHOT_RETRY_MS = 1

/** The primary's log and snapshot; `none` without a primary to follow, `unreachable` while it cannot be reached. */
export type ReplicationSource = 'none' | 'unreachable' | {
  log: ReplicationLog
  /** Returns the primary's serialized database, or undefined while a transaction is open there. */
  snapshot: () => Uint8Array | undefined
}

/** Accessors and callbacks of the upstream that replicates. */
interface ReplicationOptions {
  log: ReplicationLog
  lagMs: () => number
  isPrimary: () => boolean
  findSource: () => ReplicationSource
  database: () => Database
  replaceDatabase: (database: Database) => void
  /** Runs a function with exclusive access to the database. */
  exclusively: <Result>(work: () => Promise<Result>) => Promise<Result>
  onChange: () => void
  /** Called with the number of local records that were discarded because they diverged from the primary's log. */
  onDiscarded: (records: number) => void
}

/** Applies the primary's records until it is closed. */
export class Replication {
  private readonly options: ReplicationOptions
  private timer: NodeJS.Timeout | undefined
  private applying = false
  private closed = false

  constructor (options: ReplicationOptions) {
    this.options = options
  }

  /**
   * Schedules the next application of records, unless one is already scheduled.
   *
   * @param delayMs - delay, in milliseconds
   */
  schedule (delayMs: number): void {
    if (this.timer !== undefined || this.closed) {
      return
    }
    this.timer = setTimeout(() => {
      this.timer = undefined
      void this.apply()
    }, delayMs)
  }

  /** Reschedules the next application of records to run immediately. */
  restart (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    this.schedule(0)
  }

  /** Cancels the scheduled application and prevents further ones. */
  close (): void {
    this.closed = true
    clearTimeout(this.timer)
  }

  private async apply (): Promise<void> {
    if (this.applying || this.options.isPrimary() || this.closed) {
      return
    }
    this.applying = true
    try {
      const waitMs = await this.options.exclusively(async () => await this.applyArrived())
      if (waitMs !== undefined) {
        this.schedule(waitMs)
      }
    } finally {
      this.applying = false
    }
  }

  /** Returns the delay until the next attempt, in milliseconds, or undefined to wait for the next change. */
  private async applyArrived (): Promise<number | undefined> {
    const source = this.options.findSource()
    if (source === 'none') {
      return undefined
    }
    if (source === 'unreachable') {
      return RECONNECT_MS
    }
    return source.log.continues(this.options.log.end)
      ? await this.applyRecords(source)
      : await this.loadSnapshot(source)
  }

  private async applyRecords (source: Exclude<ReplicationSource, string>): Promise<number | undefined> {
    const { log, lagMs, onChange } = this.options
    const database = this.options.database()
    database.setReadOnly(false)
    try {
      while (log.end.position < source.log.end.position) {
        const record = source.log.after(log.end.position)
        if (record === undefined) {
          return await this.loadSnapshot(source)
        }
        const dueInMs = record.writtenAt + lagMs() - performance.now()
        if (dueInMs > 0) {
          return Math.max(1, dueInMs)
        }
        applyRecord(database, record.statements)
        log.take(record)
      }
    } finally {
      this.options.database().setReadOnly(true)
      onChange()
    }
    return undefined
  }

  private async loadSnapshot (source: Exclude<ReplicationSource, string>): Promise<number> {
    const { log, onChange, onDiscarded, replaceDatabase } = this.options
    const content = source.snapshot()
    if (content === undefined) {
      return SNAPSHOT_RETRY_MS
    }
    onDiscarded(Math.max(0, log.end.position - source.log.end.position))
    const previous = this.options.database()
    log.copyFrom(source.log)
    const database = await openDatabase(content)
    replaceDatabase(database)
    database.setReadOnly(true)
    previous.close()
    onChange()
    return 0
  }
}

function applyRecord (database: Database, statements: Statement[]): void {
  if (statements.length === 1) {
    database.run(statements[0]!)
    return
  }
  database.run({ sql: 'BEGIN' })
  statements.forEach((statement) => database.run(statement))
  database.run({ sql: 'COMMIT' })
}
