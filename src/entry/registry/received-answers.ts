/**
 * Tells whether an answer of the store to reads of a table is arriving. A large one may take seconds on a narrow link,
 * and every other copy of the same rows on that link delays it.
 */

/** Time after which an answer that is still arriving counts as large, in milliseconds. */
const LARGE_AFTER_MS = 100

/** The answers of the store to the reads of one table. */
export interface ReceivedAnswers {
  /** Whether an answer is arriving. */
  readonly isReceiving: boolean
  /** Whether an answer has been arriving for {@link LARGE_AFTER_MS}. */
  readonly isReceivingLarge: boolean
  /**
   * Runs a read.
   *
   * @param read - the read; calls its argument when its answer begins to arrive
   * @returns the result of the read
   */
  track: <Result>(read: (onAnswering: () => void) => Promise<Result>) => Promise<Result>
}

/**
 * Creates the record of a table without reads.
 *
 * @param onLarge - called when an answer begins to count as large
 * @returns the record
 */
export function createReceivedAnswers (onLarge: () => void): ReceivedAnswers {
  const arriving = new Set<symbol>()
  const large = new Set<symbol>()
  return {
    get isReceiving () { return arriving.size > 0 },
    get isReceivingLarge () { return large.size > 0 },
    track: async (read) => {
      const answer = Symbol('answer')
      let timer: NodeJS.Timeout | undefined
      const recordLarge = (): void => {
        large.add(answer)
        onLarge()
      }
      const recordAnswer = (): void => {
        if (!arriving.has(answer)) {
          arriving.add(answer)
          timer = setTimeout(recordLarge, LARGE_AFTER_MS)
        }
      }
      try {
        return await read(recordAnswer)
      } finally {
        clearTimeout(timer)
        arriving.delete(answer)
        large.delete(answer)
      }
    }
  }
}
