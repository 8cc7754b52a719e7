/** A stand-in database server with terms, fencing, roles and asynchronous replication. */
import { randomUUID } from 'node:crypto'
import { silentLogger, type Logger } from '../../core/logger/index.ts'
import type { Answer, Statement } from '../../mysql/types.ts'
import type { UpstreamStatus } from '../../mysql-proxy/upstreams/status.ts'
import { ChangeSignal } from './change-signal.ts'
import { isReadStatement, openDatabase, type Database } from './database.ts'
import { Replication, type ReplicationSource } from './replication.ts'
import { openTransaction, type UpstreamTransaction } from './upstream-transaction.ts'
import { ExclusiveAccess } from './exclusive-access.ts'
import { ReplicationLog } from './replication-log.ts'
import { LEDGER_SCHEMA } from './ledger-schema.ts'

/** Returns whether two upstreams can reach each other. */
type Reachable = (from: string, to: string) => boolean

/** Options of {@link createUpstream}. */
interface UpstreamOptions {
  name: string
  /** Time between a change on the primary and its arrival here, in milliseconds. */
  lagMs: number
  /** SQL statements to run once at creation. */
  schema: string[]
  /** Finds another upstream of the group. */
  findPeer: (name: string) => Upstream | undefined
  reachable: Reachable
  logger?: Logger
}

/**
 * A database server of a group. Its state survives simulated crashes, as if it were on disk.
 */
export class Upstream {
  readonly name: string
  readonly log = new ReplicationLog()
  readonly incarnation = randomUUID()
  /** Whether the upstream is being drained and wants no new work. */
  leaving = false
  /** Whether the process is paused: it applies no records and answers no statements. */
  paused = false
  /** Whether the process is down. */
  crashed = false
  /** Number of client statements executed, without procedure calls and transaction control. */
  statementsServed = 0
  /** Number of local records discarded because they diverged from a new primary's log. */
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
  private readonly replication = new Replication({
    log: this.log,
    lagMs: () => this.lag,
    isPrimary: () => this.role === 'primary',
    findSource: () => this.findSource(),
    database: () => this.database,
    replaceDatabase: (database) => { this.database = database },
    exclusively: async (work) => await this.exclusively(work),
    onChange: () => this.changes.notify(),
    onDiscarded: (records) => this.recordDiscarded(records)
  })

  private readonly access = new ExclusiveAccess()
  /** Whether a client's transaction is open. */
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

  /** Returns the values of the status procedure. */
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
   * Fences the upstream: it stops accepting writes and rejects primaries of lower terms.
   *
   * @param term - the term, which must exceed all previously accepted terms
   * @returns whether it was accepted
   */
  fence (term: number): boolean {
    if (term <= this.fencedTerm || term <= this.term) {
      return false
    }
    this.fencedTerm = term
    this.stepDown()
    this.changes.notify()
    return true
  }

  /**
   * Promotes this upstream to primary of the term that it was last fenced with.
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
   * @param primary - name of the primary
   * @param term - term of the primary
   * @returns whether it was accepted
   */
  follow (primary: string, term: number): boolean {
    if (term < this.fencedTerm || term < this.term || (term === this.term && this.role === 'primary')) {
      return false
    }
    if (term === this.term && this.primary === primary) {
      return true
    }
    this.stepDown()
    this.stopFollowing()
    this.term = term
    this.fencedTerm = term
    this.role = 'replica'
    this.primary = primary
    this.options.findPeer(primary)?.followers.add(this)
    this.changes.notify()
    this.replication.schedule(0)
    return true
  }

  /**
   * Runs a statement outside a transaction and appends it to the log if it is a write.
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
   * Begins a transaction, which holds exclusive access to the database until it ends.
   *
   * @returns the transaction
   */
  async begin (): Promise<UpstreamTransaction> {
    const release = await this.acquire()
    const { term } = this
    const transaction = openTransaction({
      database: this.database,
      mayCommit: () => this.role === 'primary' && this.term === term,
      onCommit: (changes) => {
        if (changes.length > 0) {
          this.append(changes)
        }
        return this.log.end
      },
      onEnd: () => { this.inTransaction = false },
      release
    })
    this.inTransaction = true
    return transaction
  }

  /**
   * Waits for the next change of log, term or role, or for the timeout.
   *
   * @param timeoutMs - maximum wait, in milliseconds
   */
  async waitForChange (timeoutMs: number): Promise<void> {
    await this.changes.wait(timeoutMs)
  }

  /** Resumes replication immediately, for example after a fault has ended. */
  resume (): void {
    this.replication.restart()
  }

  /** Stops replication and closes the database. */
  close (): void {
    this.replication.close()
    void this.exclusively(async () => this.database.close())
  }

  private append (statements: Statement[]): void {
    this.log.append(this.term, statements)
    this.changes.notify()
    this.followers.forEach((follower) => follower.replication.schedule(follower.lagMs))
  }

  private stepDown (): void {
    this.role = 'replica'
    if (!this.inTransaction) {
      this.database.setReadOnly(true)
    }
  }

  private stopFollowing (): void {
    this.options.findPeer(this.primary)?.followers.delete(this)
  }

  /** Returns the followed primary as a replication source, if its records may be applied now. */
  private findSource (): ReplicationSource {
    const source = this.options.findPeer(this.primary)
    if (source === undefined || this.paused || this.crashed || this.term < this.fencedTerm) {
      return 'none'
    }
    if (source.crashed || source.paused || !this.options.reachable(this.name, source.name)) {
      return 'unreachable'
    }
    if (source.term !== this.term) {
      return 'none'
    }
    return { log: source.log, snapshot: () => source.inTransaction ? undefined : source.database.snapshot() }
  }

  private recordDiscarded (records: number): void {
    this.discardedRecords += records
    this.logger.log('warn', 'standin.tail-discarded', { upstream: this.name, records })
  }

  private async acquire (): Promise<() => void> {
    const release = await this.access.acquire()
    this.setReadOnlyUnlessPrimary()
    return release
  }

  private async exclusively<Result> (work: () => Promise<Result>): Promise<Result> {
    return await this.access.during(async () => {
      this.setReadOnlyUnlessPrimary()
      return await work()
    })
  }

  /** Makes the database read-only unless this upstream is the primary. */
  private setReadOnlyUnlessPrimary (): void {
    if (this.role !== 'primary') {
      this.database.setReadOnly(true)
    }
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
