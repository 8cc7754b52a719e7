/** Executes statements at an upstream by forwarding them to one of its homes. */
import { toRequestError } from '../../core/errors/index.ts'
import type { KnownUpstream } from '../directory/index.ts'
import { FORWARDING_GRACE_MS, type HomeReply, type ForwardRequest } from '../homes/index.ts'
import type { UpstreamResources } from '../pools/index.ts'
import type { KnownHost } from '../registry/index.ts'
import type { LogPosition } from '../../positions/position.ts'
import { encodeStep, lostAnswerError, toTimedAnswer } from './forwarded-steps.ts'
import type { TimedAnswer } from './run-statement.ts'
import { ROLLBACK_MS, type BeginResult, type StatementExecutor, type TransactionStep } from './statement-executor.ts'
import { addTimeSpent } from './time-spent.ts'
import type { EntryContext, RequestScope } from './types.ts'

/** Destination of forwarded statements. */
interface ForwardingOptions {
  home: KnownHost
  target: KnownUpstream
  resources: UpstreamResources
  /** Position that the upstream's log must have reached. */
  after?: LogPosition
  /** Whether a single read that waits for its answer is to be abandoned, by the time since it was sent. */
  shouldAbandon?: ForwardRequest['shouldAbandon']
  /** Epoch in which the upstream is the primary; set only if the statements require the primary. */
  epoch?: number
}

/** Client of one home for one request or transaction. */
interface HomeLink {
  /** Sends a message and waits for the reply. A home that fails is not chosen again for the request. */
  ask: (
    scope: RequestScope, type: string, body: unknown, onLateReply?: ForwardRequest['onLateReply'],
    shouldAbandon?: ForwardRequest['shouldAbandon']
  ) => Promise<HomeReply>
  /** Checks that the home responds, since a write sent to an unresponsive home would be in doubt. */
  ensureAlive: (scope: RequestScope) => Promise<void>
  /** Rolls back an open transaction at the home; never rejects. */
  rollBack: (transaction: number) => Promise<void>
}

/** Ignores the late reply to an abandoned step: the read was retried, or the transaction is rolled back. */
function ignoreLateReply (): void {}

function createHomeLink (
  { homes }: Pick<EntryContext, 'homes'>, { home, target, resources }: ForwardingOptions
): HomeLink {
  const { upstream } = target
  const avoidOnError = async <Result>(scope: RequestScope, call: () => Promise<Result>): Promise<Result> => {
    try {
      return await call()
    } catch (thrown) {
      scope.triedHomes.add(home.name)
      throw thrown
    }
  }
  return {
    ask: async (scope, type, body, onLateReply, shouldAbandon) => {
      scope.deadline.check('not-run', `waiting to be forwarded to ${home.name}`)
      scope.sent = true
      scope.home = home.name
      const sentAt = performance.now()
      const timeoutMs = scope.deadline.leftMs + FORWARDING_GRACE_MS
      return await avoidOnError(scope, async () => {
        const { priority } = scope
        const reply = await homes.forward(home, {
          upstream, type, body, priority, timeoutMs, onLateReply, shouldAbandon
        })
        resources.health.recordAnswer()
        const tookMs = performance.now() - sentAt
        resources.health.recordLatency(tookMs)
        addTimeSpent(scope, 'homeMs', tookMs - (reply.ranMs ?? 0))
        return reply
      })
    },
    ensureAlive: async (scope) => await avoidOnError(scope, async () => await homes.ensureAlive(home)),
    rollBack: async (transaction) => {
      try {
        const body = { transaction }
        await homes.forward(home, { upstream, type: 'home-rollback', body, timeoutMs: ROLLBACK_MS })
      } catch {
        // The home ends transactions that are idle or whose link has closed.
      }
    }
  }
}

/** Builds the messages of one request or transaction. Session values are included only when they have changed. */
function createMessages ({ target, after, epoch }: ForwardingOptions) {
  let sentValues: RequestScope['values'] | undefined
  const next = (scope: RequestScope, step: TransactionStep) => {
    const hasChanged = sentValues === undefined ? scope.values.size > 0 : scope.values !== sentValues
    sentValues = scope.values
    return {
      id: scope.requestId,
      leftMs: Math.round(scope.deadline.leftMs),
      inTimeMs: Math.round(scope.softDeadline - performance.now()),
      ...hasChanged && { values: [...scope.values.values()].map(({ name, text }) => [name, text]) },
      step: encodeStep(step)
    }
  }
  const first = (scope: RequestScope, step: TransactionStep) => ({
    ...next(scope, step),
    upstream: target.upstream,
    organisation: scope.organisation ?? '',
    version: scope.version,
    priority: scope.priority,
    costMs: Math.round(scope.costMs),
    ...epoch !== undefined && { epoch },
    ...after !== undefined && { after }
  })
  return { next, first }
}

/** Returns the answer in a reply; throws RequestError if there is none. */
function extractAnswer (upstream: string, sentAt: number, reply: HomeReply): TimedAnswer {
  if (reply.answer === undefined) {
    throw lostAnswerError(upstream, reply)
  }
  return toTimedAnswer(sentAt, reply, reply.answer)
}

/** Rolls back a transaction whose begin was abandoned, once a late reply reports its number. */
function rollBackLateTransaction (link: HomeLink, { transaction }: HomeReply): void {
  if (transaction !== undefined) {
    void link.rollBack(transaction)
  }
}

/**
 * Creates an executor that forwards to a home. Nothing is sent before the first statement.
 *
 * @param context - services of the entry process
 * @param options - the home and the upstream
 * @returns the executor
 */
export function createForwardingExecutor (
  context: Pick<EntryContext, 'homes'>, options: ForwardingOptions
): StatementExecutor {
  const { home, target, resources, after } = options
  const link = createHomeLink(context, options)
  const messages = createMessages(options)
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
  const begin = async (scope: RequestScope, readOnly: boolean, step: TransactionStep): Promise<BeginResult> => {
    const sentAt = performance.now()
    const body = { ...messages.first(scope, step), begin: readOnly ? 'read-only' : 'plain' }
    const reply = await link.ask(scope, 'home-statement', body, (late) => rollBackLateTransaction(link, late))
    if (reply.begun === undefined) {
      throw toRequestError(lostAnswerError(target.upstream, reply), 'not-run', true)
    }
    takeTransaction(reply)
    return {
      beginAnswer: toTimedAnswer(sentAt, reply, reply.begun),
      firstAnswer: reply.answer && toTimedAnswer(sentAt, reply, reply.answer),
      firstError: reply.lost && lostAnswerError(target.upstream, reply)
    }
  }
  return {
    target,
    resources,
    after,
    home: home.name,
    get brokenBecause () { return endedBecause },
    runSingle: async (scope, statement) => {
      const isRead = statement.access === 'read'
      if (!isRead) {
        await link.ensureAlive(scope)
      }
      const sentAt = performance.now()
      const body = messages.first(scope, { type: 'statement', statement })
      const reply = isRead
        ? await link.ask(scope, 'home-statement', body, ignoreLateReply, options.shouldAbandon)
        : await link.ask(scope, 'home-statement', body)
      return extractAnswer(target.upstream, sentAt, reply)
    },
    begin,
    step: async (scope, step) => {
      const sentAt = performance.now()
      const mayAbandon = step.type === 'statement'
      const body = { ...messages.next(scope, step), transaction }
      const reply = await link.ask(scope, 'home-step', body, mayAbandon ? ignoreLateReply : undefined)
      takeTransaction(reply)
      return extractAnswer(target.upstream, sentAt, reply)
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
