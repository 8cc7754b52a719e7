/**
 * Reads and writes the registry's table in the store. It owns what only the store's answers show: whether the store
 * answers this host, when it last did, and how far its clock is from this host's steady clock.
 */
import { describeThrown, WorkswardError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'
import type { StorePort } from '../ports/index.ts'
import type { RegistryState } from './registry-state.ts'
import type { Registry } from './service.ts'
import { createSnapshot } from './snapshot.ts'
import { REGISTRY_TABLE } from './types.ts'

/**
 * Age of the last answer of the store to a host up to which it counts as one that reads for others, in milliseconds:
 * two reads. What it has got from another host would be too old for the next one.
 */
const READING_MS = 1600
/**
 * Time that a write has to be answered, in milliseconds: a fixed part and a multiple of what the last read took. A
 * write takes twice as long as a read. Without an answer the table is read to see whether the write was applied, which
 * is quicker than to wait.
 */
const WRITE_WAIT_MS = { least: 300, perRead: 5, greatest: 1500 } as const

/** Options of {@link createRegistryStore}. */
interface RegistryStoreOptions {
  store: Pick<StorePort, 'list' | 'write'>
  state: Pick<RegistryState, 'current' | 'accept' | 'confirmedAgeMs'>
  logger: Logger
  /** Called after the listeners when the store has stopped answering. */
  onLost: () => void
}

/** The registry's table in the store, with what its answers show. */
export interface RegistryStore extends
  Pick<Registry, 'refresh' | 'write' | 'onStoreLost' | 'storeNowAtLeastMs' | 'storeNowAtMostMs'> {
  /** Whether others may rely on what this host reads. */
  isReading: () => boolean
}

/**
 * How long a write may take before the table is read instead of waiting on.
 *
 * @param readMs - time that the last read took, in milliseconds
 * @returns the timeout, in milliseconds
 */
export function writeTimeoutMs (readMs: number): number {
  return Math.min(WRITE_WAIT_MS.greatest, WRITE_WAIT_MS.least + WRITE_WAIT_MS.perRead * readMs)
}

/**
 * Creates the access to the table.
 *
 * @param options - the store, and the state that each read updates
 * @returns the access
 */
export function createRegistryStore ({ store, state, logger, onLost }: RegistryStoreOptions): RegistryStore {
  const lostListeners: Array<() => void> = []
  let storeAnswers = true
  /** The store's clock less the steady clock, in milliseconds: the least and the most it can be. */
  let clockOffsets = { least: 0, most: 0 }
  /** Time that the last read took, in milliseconds. */
  let readMs = 0
  /** When the store last answered a read, on the steady clock. */
  let readAt = -Infinity
  let reading: Promise<boolean> | undefined

  const recordStore = (answers: boolean, reason?: string): void => {
    if (answers === storeAnswers) {
      return
    }
    storeAnswers = answers
    if (!answers) {
      lostListeners.forEach((listener) => listener())
      onLost()
    }
    logger.log(answers ? 'info' : 'warn', answers ? 'store.regained' : 'store.lost', {
      reason, confirmedAgeMs: Math.round(state.confirmedAgeMs()), version: state.current.version
    })
  }
  const read = async (): Promise<boolean> => {
    const askedAt = performance.now()
    try {
      const { rows, version, nowMs } = await store.list(REGISTRY_TABLE)
      readAt = performance.now()
      readMs = readAt - askedAt
      clockOffsets = { least: nowMs - performance.now(), most: nowMs - askedAt }
      recordStore(true)
      state.accept(createSnapshot(rows, version, askedAt, state.current))
      return true
    } catch (thrown) {
      recordStore(false, describeThrown(thrown))
      return false
    }
  }
  /** Reads the table; requests that arrive during a read share it. */
  const refresh = async (): Promise<boolean> => {
    reading ??= read().finally(() => { reading = undefined })
    return await reading
  }
  const write: Registry['write'] = async (transaction) => {
    const waitMs = writeTimeoutMs(readMs)
    const applied = await withTimeout(store.write({ ...transaction, table: REGISTRY_TABLE }), waitMs)
    if (applied === TIMED_OUT) {
      const reason = `no answer in ${Math.round(waitMs)} ms`
      throw new WorkswardError('PlatformUnavailable', { operation: 'write', reason })
    }
    // A read that was in progress may not show the write yet.
    await reading
    await refresh()
    return applied
  }
  return {
    refresh,
    write,
    isReading: () => storeAnswers && performance.now() - readAt < READING_MS,
    onStoreLost: (listener) => { lostListeners.push(listener) },
    storeNowAtLeastMs: () => performance.now() + clockOffsets.least,
    storeNowAtMostMs: () => performance.now() + clockOffsets.most
  }
}
