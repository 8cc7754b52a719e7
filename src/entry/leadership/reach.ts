/** Counts which hosts reach an upstream. */

/** What one host says; `not-running` when no process listens there, `silent` when it says nothing. */
export type ReachAnswer = 'reached' | 'lost' | 'silent' | 'not-running'

/** What the hosts said; those that have not answered yet count as silent. */
type ReachCount = Record<ReachAnswer, number>

/**
 * Says whether a primary is lost to so many hosts that it should be replaced. Hosts that are silent may be working
 * there and would have to be waited for, so they must not outnumber those that have lost it.
 *
 * @param count - what the hosts said
 * @returns whether it should be replaced
 */
export function isLostToMost ({ reached, lost, silent }: ReachCount): boolean {
  return lost >= reached && lost >= silent
}

/**
 * Counts answers until those that are missing cannot change what most say.
 *
 * @param questions - answers to come
 * @returns the count so far
 */
export async function countReach (questions: Array<Promise<ReachAnswer>>): Promise<ReachCount> {
  const count: ReachCount = { reached: 0, lost: 0, silent: questions.length, 'not-running': 0 }
  await new Promise<void>((resolve) => {
    let open = questions.length
    for (const question of questions) {
      // A question that fails says nothing of the upstream; who asks logs why.
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
