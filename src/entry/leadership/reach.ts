/**
 * Decides from the answers of hosts whether a primary should be replaced: at least as many hosts must have lost it as
 * reach it, and at least as many as are silent. A silent host may still be using the primary, and the failover would
 * have to wait for its lease to expire. A host that refuses connections counts as silent, since a firewall on the way
 * may refuse them.
 */

/** Answer of one host; `silent` if no answer came. */
export type ReachAnswer = 'reached' | 'lost' | 'silent'

/** Number of hosts by answer; pending answers count as silent. */
type ReachCounts = Record<ReachAnswer, number>

/** Number of hosts that were not asked whether they reach the primary, by whether they answer at all. */
interface OtherHosts {
  answering: number
  silent: number
}

/**
 * Whether a primary should be replaced.
 *
 * @param count - number of hosts by answer
 * @returns whether enough hosts have lost it
 */
export function shouldReplacePrimary ({ reached, lost, silent }: ReachCounts): boolean {
  return lost >= reached && lost >= silent
}

/**
 * Whether silent hosts alone keep a primary. The homes are asked first and often share its failure domain, so they may
 * all be silent together, unlike most other hosts.
 *
 * @param count - number of hosts by answer
 * @returns whether the primary is kept for the silent hosts only
 */
export function isKeptBySilence ({ reached, lost, silent }: ReachCounts): boolean {
  return lost >= reached && lost < silent
}

/**
 * Extends the counts to hosts that were not asked: those that answer have lost the primary as often as those asked.
 *
 * @param count - number of asked hosts by answer
 * @param others - the other hosts
 * @returns the estimated counts of all hosts
 */
export function estimateAll ({ reached, lost, silent }: ReachCounts, others: OtherHosts): ReachCounts {
  const lostShare = lost / (reached + lost)
  return {
    reached: reached + others.answering * (1 - lostShare),
    lost: lost + others.answering * lostShare,
    silent: silent + others.silent
  }
}

/**
 * Counts answers until the pending ones cannot change the decision.
 *
 * @param answers - answers of all hosts that were asked
 * @returns the counts at that time
 */
export async function countAnswers (answers: Array<Promise<ReachAnswer>>): Promise<ReachCounts> {
  const counts: ReachCounts = { reached: 0, lost: 0, silent: answers.length }
  await new Promise<void>((resolve) => {
    let pending = answers.length
    for (const pendingAnswer of answers) {
      // A failed request says nothing about the upstream; the requester has logged the reason.
      void pendingAnswer.catch((): ReachAnswer => 'silent').then((answer) => {
        pending--
        counts.silent--
        counts[answer]++
        const isCertainlyLost = counts.lost >= counts.reached + counts.silent
        const isCertainlyKept = counts.reached > counts.lost + pending
        if (pending === 0 || isCertainlyLost || isCertainlyKept) {
          resolve()
        }
      })
    }
  })
  return { ...counts }
}
