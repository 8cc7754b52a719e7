/** A stand-in database server: terms, fencing, roles and asynchronous replication. */
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
  private readonly replication = new Replication({
    log: this.log,
    lagMs: () => this.lag,
    isPrimary: () => this.role === 'primary',
    findSource: () => this.findSource(),
    database: () => this.database,
    replaceDatabase: (database) => { this.database = database },
    exclusively: async (work) => await this.exclusively(work),
    onChange: () => this.changes.notify(),
    onDiscarded: (records) => this.noteDiscarded(records)
  })

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
    this.replication.schedule(0)
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
    const { term } = this
    const transaction = openTransaction({
      database: this.database,
      mayKeep: () => this.role === 'primary' && this.term === term,
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
   * Waits for the next change of log, term or role.
   *
   * @param timeoutMs - greatest wait, in milliseconds
   */
  async waitForChange (timeoutMs: number): Promise<void> {
    await this.changes.wait(timeoutMs)
  }

  /** Applies what has arrived; called again when a fault ends. */
  resume (): void {
    this.replication.restart()
  }

  /** Frees the database. */
  close (): void {
    this.replication.close()
    void this.exclusively(async () => this.database.close())
  }

  private append (statements: Statement[]): void {
    this.log.append(this.term, statements)
    this.changes.notify()
    this.followers.forEach((follower) => follower.replication.schedule(follower.lagMs))
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

  /** The primary that this upstream follows, as far as it may apply its records now. */
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

  private noteDiscarded (records: number): void {
    this.discardedRecords += records
    this.logger.log('warn', 'standin.tail-discarded', { upstream: this.name, records })
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
