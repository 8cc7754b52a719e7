/**
 * Decides whether this host requests large changes of a table from other hosts, which refer it to the store: only if
 * the store does not answer it either.
 */
import type { ReceivedAnswers } from './received-answers.ts'

/** Reads of the store, and what other hosts have said of a change that this host lacks. */
export interface LargeChanges {
  /** Whether to request changes of any size from other hosts. */
  readonly areAccepted: boolean
  /** Records that another host has referred this one to the store. */
  recordReferral: () => void
  /**
   * Runs a read of the store, and records whether it was answered.
   *
   * @param read - the read; calls its argument when its answer begins to arrive
   * @param isGivenUp - whether this host itself has ended the read
   * @returns the result of the read
   */
  readStore: <Result>(
    read: (onAnswering: () => void) => Promise<Result>, isGivenUp?: () => boolean
  ) => Promise<Result>
}

/**
 * Creates the record of a host that has been referred to nobody.
 *
 * @param answers - the answers of the store
 * @returns the record
 */
export function createLargeChanges (answers: Pick<ReceivedAnswers, 'track'>): LargeChanges {
  let isReferred = false
  let hasStoreFailed = false
  return {
    get areAccepted () { return isReferred && hasStoreFailed },
    recordReferral: () => {
      isReferred = true
      hasStoreFailed = false
    },
    readStore: async (read, isGivenUp = () => false) => {
      try {
        const result = await answers.track(read)
        isReferred = false
        return result
      } catch (thrown) {
        hasStoreFailed = !isGivenUp()
        throw thrown
      }
    }
  }
}
