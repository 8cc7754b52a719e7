/** A stand-in database server: terms, fencing, roles and asynchronous replication. */
import { randomUUID } from 'node:crypto'
import { silentLogger, type Logger } from '../../core/logger/index.ts'
import type { Answer, Statement } from '../../mysql/types.ts'
import type { UpstreamStatus } from '../../mysql-proxy/upstreams/status.ts'
import { ChangeSignal } from './change-signal.ts'
import { isReadStatement, openDatabase, type Database } from './database.ts'
import type { UpstreamTransaction } from './upstream-transaction.ts'
import { ExclusiveAccess } from './exclusive-access.ts'
import { ReplicationLog } from './replication-log.ts'
import { LEDGER_SCHEMA } from './ledger-schema.ts'

/** Answers whether two upstreams can reach each other. */
type Reachable = (from: string, to: string) => boolean

/** Options of {@link createUpstream}. */
interface UpstreamOptions {
  name: string
  /** Time between a change on the primary and its arrival here, in milliseconds. */
  lagMs: number
  /** SQL run once before the upstream serves. */
  schema: string[]
  /** Finds another upstream of the group. */
  findPeer: (name: string) => Upstream | undefined
  reachable: Reachable
  logger?: Logger
}

/** Time after which a follower tries again to reach its primary, in milliseconds. */
const RECONNECT_MS = 5

/**
 * A database server of a group. Its state outlives crashes, as a disk would make it.
 */
export class Upstream {
  readonly name: string
  readonly log = new ReplicationLog()
  readonly incarnation = randomUUID()
  /** Whether it wants no new work. */
  leaving = false
  /** Whether the process is frozen: nothing is applied and nothing answered. */
  paused = false
  /** Whether the process is down. */
  crashed = false
  /** Statements of clients executed so far, procedures not counted. */
  statementsServed = 0
  /** Records thrown away because another primary went another way. */
  discardedRecords = 0

  private lag: number
  private term = 0
  private fencedTerm = 0
  private role: 'primary' | 'replica' = 'replica'
  private primary = ''
  private database: Database
  private readonly options: UpstreamOptions
  private readonly logger: Logger
  private readonly followers = new Set<Upstream>()
  private readonly changes = new ChangeSignal()
  private pumpTimer: NodeJS.Timeout | undefined
  private pumping = false
  private closed = false
  private readonly access = new ExclusiveAccess()
  /** Whether a client's transaction is open on the database. */
  private inTransaction = false

  constructor (options: UpstreamOptions, database: Database) {
    this.options = options
    this.name = options.name
    this.lag = options.lagMs
    this.database = database
    this.logger = options.logger ?? silentLogger
    options.schema.concat(LEDGER_SCHEMA).forEach((sql) => database.run({ sql }))
    database.setReadOnly(true)
  }

  /** Time between a change on the primary and its arrival here, in milliseconds. */
  get lagMs (): number {
    return this.lag
  }

  set lagMs (lagMs: number) {
    this.lag = lagMs
    this.resume()
  }

  /** What the status procedure shows. */
  status (): UpstreamStatus {
    return {
      term: this.term,
      fencedTerm: this.fencedTerm,
      logTerm: this.log.end.term,
      position: this.log.end.position,
      role: this.role,
      primary: this.primary,
      incarnation: this.incarnation,
      leaving: this.leaving
    }
  }

  /**
   * Fences: from now on this upstream neither takes writes nor follows below a term.
   *
   * @param term - the term, accepted only above every term taken before
   * @returns whether it was accepted
   */
  fence (term: number): boolean {
    if (term <= this.fencedTerm || term <= this.term) {
      return false
    }
    this.fencedTerm = term
    this.stopLeading()
    this.changes.notify()
    return true
  }

  /**
   * Makes this upstream the primary of a term it has been fenced with.
   *
   * @param term - the term
   * @returns whether it was accepted
   */
  promote (term: number): boolean {
    if (term !== this.fencedTerm || term <= this.term) {
      return false
    }
    this.stopFollowing()
    this.term = term
    this.role = 'primary'
    this.primary = this.name
    this.database.setReadOnly(false)
    this.append([])
    return true
  }

  /**
   * Follows the primary of a term.
   *
   * @param primary - its name
   * @param term - its term
   * @returns whether it was accepted
   */
  follow (primary: string, term: number): boolean {
    if (term < this.fencedTerm || term < this.term || (term === this.term && this.role === 'primary')) {
      return false
    }
    if (term === this.term && this.primary === primary) {
      return true
    }
    this.stopLeading()
    this.stopFollowing()
    this.term = term
    this.fencedTerm = term
    this.role = 'replica'
    this.primary = primary
    this.options.findPeer(primary)?.followers.add(this)
    this.changes.notify()
    this.schedulePump(0)
    return true
  }

  /**
   * Runs a statement outside a transaction and logs what it changed.
   *
   * @param statement - the statement
   * @returns its answer
   */
  async run (statement: Statement): Promise<Answer> {
    return await this.exclusively(async () => {
      const answer = this.database.run(statement)
      if (!isReadStatement(statement.sql)) {
        this.append([statement])
      }
      return answer
    })
  }

  /**
   * Opens a transaction, which has the database to itself until it ends.
   *
   * @returns the transaction
   */
  async begin (): Promise<UpstreamTransaction> {
    const release = await this.acquire()
    const changes: Statement[] = []
    const term = this.term
    let open = true
    this.database.run({ sql: 'BEGIN' })
    this.inTransaction = true
    const end = (sql: string): void => {
      open = false
      this.inTransaction = false
      try {
        this.database.run({ sql })
      } finally {
        release()
      }
    }
    return {
      run: (statement) => {
        const answer = this.database.run(statement)
        if (!isReadStatement(statement.sql)) {
          changes.push(statement)
        }
        return answer
      },
      commit: () => {
        if (changes.length > 0 && (this.role !== 'primary' || this.term !== term)) {
          end('ROLLBACK')
          throw new Error('the upstream is read-only: it is no longer the primary')
        }
        end('COMMIT')
        if (changes.length > 0) {
          this.append(changes)
        }
        return this.log.end
      },
      rollback: () => {
        if (open) {
          end('ROLLBACK')
        }
      }
    }
  }

  /**
   * Waits for the next change of log, term or role.
   *
   * @param timeoutMs - greatest wait, in milliseconds
   */
  async waitForChange (timeoutMs: number): Promise<void> {
    await this.changes.wait(timeoutMs)
  }

  /** Applies what has arrived; called again when a fault ends. */
  resume (): void {
    clearTimeout(this.pumpTimer)
    this.pumpTimer = undefined
    this.schedulePump(0)
  }

  /** Frees the database. */
  close (): void {
    this.closed = true
    clearTimeout(this.pumpTimer)
    void this.exclusively(async () => this.database.close())
  }

  private append (statements: Statement[]): void {
    this.log.append(this.term, statements)
    this.changes.notify()
    this.followers.forEach((follower) => follower.schedulePump(follower.lagMs))
  }

  private stopLeading (): void {
    this.role = 'replica'
    if (!this.inTransaction) {
      this.database.setReadOnly(true)
    }
  }

  private stopFollowing (): void {
    this.options.findPeer(this.primary)?.followers.delete(this)
  }

  private async acquire (): Promise<() => void> {
    const release = await this.access.acquire()
    this.lockUnlessLeading()
    return release
  }

  private async exclusively<Result> (work: () => Promise<Result>): Promise<Result> {
    return await this.access.during(async () => {
      this.lockUnlessLeading()
      return await work()
    })
  }

  /** A database whose upstream does not lead is read-only for whoever comes next. */
  private lockUnlessLeading (): void {
    if (this.role !== 'primary') {
      this.database.setReadOnly(true)
    }
  }

  private schedulePump (delayMs: number): void {
    if (this.pumpTimer !== undefined || this.closed) {
      return
    }
    this.pumpTimer = setTimeout(() => {
      this.pumpTimer = undefined
      void this.pump()
    }, delayMs)
  }

  /** Applies the records that have arrived, in order, each once its lag has passed. */
  private async pump (): Promise<void> {
    if (this.pumping || this.role === 'primary' || this.closed) {
      return
    }
    this.pumping = true
    try {
      const waitMs = await this.exclusively(async () => await this.applyArrived())
      if (waitMs !== undefined) {
        this.schedulePump(waitMs)
      }
    } finally {
      this.pumping = false
    }
  }

  /** Returns when to look again, in milliseconds, or undefined when the next change will say so. */
  private async applyArrived (): Promise<number | undefined> {
    const source = this.options.findPeer(this.primary)
    if (source === undefined || this.paused || this.crashed || this.term < this.fencedTerm) {
      return undefined
    }
    if (source.crashed || source.paused || !this.options.reachable(this.name, source.name)) {
      return RECONNECT_MS
    }
    if (source.term !== this.term) {
      return undefined
    }
    if (!source.log.continues(this.log.end)) {
      return await this.takeSnapshot(source)
    }
    return await this.applyRecords(source)
  }

  private async applyRecords (source: Upstream): Promise<number | undefined> {
    this.database.setReadOnly(false)
    try {
      while (this.log.end.position < source.log.end.position) {
        const record = source.log.after(this.log.end.position)
        if (record === undefined) {
          return await this.takeSnapshot(source)
        }
        const dueInMs = record.writtenAt + this.lagMs - performance.now()
        if (dueInMs > 0) {
          return Math.max(1, dueInMs)
        }
        this.applyRecord(record.statements)
        this.log.take(record)
      }
    } finally {
      this.database.setReadOnly(true)
      this.changes.notify()
    }
    return undefined
  }

  private applyRecord (statements: Statement[]): void {
    if (statements.length === 1) {
      this.database.run(statements[0]!)
      return
    }
    this.database.run({ sql: 'BEGIN' })
    statements.forEach((statement) => this.database.run(statement))
    this.database.run({ sql: 'COMMIT' })
  }

  private async takeSnapshot (source: Upstream): Promise<number> {
    if (source.inTransaction) {
      return 1
    }
    const discarded = Math.max(0, this.log.end.position - source.log.end.position)
    this.discardedRecords += discarded
    this.logger.log('warn', 'standin.tail-discarded', { upstream: this.name, records: discarded })
    const content = source.database.snapshot()
    const previous = this.database
    this.log.copyFrom(source.log)
    this.database = await openDatabase(content)
    this.database.setReadOnly(true)
    previous.close()
    this.changes.notify()
    return 0
  }
}

/**
 * Creates an upstream.
 *
 * @param options - name, lag and schema
 * @returns the upstream, a replica of term 0
 */
export async function createUpstream (options: UpstreamOptions): Promise<Upstream> {
  return new Upstream(options, await openDatabase())
}
