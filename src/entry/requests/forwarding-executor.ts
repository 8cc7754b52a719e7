/** Executes statements at a home of the upstream, which this host forwards them to. */
import { toRequestError } from '../../core/errors/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { FORWARDING_GRACE_MS, type HomeReply, type ForwardRequest } from '../homes/index.ts'
import type { UsedUpstream } from '../pools/index.ts'
import type { KnownHost } from '../registry/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import { encodeStep, lostAnswerError, timedAnswerOf } from './forwarded-steps.ts'
import type { TimedAnswer } from './run-statement.ts'
import { ROLLBACK_MS, type Begun, type StatementExecutor, type TransactionStep } from './statement-executor.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Where statements are forwarded to. */
interface ForwardingOptions {
  home: KnownHost
  known: KnownUpstream
  used: UsedUpstream
  /** Position that the upstream's log must have reached. */
  after?: LogPosition
  /** Epoch in which the upstream is the primary; given where only the primary will do. */
  epoch?: number
}

/** Link to one home on behalf of one request or transaction. */
interface HomeLink {
  /** Sends a question and waits for the reply; a home that fails is not chosen again for the request. */
  ask: (scope: RequestScope, type: string, body: unknown, onLateReply?: ForwardRequest['onLateReply']) => Promise<HomeReply>
  /** Checks that the home answers: a write that a silent home has taken stays in doubt. */
  ensureAlive: (scope: RequestScope) => Promise<void>
  /** Rolls back a transaction that is open there; never rejects. */
  rollBack: (transaction: number) => Promise<void>
}

/** Ignores the late reply of an abandoned step: the read has run elsewhere, or the transaction is rolled back. */
function ignoreLateReply (): void {}

function createHomeLink ({ homes }: Pick<EntryContext, 'homes'>, { home, known, used }: ForwardingOptions): HomeLink {
  const { upstream } = known
  const avoidOnError = async <Result>(scope: RequestScope, call: () => Promise<Result>): Promise<Result> => {
    try {
      return await call()
    } catch (thrown) {
      scope.triedHomes.add(home.name)
      throw thrown
    }
  }
  return {
    ask: async (scope, type, body, onLateReply) => {
      scope.home = home.name
      const sentAt = performance.now()
      const timeoutMs = scope.deadline.leftMs + FORWARDING_GRACE_MS
      return await avoidOnError(scope, async () => {
        const reply = await homes.forward(home, { upstream, type, body, timeoutMs, onLateReply })
        used.health.answered()
        used.health.recordLatency(performance.now() - sentAt)
        return reply
      })
    },
    ensureAlive: async (scope) => await avoidOnError(scope, async () => await homes.ensureAlive(home)),
    rollBack: async (transaction) => {
      try {
        const body = { transaction }
        await homes.forward(home, { upstream, type: 'home-rollback', body, timeoutMs: ROLLBACK_MS })
      } catch {
        // The home has logged why, or is gone; it ends transactions that are idle, and those of links that break.
      }
    }
  }
}

/** Builds the questions of one request or transaction; session values are sent only when they have changed. */
function createQuestions ({ known, after, epoch }: ForwardingOptions) {
  let sentValues = '[]'
  const next = (scope: RequestScope, step: TransactionStep) => {
    const values = [...scope.values]
    const text = JSON.stringify(values)
    const hasChanged = text !== sentValues
    sentValues = text
    return {
      id: scope.requestId,
      leftMs: Math.round(scope.deadline.leftMs),
      inTimeMs: Math.round(scope.inTimeUntil - performance.now()),
      ...hasChanged && { values },
      step: encodeStep(step)
    }
  }
  const first = (scope: RequestScope, step: TransactionStep) => ({
    ...next(scope, step),
    upstream: known.upstream,
    organisation: scope.organisation ?? '',
    version: scope.version,
    priority: scope.priority,
    costMs: Math.round(scope.costMs),
    ...epoch !== undefined && { epoch },
    ...after !== undefined && { after }
  })
  return { next, first }
}

/** The answer to the statement within a reply. */
function answerIn (upstream: string, sentAt: number, reply: HomeReply): TimedAnswer {
  if (reply.answer === undefined) {
    throw lostAnswerError(upstream, reply)
  }
  return timedAnswerOf(sentAt, reply, reply.answer)
}

/** An abandoned transaction is rolled back once the home reports its number. */
function rollBackLateReply (link: HomeLink, { transaction }: HomeReply): void {
  if (transaction !== undefined) {
    void link.rollBack(transaction)
  }
}

/**
 * Creates an executor at a home. Nothing is sent before the first statement.
 *
 * @param context - the rest of the process
 * @param options - the home and the upstream
 * @returns the executor
 */
export function createForwardingExecutor (
  context: Pick<EntryContext, 'homes'>, options: ForwardingOptions
): StatementExecutor {
  const { home, known, used, after } = options
  const link = createHomeLink(context, options)
  const questions = createQuestions(options)
  let transaction: number | undefined
  let endedBecause: string | undefined

  const takeTransaction = (reply: HomeReply): void => {
    transaction = reply.transaction
    if (transaction === undefined) {
      endedBecause = 'its home has ended it'
    }
  }
  const detach = (): number | undefined => {
    const detached = transaction
    transaction = undefined
    return detached
  }
  const begin = async (scope: RequestScope, readOnly: boolean, step: TransactionStep): Promise<Begun> => {
    const sentAt = performance.now()
    const body = { ...questions.first(scope, step), begin: readOnly ? 'read-only' : 'plain' }
    const reply = await link.ask(scope, 'home-statement', body, (late) => rollBackLateReply(link, late))
    if (reply.begun === undefined) {
      throw toRequestError(lostAnswerError(known.upstream, reply), 'not-run', true)
    }
    takeTransaction(reply)
    return {
      begin: timedAnswerOf(sentAt, reply, reply.begun),
      first: reply.answer && timedAnswerOf(sentAt, reply, reply.answer),
      lost: reply.lost && lostAnswerError(known.upstream, reply)
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
        await link.ensureAlive(scope)
      }
      const sentAt = performance.now()
      const body = questions.first(scope, { type: 'work', work })
      const reply = await link.ask(scope, 'home-statement', body, isRead ? ignoreLateReply : undefined)
      return answerIn(known.upstream, sentAt, reply)
    },
    begin,
    step: async (scope, step) => {
      const sentAt = performance.now()
      const mayAbandon = step.type === 'work'
      const body = { ...questions.next(scope, step), transaction }
      const reply = await link.ask(scope, 'home-step', body, mayAbandon ? ignoreLateReply : undefined)
      takeTransaction(reply)
      return answerIn(known.upstream, sentAt, reply)
    },
    release: () => { transaction = undefined },
    discard: () => {
      const detached = detach()
      endedBecause ??= 'its home did not answer'
      if (detached !== undefined) {
        void link.rollBack(detached)
      }
    },
    rollBack: async () => {
      const detached = detach()
      if (detached !== undefined) {
        await link.rollBack(detached)
      }
    }
  }
}
