/**
 * Tells homes that are slow from homes that are gone. One that does not answer soon is suspected: what can run
 * elsewhere leaves it. Its link is kept until it has been silent for long, since a busy process still answers: when
 * links were broken at the first suspicion, 71 hosts tried in vain to open 2,600 new ones to 48 busy homes in two
 * seconds, and each attempt cost these more than the statement that it was for.
 */
import { describeThrown } from '../core/errors/index.ts'
import type { Logger } from '../core/logger/index.ts'
import { TIMED_OUT, within } from '../core/time/deadline.ts'
import type { Peers } from '../peers/index.ts'
import type { KnownHost } from '../registry/index.ts'
import { HOME_ANSWER_MS, HOME_GONE_MS, HOME_SILENCE_MS } from './consts.ts'
import type { HomeChoice } from './home-choice.ts'

/** Options of {@link createHomeWatch}. */
export interface HomeWatchOptions {
  links: Peers['work']
  choice: Pick<HomeChoice, 'answered' | 'failed' | 'lastAnswerAt'>
  logger: Logger
}

/** Watches homes that statements wait for. */
export interface HomeWatch {
  /**
   * Says whether a home is there: asks it, unless it has answered just now.
   *
   * @param home - the home
   * @returns whether it answered soon enough
   */
  isThere: (home: KnownHost) => Promise<boolean>
  /**
   * Asks a home again and again for as long as it stays silent.
   *
   * @param home - the home
   * @param onSuspected - told each time that it has not answered soon enough
   * @returns stops asking
   */
  whileWaiting: (home: KnownHost, onSuspected: () => void) => () => void
  /** Takes note that a home could not be reached, or has not answered. */
  failed: (home: KnownHost, thrown: unknown) => void
}

/**
 * Creates the watch.
 *
 * @param options - the links, and the choice that is told
 * @returns the watch
 */
export function createHomeWatch ({ links, choice, logger }: HomeWatchOptions): HomeWatch {
  const asking = new Map<string, Promise<boolean>>()

  const failed = (home: KnownHost, thrown: unknown): void => {
    choice.failed(home)
    logger.log('info', 'home.failed', { peer: home.name, reason: describeThrown(thrown) })
  }
  const answers = async (home: KnownHost): Promise<boolean> => {
    try {
      await links.request(home, 'home-alive', {}, HOME_GONE_MS)
      choice.answered(home, '')
      return true
    } catch (thrown) {
      failed(home, thrown)
      links.disconnect(home)
      return false
    }
  }
  const answersSoon = async (home: KnownHost, answer: Promise<boolean>): Promise<boolean> => {
    const inTime = await within(answer, HOME_ANSWER_MS)
    if (inTime === TIMED_OUT) {
      choice.failed(home)
      logger.log('info', 'home.slow', { peer: home.name, silentMs: Math.round(performance.now() - choice.lastAnswerAt(home)) })
      return false
    }
    return inTime
  }
  const ask = (home: KnownHost): Promise<boolean> => {
    const answer = answers(home).finally(() => asking.delete(home.name))
    const soon = answersSoon(home, answer)
    asking.set(home.name, soon)
    return soon
  }
  const isSilent = (home: KnownHost): boolean => performance.now() - choice.lastAnswerAt(home) > HOME_SILENCE_MS
  const isThere = async (home: KnownHost): Promise<boolean> =>
    !isSilent(home) || await (asking.get(home.name) ?? ask(home))
  return {
    isThere,
    whileWaiting: (home, onSuspected) => {
      const timer = setInterval(() => {
        void isThere(home).then((there) => there || onSuspected())
      }, HOME_SILENCE_MS)
      return () => clearInterval(timer)
    },
    failed
  }
}
