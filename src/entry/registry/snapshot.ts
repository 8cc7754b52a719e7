/** Snapshot of the registry's table, decoded from its rows. */
import { createHash } from 'node:crypto'
import type * as z from 'zod'
import type { StoreRow } from '../ports/index.ts'
import {
  groupRowSchema, hostRowSchema, promotionLeaseRowSchema, registryKeys, type GroupRow, type HostRow,
  type PromotionLeaseRow, type Versioned
} from './types.ts'

/** Row of a host, with its name. */
export interface KnownHost extends HostRow {
  name: string
  /** Version of the row. */
  version: number
}

/** The registry's table at one store version. */
export interface RegistrySnapshot {
  readonly version: number
  /** Time when the rows were requested from the store, on the monotonic clock, in milliseconds. */
  readonly askedAt: number
  readonly rows: StoreRow[]
  /** Digest of the keys and versions of all rows; equal digests mean equal rows. */
  readonly digest: string
  readonly hosts: KnownHost[]
  /** Hosts that are not retired. */
  readonly liveHosts: KnownHost[]
  group: (name: string) => Versioned<GroupRow>
  /** Groups whose primary may not be used, with the closed epoch. */
  readonly closedGroups: Array<{ group: string, epoch: number }>
  /** Newest epoch of each group that is over: that of a closed row, or the one before that of an open row. */
  readonly endedEpochs: Array<{ group: string, epoch: number }>
  readonly promotionLease: Versioned<PromotionLeaseRow>
}

const HOST_PREFIX = registryKeys.host('')
const GROUP_PREFIX = registryKeys.group('')

/** Caches decoded hosts by row, so that an unchanged row is decoded only once. */
const decodedHosts = new WeakMap<StoreRow, KnownHost>()

function decodeHost (row: StoreRow): KnownHost {
  const cached = decodedHosts.get(row)
  if (cached !== undefined) {
    return cached
  }
  const host: KnownHost = {
    ...hostRowSchema.parse(JSON.parse(row.value)), name: row.key.slice(HOST_PREFIX.length), version: row.version
  }
  decodedHosts.set(row, host)
  return host
}

/** Replaces rows of equal version by the cached objects. */
function reuseRows (rows: StoreRow[], cached: StoreRow[]): StoreRow[] {
  const byKey = new Map(cached.map((row) => [row.key, row]))
  return rows.map((row) => {
    const previous = byKey.get(row.key)
    return previous?.version === row.version ? previous : row
  })
}

/** Decodes the hosts. Returns the previous lists if no host has changed, which preserves values cached by list. */
function decodeHosts (rows: StoreRow[], previous?: RegistrySnapshot): Pick<RegistrySnapshot, 'hosts' | 'liveHosts'> {
  const hosts = rows.filter(({ key }) => key.startsWith(HOST_PREFIX)).map(decodeHost)
  const isSame = previous?.hosts.length === hosts.length && hosts.every((host, index) => host === previous.hosts[index])
  return isSame
    ? { hosts: previous.hosts, liveHosts: previous.liveHosts }
    : { hosts, liveHosts: hosts.filter(({ retiredUntilMs }) => retiredUntilMs === undefined) }
}

/**
 * Creates a snapshot. Only rows that have changed since the previous snapshot are decoded.
 *
 * @param newRows - all rows of the table
 * @param version - store version of the rows
 * @param askedAt - time when the rows were requested from the store, on the monotonic clock
 * @param previous - the previous snapshot
 * @returns the snapshot
 */
export function createSnapshot (
  newRows: StoreRow[], version: number, askedAt: number, previous?: RegistrySnapshot
): RegistrySnapshot {
  const rows = previous === undefined ? newRows : reuseRows(newRows, previous.rows)
  const digest = digestOf(rows)
  if (previous?.digest === digest) {
    return { ...previous, version, askedAt }
  }
  const byKey = new Map(rows.map((row) => [row.key, row]))
  const decode = <Schema extends z.ZodType>(key: string, schema: Schema): Versioned<z.infer<Schema>> => {
    const row = byKey.get(key)
    return row === undefined
      ? { row: undefined, version: 0 }
      : { row: schema.parse(JSON.parse(row.value)), version: row.version }
  }
  const groups = new Map<string, Versioned<GroupRow>>()
  const groupRows = rows.filter(({ key }) => key.startsWith(GROUP_PREFIX)).map(({ key, value }) =>
    ({ group: key.slice(GROUP_PREFIX.length), row: groupRowSchema.parse(JSON.parse(value)) }))
  return {
    version,
    askedAt,
    rows,
    digest,
    ...decodeHosts(rows, previous),
    group: (name) => {
      const cached = groups.get(name) ?? decode(registryKeys.group(name), groupRowSchema)
      groups.set(name, cached)
      return cached
    },
    closedGroups: groupRows.filter(({ row }) => row.state === 'closed')
      .map(({ group, row }) => ({ group, epoch: row.epoch })),
    endedEpochs: groupRows.map(({ group, row }) => ({ group, epoch: row.state === 'closed' ? row.epoch : row.epoch - 1 }))
      .filter(({ epoch }) => epoch > 0),
    promotionLease: decode(registryKeys.promotionLease, promotionLeaseRowSchema)
  }
}

function digestOf (rows: StoreRow[]): string {
  return createHash('sha256').update(rows.map((row) => `${row.key} ${row.version}`).join('\n')).digest('base64')
}

/** Snapshot of a host that has not read the registry yet. */
export const EMPTY_SNAPSHOT: RegistrySnapshot = createSnapshot([], -1, -Infinity)
