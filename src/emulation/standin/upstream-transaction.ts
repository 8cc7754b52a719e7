/** An open transaction on a stand-in upstream. */
import type { Answer, Statement } from '../../mysql/types.ts'
import type { LogPosition } from '../../positions/position.ts'

/** An open transaction. */
export interface UpstreamTransaction {
  run: (statement: Statement) => Answer
  /** Commits and returns where the log then ends. */
  commit: () => LogPosition
  /** Rolls back, unless it has ended already. */
  rollback: () => void
}
