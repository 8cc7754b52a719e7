/** The status that an upstream reports of itself. */
import * as z from 'zod'
import { readNamedRows } from '../../mysql/named-rows.ts'
import type { RowsAnswer } from '../../mysql/types.ts'
import type { LogPosition } from '../../positions/position.ts'

/** The columns of a status row. */
const upstreamStatusSchema = z.object({
  /** Term the upstream leads or follows. */
  term: z.coerce.number(),
  /** Highest term it has been fenced with; it neither follows nor leads below it. */
  fencedTerm: z.coerce.number(),
  /** Term of the last record of its log. */
  logTerm: z.coerce.number(),
  /** Position of the last record of its log. */
  position: z.coerce.number(),
  role: z.enum(['primary', 'replica']),
  /** Name of the upstream it follows, or its own. */
  primary: z.string(),
  /** Changes whenever the database behind the address is another one. */
  incarnation: z.string(),
  /** Whether it is about to leave and wants no new work. */
  leaving: z.coerce.number().transform((flag) => flag !== 0)
})

/** Status of an upstream. */
export type UpstreamStatus = z.infer<typeof upstreamStatusSchema>

/**
 * Reads a status row.
 *
 * @param answer - answer of a status procedure
 * @returns the status
 */
export function parseStatus (answer: RowsAnswer): UpstreamStatus {
  return upstreamStatusSchema.parse(readNamedRows(answer)[0])
}

/**
 * Returns where the upstream's log ends.
 *
 * @param status - its status
 * @returns term and position of the last record
 */
export function logEnd (status: UpstreamStatus): LogPosition {
  return { term: status.logTerm, position: status.position }
}
