/**
 * Tells homes that are slow from homes that are gone. One that does not answer soon is suspected: what can run
 * elsewhere leaves it, and it is passed over until it answers. Requests of callers find out one home at a time, at 0.2
 * to 0.3 s each: when 71 hosts were split in two, they met silent homes 3,667 times in 1.5 s. So hosts ask in advance.
 */
import { describeThrown } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, within } from '../../core/time/deadline.ts'
import type { Peers } from '../../peers/index.ts'
import type { KnownHost } from '../registry/index.ts'
import { HOME_ANSWER_MS, HOME_GONE_MS, HOME_SILENCE_MS, LOOK_AROUND } from './consts.ts'
import type { HomeChoice } from './home-choice.ts'

/** Options of {@link createHomeWatch}. */
interface HomeWatchOptions {
  links: Peers['work']
  choice: Pick<HomeChoice, 'answered' | 'failed' | 'isSilent' | 'lastAnswerAt'>
  logger: Logger
  /** Homes that this host may pass statements on to. */
  homes: () => KnownHost[]
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
export function createHomeWatch ({ links, choice, logger, homes }: HomeWatchOptions): HomeWatch {
  /** Questions in progress by home, and whether they are answered soon: those who wait for the same home share them. */
  const asking = new Map<string, Promise<boolean>>()
  let lookedAroundAt = -Infinity
  /** Asks all homes that have answered before, when several are silent. */
  const lookAround = (): void => {
    const known = homes()
    const silent = known.filter(choice.isSilent)
    if (silent.length < LOOK_AROUND.silent || performance.now() - lookedAroundAt < LOOK_AROUND.pauseMs) {
      return
    }
    lookedAroundAt = performance.now()
    const others = known.filter((home) => !choice.isSilent(home) && Number.isFinite(choice.lastAnswerAt(home)))
    others.forEach((home) => { void isThere(home) })
    logger.log('info', 'home.all-asked', { silent: silent.length, asked: others.length })
  }
  const noteSilent = (home: KnownHost): void => {
    const isNews = !choice.isSilent(home)
    choice.failed(home)
    if (isNews) {
      lookAround()
    }
  }
  const failed = (home: KnownHost, thrown: unknown): void => {
    noteSilent(home)
    logger.log('info', 'home.failed', { peer: home.name, reason: describeThrown(thrown) })
  }
  /** The end of a cut brings all homes back that were beyond it. */
  const noteAnswer = (home: KnownHost): void => {
    const isBack = choice.isSilent(home)
    choice.answered(home, '')
    if (isBack) {
      homes().filter(choice.isSilent).forEach((other) => { void isThere(other) })
    }
  }
  const answers = async (home: KnownHost): Promise<boolean> => {
    try {
      await links.request(home, 'home-alive', {}, HOME_GONE_MS)
      noteAnswer(home)
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
      noteSilent(home)
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
  const hasAnsweredLately = (home: KnownHost): boolean =>
    performance.now() - choice.lastAnswerAt(home) <= HOME_SILENCE_MS
  const isThere = async (home: KnownHost): Promise<boolean> =>
    hasAnsweredLately(home) || await (asking.get(home.name) ?? ask(home))
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
