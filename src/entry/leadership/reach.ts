/**
 * Decides whether a primary is lost to so many hosts that it should be replaced.
 *
 * - Inputs: one answer of each host that was asked, this one included; a host that has not answered counts as silent.
 * - Rule: it is lost when at least as many hosts have lost it as reach it, and at least as many as are silent.
 * - Why: a silent host may be working there, and the failover would have to wait for its leases to expire.
 */

/** Answer of one host; `not-running` when no process listens there, `silent` when none came. */
export type ReachAnswer = 'reached' | 'lost' | 'silent' | 'not-running'

/** Hosts by answer; those that have not answered yet count as silent. */
type ReachCount = Record<ReachAnswer, number>

/**
 * Whether a primary should be replaced; see the rule above.
 *
 * @param count - hosts by answer
 * @returns whether it should be replaced
 */
export function isLostToMost ({ reached, lost, silent }: ReachCount): boolean {
  return lost >= reached && lost >= silent
}

/**
 * Counts answers until those that are missing cannot change the decision.
 *
 * @param questions - answers to come
 * @returns the count so far
 */
export async function countReach (questions: Array<Promise<ReachAnswer>>): Promise<ReachCount> {
  const count: ReachCount = { reached: 0, lost: 0, silent: questions.length, 'not-running': 0 }
  await new Promise<void>((resolve) => {
    let open = questions.length
    for (const question of questions) {
      // A failed question says nothing about the upstream; the requester has logged why.
      void question.catch((): ReachAnswer => 'silent').then((answer) => {
        open--
        count.silent--
        count[answer]++
        const surelyLost = count.lost >= count.reached + count.silent
        const surelyNot = count.reached > count.lost + open
        if (open === 0 || surelyLost || surelyNot) {
          resolve()
        }
      })
    }
  })
  return { ...count }
}
