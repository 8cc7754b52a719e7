/** Replication of a stand-in upstream: applies the records of the primary that it follows, each after a lag. */
import type { Statement } from '../../mysql/types.ts'
import { openDatabase, type Database } from './database.ts'
import type { ReplicationLog } from './replication-log.ts'

/** Time after which a follower tries again to reach its primary, in milliseconds. */
const RECONNECT_MS = 5
/** Time after which a snapshot is tried again while a transaction is open at the primary, in milliseconds. */
const SNAPSHOT_RETRY_MS = 1

/** What can be applied now: nothing, nothing until the primary is reached again, or the records of a primary. */
export type ReplicationSource = 'none' | 'unreachable' | {
  log: ReplicationLog
  /** The content of the primary's database; undefined while a transaction is open there. */
  snapshot: () => Uint8Array | undefined
}

/** The upstream whose database follows. */
interface ReplicationOptions {
  log: ReplicationLog
  lagMs: () => number
  isPrimary: () => boolean
  findSource: () => ReplicationSource
  database: () => Database
  replaceDatabase: (database: Database) => void
  /** Runs work while nobody else uses the database. */
  exclusively: <Result>(work: () => Promise<Result>) => Promise<Result>
  onChange: () => void
  /** Called when records were dropped because another primary went another way. */
  onDiscarded: (records: number) => void
}

/** Applies records until closed. */
export class Replication {
  private readonly options: ReplicationOptions
  private timer: NodeJS.Timeout | undefined
  private applying = false
  private closed = false

  constructor (options: ReplicationOptions) {
    this.options = options
  }

  /**
   * Applies what has arrived after a while, unless that is planned already.
   *
   * @param delayMs - the time, in milliseconds
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

  /** Applies what has arrived now, whatever was planned. */
  restart (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    this.schedule(0)
  }

  /** Stops applying. */
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

  /** Returns when to look again, in milliseconds, or undefined when the next change will say so. */
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
      : await this.takeSnapshot(source)
  }

  private async applyRecords (source: Exclude<ReplicationSource, string>): Promise<number | undefined> {
    const { log, lagMs, onChange } = this.options
    const database = this.options.database()
    database.setReadOnly(false)
    try {
      while (log.end.position < source.log.end.position) {
        const record = source.log.after(log.end.position)
        if (record === undefined) {
          return await this.takeSnapshot(source)
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

  private async takeSnapshot (source: Exclude<ReplicationSource, string>): Promise<number> {
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
