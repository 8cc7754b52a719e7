/** A place at an upstream that a home of it gives: statements are passed on to that host. */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { HOP_GRACE_MS, type HomeReply, type PassedOn, type Step } from '../homes/index.ts'
import type { UsedUpstream } from '../pools/index.ts'
import type { StatementAnswer } from '../ports/index.ts'
import type { KnownHost } from '../registry/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import { ROLLBACK_MS } from './consts.ts'
import type { TimedAnswer } from './run-statement.ts'
import type { Seat, TransactionStep } from './seat.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Options of {@link createHomeSeat}. */
interface HomeSeatOptions {
  home: KnownHost
  known: KnownUpstream
  used: UsedUpstream
  /** Position that the upstream's log must have reached. */
  after?: LogPosition
  /** Epoch in which the upstream is the primary; given where only the primary will do. */
  epoch?: number
}

/** A read that was left has run elsewhere, and a transaction that was left is rolled back. */
function dropLateReply (): void {}

function stepOf (step: TransactionStep): Step {
  if (step.type === 'commit') {
    return { type: 'commit', text: step.text }
  }
  const { work } = step
  return work.type === 'data'
    ? { type: 'data', access: work.access, text: work.text }
    : { type: 'execute', prepared: work.prepared, parameters: work.parameters }
}

/**
 * Makes a seat at a home. Nothing is sent before the first statement.
 *
 * @param context - the rest of the process
 * @param options - the home and the upstream
 * @returns the seat
 */
export function createHomeSeat (context: EntryContext, options: HomeSeatOptions): Seat {
  const { home, known, used, after, epoch } = options
  let transaction: number | undefined
  let endedBecause: string | undefined
  let toldValues = '[]'

  /** What every message carries; values are told when they have changed. */
  const commonOf = (scope: RequestScope, step: TransactionStep) => {
    const values = [...scope.values]
    const told = JSON.stringify(values)
    const isNews = told !== toldValues
    toldValues = told
    return {
      id: scope.requestId,
      leftMs: Math.round(scope.deadline.leftMs),
      inTimeMs: Math.round(scope.inTimeUntil - performance.now()),
      ...isNews && { values },
      step: stepOf(step)
    }
  }
  const openingOf = (scope: RequestScope, step: TransactionStep) => ({
    ...commonOf(scope, step),
    upstream: known.upstream,
    organisation: scope.organisation ?? '',
    version: scope.version,
    priority: scope.priority,
    costMs: Math.round(scope.costMs),
    ...epoch !== undefined && { epoch },
    ...after !== undefined && { after }
  })
  const ask = async (
    scope: RequestScope, type: string, body: unknown, onLateReply?: PassedOn['onLateReply']
  ): Promise<HomeReply> => {
    scope.home = home.name
    const sentAt = performance.now()
    const timeoutMs = scope.deadline.leftMs + HOP_GRACE_MS
    try {
      const reply = await context.homes.ask(home, { upstream: known.upstream, type, body, timeoutMs, onLateReply })
      used.health.answered()
      used.health.recordLatency(performance.now() - sentAt)
      return reply
    } catch (thrown) {
      scope.triedHomes.add(home.name)
      throw thrown
    }
  }
  /** A write that a silent home has taken stays in doubt, so it is only sent to one that answers. */
  const ensureThere = async (scope: RequestScope): Promise<void> => {
    try {
      await context.homes.ensureAlive(home)
    } catch (thrown) {
      scope.triedHomes.add(home.name)
      throw thrown
    }
  }
  const answerOf = (sentAt: number, reply: HomeReply, part: HomeReply['answer']): TimedAnswer => ({
    answer: part as StatementAnswer, sentAt, epoch: reply.epoch, ranMs: reply.ranMs ?? 0
  })
  const missing = (reply: HomeReply): RequestError => new RequestError(reply.lost?.verdict ?? 'may-have-run', 'ConnectionLost', {
    upstream: known.upstream, reason: reply.lost?.reason ?? 'no answer'
  })
  const takeTransaction = (reply: HomeReply): void => {
    transaction = reply.transaction
    if (transaction === undefined) {
      endedBecause = 'its home has ended it'
    }
  }
  const rollBackThere = async (number: number): Promise<void> => {
    try {
      const body = { transaction: number }
      await context.homes.ask(home, { upstream: known.upstream, type: 'home-rollback', body, timeoutMs: ROLLBACK_MS })
    } catch {
      // The home has logged why, or is gone; it ends transactions that rest, and those of links that break.
    }
  }
  /** What was left is rolled back there, once the home tells of it. */
  const rollBackLateReply = ({ transaction: number }: HomeReply): void => {
    if (number !== undefined) {
      void rollBackThere(number)
    }
  }

  return {
    known,
    used,
    after,
    home: home.name,
    get brokenBecause () { return endedBecause },
    runSingle: async (scope, work) => {
      const isRead = work.access === 'read'
      if (!isRead) {
        await ensureThere(scope)
      }
      const sentAt = performance.now()
      const opening = openingOf(scope, { type: 'work', work })
      const reply = await ask(scope, 'home-statement', opening, isRead ? dropLateReply : undefined)
      if (reply.answer === undefined) {
        throw missing(reply)
      }
      return answerOf(sentAt, reply, reply.answer)
    },
    begin: async (scope, readOnly, step) => {
      const sentAt = performance.now()
      const begin = readOnly ? 'read-only' : 'plain'
      const reply = await ask(scope, 'home-statement', { ...openingOf(scope, step), begin }, rollBackLateReply)
      if (reply.begun === undefined) {
        throw toRequestError(missing(reply), 'not-run', true)
      }
      takeTransaction(reply)
      return {
        begin: answerOf(sentAt, reply, reply.begun),
        first: reply.answer && answerOf(sentAt, reply, reply.answer),
        lost: reply.lost && missing(reply)
      }
    },
    step: async (scope, step) => {
      const sentAt = performance.now()
      const mayLeave = step.type === 'work'
      const reply = await ask(
        scope, 'home-step', { ...commonOf(scope, step), transaction }, mayLeave ? dropLateReply : undefined)
      takeTransaction(reply)
      if (reply.answer === undefined) {
        throw missing(reply)
      }
      return answerOf(sentAt, reply, reply.answer)
    },
    release: () => { transaction = undefined },
    discard: () => {
      const left = transaction
      transaction = undefined
      endedBecause ??= 'its home did not answer'
      if (left !== undefined) {
        void rollBackThere(left)
      }
    },
    rollBack: async () => {
      const left = transaction
      transaction = undefined
      if (left !== undefined) {
        await rollBackThere(left)
      }
    }
  }
}
