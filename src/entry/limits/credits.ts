/**
 * What this host may run for each organisation: operations that were granted to it and not used yet. Whoever needs one
 * that is not there has it asked for, together with all who need one at the same time and, where an organisation asks
 * often, with what it is expected to need next.
 */
import { RequestError } from '../../core/errors/index.ts'
import type { OperationLimit } from '../ports/index.ts'
import type { Grant } from './allowance.ts'
import { AHEAD_MS, NOBODY_KNOWS_MS, RATE_HALF_LIFE_MS, REFUSED_HERE_MS } from './consts.ts'

/** An answer of the host that keeps a limit. */
export interface GrantAnswer extends Grant {
  /** Version of the desired state whose limit it is. */
  version: number
  /** Host that keeps the limit. */
  keeper: string
}

/** Options of {@link createCredits}. */
interface CreditsOptions {
  /** Asks for operations; undefined when nobody could say. */
  ask: (organisation: string, wanted: number) => Promise<GrantAnswer | undefined>
  /** Limit in force, for the reason of a refusal. */
  limitOf: (organisation: string) => OperationLimit | undefined
}

/** Operations that were granted to this host. */
export interface Credits {
  /**
   * Takes one operation.
   *
   * @param organisation - name of the organisation
   * @throws RequestError `LimitReached` with verdict `not-run`
   */
  take: (organisation: string) => Promise<void>
  /** Gives back an operation that was certainly not run. */
  giveBack: (organisation: string) => void
  /** Counts an operation that may have run once more, whatever is left. */
  countAgain: (organisation: string) => void
}

/** Someone who needs an operation. */
interface Waiting {
  resolve: () => void
  reject: (error: RequestError) => void
}

/** What is known of one organisation here. */
interface OrganisationCredit {
  /** Operations that were granted and not used. */
  left: number
  goodUntil: number
  /** Operations lately, counting less the longer ago they were, and when that was computed. */
  recent: number
  recentAt: number
  /** Until when operations are refused without asking again, and when callers are to come back, on the steady clock. */
  refusedUntil: number
  comeBackAt: number
  refusedBy?: GrantAnswer
  waiting: Waiting[]
  isAsking: boolean
}

const SECOND_MS = 1000

/**
 * Creates the credits; nothing has been granted yet.
 *
 * @param options - asks the hosts that keep limits
 * @returns the credits
 */
export function createCredits ({ ask, limitOf }: CreditsOptions): Credits {
  const credits = new Map<string, OrganisationCredit>()

  const creditOf = (organisation: string): OrganisationCredit => {
    const known = credits.get(organisation) ?? {
      left: 0,
      goodUntil: -Infinity,
      recent: 0,
      recentAt: performance.now(),
      refusedUntil: -Infinity,
      comeBackAt: -Infinity,
      waiting: [],
      isAsking: false
    }
    credits.set(organisation, known)
    return known
  }
  const countOne = (credit: OrganisationCredit): void => {
    const now = performance.now()
    credit.recent = credit.recent * 0.5 ** ((now - credit.recentAt) / RATE_HALF_LIFE_MS) + 1
    credit.recentAt = now
  }
  /** Operations that are expected soon, beyond those that wait. */
  const aheadOf = ({ recent }: OrganisationCredit): number => {
    const perSecond = recent * Math.LN2 / RATE_HALF_LIFE_MS * SECOND_MS
    return Math.floor(perSecond * AHEAD_MS / SECOND_MS)
  }
  const refusal = (organisation: string, credit: OrganisationCredit): RequestError => {
    const retryAfterMs = Math.max(1, Math.ceil(credit.comeBackAt - performance.now()))
    const { version, keeper } = credit.refusedBy ?? {}
    return new RequestError('not-run', 'LimitReached', {
      organisation, limit: limitOf(organisation), version, keeper, retryAfterMs
    })
  }
  const serveWaiting = (organisation: string, credit: OrganisationCredit): void => {
    while (credit.waiting.length > 0 && credit.left >= 1) {
      credit.left--
      credit.waiting.shift()!.resolve()
    }
    if (performance.now() < credit.refusedUntil) {
      credit.waiting.splice(0).forEach(({ reject }) => reject(refusal(organisation, credit)))
    }
  }
  const takeAnswer = (credit: OrganisationCredit, wanted: number, answer: GrantAnswer | undefined): void => {
    const now = performance.now()
    credit.left = (credit.goodUntil >= now || credit.left < 0 ? credit.left : 0) + (answer?.granted ?? 0)
    credit.goodUntil = now + AHEAD_MS
    const retryAfterMs = Math.max(1, answer === undefined ? NOBODY_KNOWS_MS : answer.retryAfterMs)
    // Those that came while it was asked are asked for next; who got less than that gets no more now.
    const isRefused = (answer?.granted ?? 0) < wanted && credit.left < credit.waiting.length
    credit.refusedUntil = isRefused ? now + Math.min(REFUSED_HERE_MS, retryAfterMs) : -Infinity
    credit.comeBackAt = now + retryAfterMs
    credit.refusedBy = answer
  }
  const askFor = async (organisation: string, credit: OrganisationCredit): Promise<void> => {
    credit.isAsking = true
    while (credit.waiting.length > 0) {
      const wanted = credit.waiting.length - Math.min(0, credit.left) + aheadOf(credit)
      takeAnswer(credit, wanted, await ask(organisation, wanted))
      serveWaiting(organisation, credit)
    }
    credit.isAsking = false
  }
  return {
    take: async (organisation) => {
      const credit = creditOf(organisation)
      countOne(credit)
      const now = performance.now()
      if (credit.left >= 1 && now <= credit.goodUntil) {
        credit.left--
        return
      }
      if (now < credit.refusedUntil) {
        throw refusal(organisation, credit)
      }
      await new Promise<void>((resolve, reject) => {
        credit.waiting.push({ resolve, reject })
        if (!credit.isAsking) {
          void askFor(organisation, credit)
        }
      })
    },
    giveBack: (organisation) => {
      const credit = creditOf(organisation)
      const now = performance.now()
      credit.left = (now <= credit.goodUntil ? credit.left : 0) + 1
      credit.goodUntil = now + AHEAD_MS
    },
    countAgain: (organisation) => { creditOf(organisation).left-- }
  }
}
