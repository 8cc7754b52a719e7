/** Status that an upstream reports about itself. */
import * as z from 'zod'
import { readNamedRows } from '../../mysql/named-rows.ts'
import type { RowsAnswer } from '../../mysql/types.ts'
import type { LogPosition } from '../../positions/position.ts'

/** Columns of a status row. */
const upstreamStatusSchema = z.object({
  /** Term in which the upstream is primary or replica. */
  term: z.coerce.number(),
  /** Highest term for which it has been fenced; it accepts no role in a lower term. */
  fencedTerm: z.coerce.number(),
  /** Term of the last record of its log. */
  logTerm: z.coerce.number(),
  /** Position of the last record of its log. */
  position: z.coerce.number(),
  role: z.enum(['primary', 'replica']),
  /** Name of the primary it replicates from; its own name if it is the primary. */
  primary: z.string(),
  /** Identity of the database; differs after the database at the address has been replaced. */
  incarnation: z.string(),
  /** Whether it is about to shut down and should receive no new work. */
  leaving: z.coerce.number().transform((flag) => flag !== 0)
})

/** Status of an upstream. */
export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>

/**
 * Parses a status row.
 *
 * @param answer - result of a procedure that returns a status row
 * @returns the status
 */
export function parseStatus (answer: RowsAnswer): UpstreamStatus {
  return upstreamStatusSchema.parse(readNamedRows(answer)[0])
}

/**
 * Returns the end of an upstream's log.
 *
 * @param status - status of the upstream
 * @returns term and position of the last record
 */
export function logEnd (status: UpstreamStatus): LogPosition {
  return { term: status.logTerm, position: status.position }
}
