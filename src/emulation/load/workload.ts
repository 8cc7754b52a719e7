/** Runs concurrent sessions, each of which executes operations sequentially and switches between proxies. */
import { pause } from '../../core/time/deadline.ts'
import { createCaller, readOutcome, type CallerTarget } from './caller.ts'
import type { HistoryEvent, Outcome } from './history.ts'
import { OPERATIONS, type OperationType, type Session } from './operations.ts'
import { createRandom, type RandomSource } from './random.ts'

/** Options of {@link runWorkload}. */
export interface WorkloadOptions {
  target: CallerTarget
  seed: number
  sessions: number
  /** Duration of the workload, in milliseconds. */
  durationMs: number
  /** Relative weight of each operation. */
  mix: Record<OperationType, number>
  /** Probability that a session picks a proxy at random before an operation. */
  roaming: number
  /** Kinds of session handles, assigned to the sessions in rotation. */
  handles: Array<Session['handle']>
  /** Pause between two operations of a session, in milliseconds. */
  thinkMs: number
  /** Called with each event when it ends. */
  onEvent?: (event: HistoryEvent) => void
  /** Stops the workload early. */
  stopping?: AbortSignal
}

/** A read-mostly mix, as data grids produce. */
export const GRID_MIX: Record<OperationType, number> = {
  purchase: 5, 'read-own': 80, transfer: 0, total: 0, echo: 15
}
/** A mix that exercises every guarantee. */
export const FULL_MIX: Record<OperationType, number> = {
  purchase: 30, 'read-own': 35, transfer: 15, total: 10, echo: 10
}

/** Number of retries of a write with an unknown outcome, under the same key. */
const REPEATS = 2
/** Pause after a failed operation, in milliseconds. */
const FAILURE_PAUSE_MS = 20

/**
 * Runs a workload to its end.
 *
 * @param options - target, sessions and operations
 * @returns the events, in the order in which they ended
 */
export async function runWorkload (options: WorkloadOptions): Promise<HistoryEvent[]> {
  const events: HistoryEvent[] = []
  const startedAt = performance.now()
  const record = (event: HistoryEvent): void => {
    events.push(event)
    options.onEvent?.(event)
  }
  const workers = Array.from({ length: options.sessions }, async (_value, index) =>
    await runSession(options, index, startedAt, record))
  await Promise.all(workers)
  return events
}

async function runSession (
  options: WorkloadOptions, index: number, startedAt: number, record: (event: HistoryEvent) => void
): Promise<void> {
  const { target, durationMs, roaming, thinkMs } = options
  const random = createRandom(options.seed * 1000 + index)
  const id = `s${options.seed}-${index}`
  let requests = 0
  let sequence = 0
  const caller = createCaller(target, index % target.proxies.length)
  const session: Session = {
    id,
    caller,
    random,
    handle: options.handles[index % options.handles.length]!,
    nextRequest: () => `${id}-${++requests}`
  }
  const finished = (): boolean => performance.now() - startedAt >= durationMs || options.stopping?.aborted === true
  while (!finished()) {
    if (random.chance(roaming) && (session.handle !== 'connection' || sequence === 0)) {
      await caller.roam(random.integer(0, target.proxies.length - 1))
    }
    const { operation, run } = OPERATIONS[chooseOperation(options.mix, random)](session)
    const begunAt = performance.now() - startedAt
    const outcome = await attempt(run, operation.type === 'purchase' ? REPEATS : 0)
    record({
      session: id,
      sequence: sequence++,
      proxy: caller.proxy,
      startedAt: begunAt,
      endedAt: performance.now() - startedAt,
      operation,
      outcome
    })
    if (outcome.type === 'refused') {
      await roamAfterFailure(session, target)
      await pause(FAILURE_PAUSE_MS)
    }
    await pause(thinkMs)
  }
  caller.close()
}

/**
 * Retries an operation with an unknown outcome under the same key. A refused retry says nothing about the first
 * attempt, so the outcome stays unknown until an attempt succeeds.
 */
async function attempt (run: () => Promise<void>, repeats: number): Promise<Outcome> {
  let outcome: Outcome = { type: 'done' }
  for (let left = repeats; left >= 0; left--) {
    try {
      await run()
      return { type: 'done' }
    } catch (thrown) {
      const latest = readOutcome(thrown)
      if (outcome.type === 'done') {
        outcome = latest
      }
      if (latest.type === 'refused' && latest.verdict === 'not-run' && outcome === latest) {
        return outcome
      }
      await pause(FAILURE_PAUSE_MS)
    }
  }
  return outcome
}

/** Switches proxies, unless the connection is the session and reconnecting would end it. */
async function roamAfterFailure ({ handle, caller, random }: Session, target: CallerTarget): Promise<void> {
  if (handle !== 'connection') {
    await caller.roam(random.integer(0, target.proxies.length - 1))
  }
}

function chooseOperation (mix: Record<OperationType, number>, random: RandomSource): OperationType {
  const entries = Object.entries(mix) as Array<[OperationType, number]>
  let left = random.integer(1, entries.reduce((sum, [, weight]) => sum + weight, 0))
  for (const [type, weight] of entries) {
    left -= weight
    if (left <= 0) {
      return type
    }
  }
  return entries[0]![0]
}
