/** One caller's session: its values, its prepared statements, its floor, and its transaction. */
import { RequestError, toRequestError } from '../../core/errors/index.ts'
import { Deadline } from '../../core/time/deadline.ts'
import {
  verdictOf, type CallerHandler, type CallerLink, type CallerRequest, type CallerStatement, type DesiredState,
  type Organisation, type PreparedShape, type StatementAnswer, type TransactionState
} from '../ports/index.ts'
import { formatPosition, laterPosition, type LogPosition } from '../../positions/position.ts'
import { doneAnswer, failureAnswer, failureOf } from './answers.ts'
import { findCallerRoute, mayGoOn, type CallerRoute } from './caller-route.ts'
import { RETRY_AFTER_MS, STATE_WAIT_MS } from './consts.ts'
import { placeRead, serveRead } from './reads.ts'
import { reportRequest, type RequestTrace } from './request-log.ts'
import { createTransaction, type CallerTransaction } from './transaction.ts'
import type { DataWork, EntryContext, RequestScope } from './types.ts'
import { serveWrite } from './writes.ts'

/** Options of {@link createSession}. */
interface SessionOptions {
  context: EntryContext
  link: CallerLink
  desiredState: () => DesiredState | undefined
  /** Waits for the first desired state, for a bounded time; returns whether there is one. */
  stateKnown: (timeoutMs: number) => Promise<boolean>
  /** Told of each request's end. */
  onDone: (outcome: string, durationMs: number) => void
  onClose: () => void
}

/** A caller's session. */
export interface Session extends CallerHandler {
  readonly busy: boolean
  /** Time without a request or an open transaction, in milliseconds. */
  readonly idleMs: number
  readonly inTransaction: boolean
  /** Ends the open transaction from this side. */
  abortTransaction: (reason: string) => void
  /** Ends the connection, after the answer in progress. */
  end: () => void
}

/** Values and prepared statements that a session may have; more is refused, so that memory stays bounded. */
const MAXIMUM_NAMES = 256

/**
 * Creates a session.
 *
 * @param options - the caller and the rest of the process
 * @returns the session
 */
export function createSession (options: SessionOptions): Session {
  const { context, link, desiredState } = options
  const values = new Map<string, string>()
  const prepared = new Map<string, PreparedShape>()
  let transaction: CallerTransaction | undefined
  let floor: LogPosition | undefined
  let busy = false
  let closed = false
  let idleSince = performance.now()
  let failureTold = false
  let trace: RequestTrace = {}

  const stateNow = (): TransactionState => transaction === undefined ? 'idle' : transaction.failed ? 'failed' : 'open'
  /** A process that has just started cannot say yet which databases are declared. */
  const awaitState = async (): Promise<void> => {
    if (desiredState() === undefined && !await options.stateKnown(STATE_WAIT_MS)) {
      throw new RequestError('not-run', 'NoUpstream', {
        group: link.database, reason: 'no desired state is known here yet', retryAfterMs: RETRY_AFTER_MS
      })
    }
  }
  const findRoute = (): CallerRoute => findCallerRoute(desiredState(), link)
  const scopeOf = (id: string, { route, organisation }: CallerRoute): RequestScope => {
    const scope: RequestScope = {
      requestId: id,
      group: route.group,
      organisation: organisation.name,
      version: desiredState()?.version ?? 0,
      priority: route.priority,
      database: route.database,
      costMs: context.costs.of(route.database),
      values,
      deadline: new Deadline(route.timeoutMs),
      inTimeUntil: performance.now() + route.targetMs,
      attempts: 0,
      triedHomes: new Set()
    }
    trace = { scope }
    return scope
  }
  const raiseFloor = ({ position }: StatementAnswer): void => {
    if (position !== undefined) {
      floor = floor === undefined ? position : laterPosition(floor, position)
    }
  }

  const workOf = (id: string, statement: CallerStatement): DataWork => {
    if (statement.type === 'data') {
      const { access, text } = statement
      return { type: 'data', requestId: id, access, text }
    }
    if (statement.type !== 'execute') {
      throw new Error(`a ${statement.type} is no work for an upstream`)
    }
    const { parameters } = statement
    const shape = prepared.get(statement.name)!
    return { type: 'execute', requestId: id, access: shape.access, prepared: shape, parameters }
  }

  /** What no upstream has run does not count against the limit of its organisation. */
  const giveBackUnused = (organisation: Organisation, answer: StatementAnswer): StatementAnswer => {
    if (answer.failure !== undefined && verdictOf(answer.failure.kind) === 'not-run') {
      context.limits.giveBack(organisation)
    }
    return answer
  }
  const runSingle = async (id: string, work: DataWork): Promise<StatementAnswer> => {
    const arrivedAt = performance.now()
    const callerRoute = findRoute()
    const { route, organisation } = callerRoute
    const scope = scopeOf(id, callerRoute)
    await context.limits.take(organisation)
    try {
      if (work.access === 'write') {
        const answer = await serveWrite(context, scope, work)
        if (answer.failure === undefined) {
          raiseFloor(answer)
        }
        return giveBackUnused(organisation, answer)
      }
      const place = await placeRead(context, route.group, route.freshness, arrivedAt, floor)
      trace.floor = place.type === 'after' ? formatPosition(place.position) : 'primary'
      const answer = await serveRead(context, scope, work, place)
      trace.upstream = answer.upstream
      return giveBackUnused(organisation, answer)
    } catch (thrown) {
      if (toRequestError(thrown, 'may-have-run').verdict === 'not-run') {
        context.limits.giveBack(organisation)
      }
      return { ...failureAnswer('busy', '', 'idle'), failure: failureOf(thrown, work.access === 'read') }
    }
  }
  /** A transaction goes on by the route with which it began, but not for a caller whose key is another one's now. */
  const endWithoutKey = (open: CallerTransaction): void => {
    if (!mayGoOn(desiredState(), open, link.keyDigest)) {
      const reason = 'its organisation does not hold its key any more'
      open.abort(reason)
      throw new RequestError('not-run', 'TransactionLost', { reason })
    }
  }
  const runInTransaction = async (id: string, open: CallerTransaction, work: DataWork): Promise<StatementAnswer> => {
    const scope = scopeOf(id, open)
    try {
      endWithoutKey(open)
      return await open.execute(scope, work)
    } catch (thrown) {
      if (!open.begun) {
        context.limits.giveBack(open.organisation)
      }
      return { ...failureAnswer('aborted', '', 'failed'), failure: failureOf(thrown, true) }
    } finally {
      trace.upstream = open.upstream
    }
  }
  const execute = async (id: string, statement: CallerStatement): Promise<StatementAnswer> => {
    if (transaction?.failed === true) {
      return refuseInFailed()
    }
    const work = workOf(id, statement)
    return transaction === undefined ? await runSingle(id, work) : await runInTransaction(id, transaction, work)
  }
  /** A transaction that ended between two statements says so to the next one; after that only its end is taken. */
  const refuseInFailed = (): StatementAnswer => failureTold
    ? failureAnswer('malformed', 'the transaction has failed; roll it back', 'failed')
    : failureAnswer('aborted', `the transaction was rolled back: ${transaction?.failedBecause ?? ''}`, 'failed')

  const begin = async (readOnly: boolean): Promise<StatementAnswer> => {
    if (transaction !== undefined) {
      return failureAnswer('malformed', 'a transaction is open', stateNow())
    }
    const { route, organisation } = findRoute()
    await context.limits.take(organisation)
    failureTold = false
    transaction = createTransaction({
      context,
      route,
      organisation,
      readOnly,
      place: readOnly
        ? await placeRead(context, route.group, route.freshness, performance.now(), floor)
        : { type: 'primary' },
      idleMs: desiredState()?.transactionIdleMs ?? route.timeoutMs
    })
    return doneAnswer('open')
  }
  const commit = async (id: string, text: string): Promise<StatementAnswer> => {
    const ending = transaction
    if (ending === undefined) {
      return failureAnswer('malformed', 'no transaction is open', 'idle')
    }
    transaction = undefined
    if (ending.failed) {
      return failureAnswer('aborted', 'the transaction had failed; it was rolled back', 'idle')
    }
    const scope = scopeOf(id, ending)
    trace.upstream = ending.upstream
    try {
      endWithoutKey(ending)
      const answer = await ending.commit(scope, text)
      if (answer.failure === undefined && ending.wrote) {
        raiseFloor(answer)
      }
      return { ...answer, state: 'idle' }
    } catch (thrown) {
      return { ...failureAnswer('aborted', '', 'idle'), failure: failureOf(thrown, !ending.wrote) }
    }
  }
  const rollBack = (): StatementAnswer => {
    if (transaction === undefined) {
      return failureAnswer('malformed', 'no transaction is open', 'idle')
    }
    transaction.rollBack()
    transaction = undefined
    return doneAnswer('idle')
  }
  const addName = <Value>(map: Map<string, Value>, name: string, value: Value): StatementAnswer => {
    if (transaction?.failed === true) {
      return refuseInFailed()
    }
    if (map.size >= MAXIMUM_NAMES && !map.has(name)) {
      return failureAnswer('too-large', `a session may have ${MAXIMUM_NAMES} names`, stateNow())
    }
    map.set(name, value)
    return doneAnswer(stateNow())
  }

  const handlers: {
    [Type in CallerStatement['type']]:
    (statement: Extract<CallerStatement, { type: Type }>, id: string) => Promise<StatementAnswer> | StatementAnswer
  } = {
    begin: async ({ readOnly }) => await begin(readOnly),
    commit: async ({ text }, id) => await commit(id, text),
    rollback: () => rollBack(),
    data: async (statement, id) => await execute(id, statement),
    execute: async (statement, id) => prepared.has(statement.name)
      ? await execute(id, statement)
      : failureAnswer('unknown-statement', `no statement '${statement.name}' is prepared`, stateNow()),
    set: ({ name, value }) => addName(values, name, value),
    prepare: ({ name, prepared: shape }) => addName(prepared, name, shape),
    deallocate: ({ name }) => {
      prepared.delete(name)
      return doneAnswer(stateNow())
    },
    malformed: ({ reason }) => failureAnswer('malformed', reason, stateNow())
  }
  const answerOf = async ({ id, statement }: CallerRequest): Promise<StatementAnswer> => {
    try {
      await awaitState()
      const handle = handlers[statement.type] as (statement: CallerStatement, id: string) => Promise<StatementAnswer>
      return await handle(statement, id)
    } catch (thrown) {
      const failure = failureOf(thrown, true)
      return { rows: [], failure, state: stateNow() }
    }
  }
  return {
    get busy () { return busy },
    get idleMs () { return busy || transaction !== undefined ? 0 : performance.now() - idleSince },
    get inTransaction () { return transaction !== undefined },
    serve: async (request) => {
      const startedAt = performance.now()
      busy = true
      trace = {}
      const answer = await answerOf(request)
      busy = false
      idleSince = performance.now()
      failureTold ||= answer.state === 'failed'
      const durationMs = performance.now() - startedAt
      options.onDone(answer.failure?.kind ?? 'done', durationMs)
      reportRequest(context, link.database, request, answer, trace, durationMs)
      if (closed) {
        transaction?.rollBack()
      }
      return answer
    },
    close: () => {
      closed = true
      transaction?.rollBack()
      transaction = busy ? transaction : undefined
      options.onClose()
    },
    abortTransaction: (reason) => transaction?.abort(reason),
    end: link.end
  }
}
