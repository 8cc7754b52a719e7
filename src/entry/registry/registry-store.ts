/**
 * Reads and writes the registry's table in the store, and tracks from the answers whether the store is available and
 * how far its clock is from this host's monotonic clock.
 */
import { describeThrown, WorkswardError } from '../../core/errors/index.ts'
import type { Logger } from '../../core/logger/index.ts'
import { TIMED_OUT, withTimeout } from '../../core/time/deadline.ts'
import { firstOfOverlapping } from '../../core/time/overlapping.ts'
import type { StorePort, StoreSnapshot } from '../ports/index.ts'
import { EXTENDED_LEASE_MS } from './lease-times.ts'
import type { RegistryState } from './registry-state.ts'
import type { Registry } from './service.ts'
import { createSnapshot } from './snapshot.ts'
import { REGISTRY_TABLE } from './types.ts'

/** Maximum age of this host's last read for which peers may rely on its snapshot, in milliseconds: two reads. */
const MAXIMUM_READ_AGE_MS = 1600
/**
 * Bounds of a write's timeout, in milliseconds, and its multiple of the last read's duration. After a timeout the table
 * is read to find out whether the write was applied, which is faster than to wait longer.
 */
const WRITE_TIMEOUT_MS = { minimum: 300, perRead: 5, maximum: 1500 } as const
/**
 * Interval in milliseconds at which a read without an answer is repeated on another connection while this host is not
 * registered, and the number of attempts. A store that returns does not answer the attempts that were lost before, and
 * the system repeats a lost connection attempt after a second only. The attempts last as long as the first one.
 */
const UNREGISTERED_READ = { intervalMs: 100, maximum: 15 } as const

interface RegistryStoreOptions {
  store: Pick<StorePort, 'list' | 'write'>
  state: Pick<RegistryState, 'current' | 'accept' | 'confirmedAgeMs'>
  logger: Logger
  /** Called after the listeners when the store stops answering. */
  onUnavailable: () => void
}

/** Access to the registry's table, and what its answers show of the store. */
export interface RegistryStore extends
  Pick<Registry, 'refresh' | 'write' | 'onStoreUnavailable' | 'storeNowAtLeastMs' | 'storeNowAtMostMs'> {
  /**
   * Writes rows with the timeout of a write, and does not read the table afterwards.
   *
   * @returns whether the versions matched
   * @throws WorkswardError `PlatformUnavailable`; the rows may have been written
   */
  writeOnly: Registry['write']
  /** Whether peers may rely on this host's reads. */
  isReading: () => boolean
}

/**
 * Computes the timeout of a write.
 *
 * @param readMs - duration of the last read, in milliseconds
 * @returns the timeout, in milliseconds
 */
export function writeTimeoutMs (readMs: number): number {
  return Math.min(WRITE_TIMEOUT_MS.maximum, WRITE_TIMEOUT_MS.minimum + WRITE_TIMEOUT_MS.perRead * readMs)
}

/**
 * Creates the access to the registry's table.
 *
 * @param options - the store, and the state that each read updates
 * @returns the access
 */
export function createRegistryStore ({ store, state, logger, onUnavailable }: RegistryStoreOptions): RegistryStore {
  const unavailableListeners: Array<() => void> = []
  let isAvailable = true
  /** Bounds of the offset from the monotonic clock to the store's clock, in milliseconds. */
  let clockOffsets = { minimum: 0, maximum: 0 }
  /** Duration of the last read, in milliseconds. */
  let readMs = 0
  /** Time of the last successful read, on the monotonic clock. */
  let lastReadAt = -Infinity
  let readInProgress: Promise<boolean> | undefined

  const recordAvailability = (answered: boolean, reason?: string): void => {
    if (answered === isAvailable) {
      return
    }
    isAvailable = answered
    if (!answered) {
      unavailableListeners.forEach((listener) => listener())
      onUnavailable()
    }
    logger.log(answered ? 'info' : 'warn', answered ? 'store.recovered' : 'store.unavailable', {
      reason, confirmedAgeMs: Math.round(state.confirmedAgeMs()), version: state.current.version
    })
  }
  const listOnce = async (onAnswering?: () => void): Promise<StoreSnapshot & { askedAt: number }> => {
    const askedAt = performance.now()
    return { ...await store.list(REGISTRY_TABLE, onAnswering), askedAt }
  }
  const isRegistered = (): boolean => state.confirmedAgeMs() < EXTENDED_LEASE_MS
  const read = async (): Promise<boolean> => {
    try {
      const { rows, version, nowMs, askedAt } =
        isRegistered() ? await listOnce() : await firstOfOverlapping(listOnce, UNREGISTERED_READ)
      lastReadAt = performance.now()
      readMs = lastReadAt - askedAt
      clockOffsets = { minimum: nowMs - performance.now(), maximum: nowMs - askedAt }
      recordAvailability(true)
      state.accept(createSnapshot(rows, version, askedAt, state.current))
      return true
    } catch (thrown) {
      recordAvailability(false, describeThrown(thrown))
      return false
    }
  }
  /** Reads the table; concurrent callers share one read. */
  const refresh = async (): Promise<boolean> => {
    readInProgress ??= read().finally(() => { readInProgress = undefined })
    return await readInProgress
  }
  const writeOnly: Registry['write'] = async (transaction) => {
    const timeoutMs = writeTimeoutMs(readMs)
    const applied = await withTimeout(store.write({ ...transaction, table: REGISTRY_TABLE }), timeoutMs)
    if (applied === TIMED_OUT) {
      const reason = `no answer in ${Math.round(timeoutMs)} ms`
      throw new WorkswardError('PlatformUnavailable', { operation: 'write', reason })
    }
    return applied
  }
  const write: Registry['write'] = async (transaction) => {
    const applied = await writeOnly(transaction)
    // A read that was already in progress may not include the write.
    await readInProgress
    await refresh()
    return applied
  }
  return {
    refresh,
    write,
    writeOnly,
    isReading: () => isAvailable && performance.now() - lastReadAt < MAXIMUM_READ_AGE_MS,
    onStoreUnavailable: (listener) => { unavailableListeners.push(listener) },
    storeNowAtLeastMs: () => performance.now() + clockOffsets.minimum,
    storeNowAtMostMs: () => performance.now() + clockOffsets.maximum
  }
}
