/** A client's transaction on a stand-in upstream, which has the database to itself until it ends. */
import type { Answer, Statement } from '../../mysql/types.ts'
import type { LogPosition } from '../../positions/position.ts'
import { isReadStatement, type Database } from './database.ts'

/** An open transaction. */
export interface UpstreamTransaction {
  run: (statement: Statement) => Answer
  /** Commits and returns where the log then ends. */
  commit: () => LogPosition
  /** Rolls back, unless it has ended already. */
  rollback: () => void
}

/** Options of {@link openTransaction}. */
interface TransactionOptions {
  database: Database
  /** Whether changes may be committed: the upstream is still the primary of the term in which it began. */
  mayKeep: () => boolean
  /** Takes the changes that were committed; returns where the log then ends. */
  onCommit: (changes: Statement[]) => LogPosition
  onEnd: () => void
  /** Gives the database back. */
  release: () => void
}

/**
 * Begins a transaction.
 *
 * @param options - the database, and what becomes of the changes
 * @returns the transaction
 */
export function openTransaction (options: TransactionOptions): UpstreamTransaction {
  const { database, mayKeep, onCommit, onEnd, release } = options
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
      if (changes.length > 0 && !mayKeep()) {
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
