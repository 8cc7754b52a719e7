/** Counts which hosts reach an upstream. */

/** What the hosts said. */
export interface ReachCount {
  reached: number
  lost: number
  /** Hosts that have not said anything. */
  silent: number
}

/**
 * Counts answers until those that are missing cannot change what most say.
 *
 * @param questions - answers to come: whether a host reaches the upstream, undefined when it does not say
 * @returns the count so far
 */
export async function countReach (questions: Array<Promise<boolean | undefined>>): Promise<ReachCount> {
  const count: ReachCount = { reached: 0, lost: 0, silent: questions.length }
  await new Promise<void>((resolve) => {
    let open = questions.length
    for (const question of questions) {
      void question.then((reached) => {
        open--
        if (reached !== undefined) {
          count.silent--
          count[reached ? 'reached' : 'lost']++
        }
        const decided = Math.abs(count.lost - count.reached) > open
        if (open === 0 || decided) {
          resolve()
        }
      })
    }
  })
  return { ...count }
}
