/** A client's transaction on a stand-in upstream, with exclusive access to the database until it ends. */
import type { Answer, Statement } from '../../mysql/types.ts'
import type { LogPosition } from '../../positions/position.ts'
import { isReadStatement, type Database } from './database.ts'

/** An open transaction. */
export interface UpstreamTransaction {
  run: (statement: Statement) => Answer
  /** Commits and returns the log's new end position. */
  commit: () => LogPosition
  /** Rolls back, unless the transaction has already ended. */
  rollback: () => void
}

/** Options of {@link openTransaction}. */
interface TransactionOptions {
  database: Database
  /** Returns whether the upstream is still the primary of the term in which the transaction began. */
  mayCommit: () => boolean
  /** Appends the committed changes to the log and returns the log's new end position. */
  onCommit: (changes: Statement[]) => LogPosition
  onEnd: () => void
  /** Releases exclusive access to the database. */
  release: () => void
}

/**
 * Begins a transaction.
 *
 * @param options - the database, and callbacks for commit and end
 * @returns the transaction
 */
export function openTransaction (options: TransactionOptions): UpstreamTransaction {
  const { database, mayCommit, onCommit, onEnd, release } = options
  const changes: Statement[] = []
  let open = true
  database.run({ sql: 'BEGIN' })

  const end = (sql: string): void => {
    open = false
    onEnd()
    try {
      database.run({ sql })
    } finally {
      release()
    }
  }
  return {
    run: (statement) => {
      const answer = database.run(statement)
      if (!isReadStatement(statement.sql)) {
        changes.push(statement)
      }
      return answer
    },
    commit: () => {
      if (changes.length > 0 && !mayCommit()) {
        end('ROLLBACK')
        throw new Error('the upstream is read-only: it is no longer the primary')
      }
      end('COMMIT')
      return onCommit(changes)
    },
    rollback: () => {
      if (open) {
        end('ROLLBACK')
      }
    }
  }
}
