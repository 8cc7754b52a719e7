/** The scopes of statements and transactions that this host runs for other hosts. */
import { RequestError } from '../../core/errors/index.ts'
import type { MemoryBudget } from '../../core/memory/memory-budget.ts'
import { noMemory } from '../../core/memory/no-memory.ts'
import { Deadline } from '../../core/time/deadline.ts'
import type { KnownUpstream } from '../directory/index.ts'
import type { HomeStatement, HomeStep } from '../homes/index.ts'
import { decodeValues } from './forwarded-steps.ts'
import { RETRY_PAUSE_MS } from './retry-rules.ts'
import { VALUE_BYTES } from './session-names.ts'
import type { EntryContext, RequestScope } from './types.ts'
import { acceptsNewWork } from './wait-rules.ts'

/**
 * Creates the scope of a statement, or of a transaction that begins with it.
 *
 * @param context - the upstreams, and when a draining one gets no new work
 * @param message - the message of the other host
 * @returns the scope, and the upstream
 * @throws RequestError `NoUpstream` if the upstream is unknown or takes no new work
 */
export function createScope (
  context: Pick<EntryContext, 'directory' | 'drainMs'>, message: HomeStatement
): { target: KnownUpstream, scope: RequestScope } {
  const { id, upstream, organisation, version, priority, costMs, leftMs, inTimeMs, values = [] } = message
  const target = context.directory.get(upstream)
  if (target === undefined || !acceptsNewWork(target, context.drainMs, performance.now())) {
    throw new RequestError('not-run', 'NoUpstream', {
      group: target?.group ?? 'unknown', reason: `upstream ${upstream} is leaving`, retryAfterMs: RETRY_PAUSE_MS
    })
  }
  const scope: RequestScope = {
    requestId: id,
    group: target.group,
    organisation,
    version,
    priority,
    costMs,
    values: decodeValues(values),
    deadline: new Deadline(leftMs),
    softDeadline: performance.now() + inTimeMs,
    attempts: 0,
    beginsTransaction: message.begin !== undefined,
    triedHomes: new Set()
  }
  return { target, scope }
}

/**
 * Reserves the memory of the session values of a transaction that this host holds for another one.
 *
 * @param budget - the memory that names may take on this host
 * @param scope - the transaction, with its values
 * @throws RequestError `NoMemory` with verdict `not-run`
 */
export function keepValues (budget: MemoryBudget, scope: Pick<RequestScope, 'values' | 'valuesHold'>): void {
  let bytes = 0
  scope.values.forEach(({ name, text }) => { bytes += VALUE_BYTES + name.length + text.length })
  const hold = scope.valuesHold ?? budget.open('names')
  hold.give(hold.bytes)
  if (!hold.take(bytes)) {
    throw noMemory(budget, 'names', 'the session', bytes)
  }
  scope.valuesHold = hold
}

/**
 * Updates the scope of a transaction for its next step.
 *
 * @param budget - the memory that names may take on this host
 * @param scope - the scope
 * @param step - the message of the other host
 * @throws RequestError `NoMemory` with verdict `not-run`
 */
export function updateScope (
  budget: MemoryBudget, scope: RequestScope, { id, leftMs, inTimeMs, values }: HomeStep
): void {
  scope.requestId = id
  scope.deadline = new Deadline(leftMs)
  scope.softDeadline = performance.now() + inTimeMs
  if (values !== undefined) {
    scope.values = decodeValues(values)
    keepValues(budget, scope)
  }
}
