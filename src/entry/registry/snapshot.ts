/** What is known of the registry table, and how old that knowledge is. */
import { createHash } from 'node:crypto'
import type * as z from 'zod'
import type { StoreRow } from '../ports/index.ts'
import {
  groupRowSchema, hostRowSchema, promotionLeaseRowSchema, registryKeys, type GroupRow, type HostRow,
  type PromotionLeaseRow, type Versioned
} from './types.ts'

/** A host and its name. */
export interface KnownHost extends HostRow {
  name: string
  /** Version of its row. */
  version: number
}

/** The registry as of one moment. */
export interface RegistrySnapshot {
  readonly version: number
  /** When the question whose answer it is was sent, on the steady clock, in milliseconds. */
  readonly askedAt: number
  readonly rows: StoreRow[]
  /** Names the rows and their versions: equal digests mean equal rows. */
  readonly digest: string
  readonly hosts: KnownHost[]
  /** Hosts that are not retired. */
  readonly liveHosts: KnownHost[]
  group: (name: string) => Versioned<GroupRow>
  /** Groups at whose primaries nobody may work, and the epoch that is closed. */
  readonly closedGroups: Array<{ group: string, epoch: number }>
  readonly promotionLease: Versioned<PromotionLeaseRow>
}

const HOST_PREFIX = registryKeys.host('')
const GROUP_PREFIX = registryKeys.group('')

/** Decoded hosts by their rows: a row that has not changed is decoded once. */
const decodedHosts = new WeakMap<StoreRow, KnownHost>()

function decodeHost (row: StoreRow): KnownHost {
  const known = decodedHosts.get(row)
  if (known !== undefined) {
    return known
  }
  const host: KnownHost = {
    ...hostRowSchema.parse(JSON.parse(row.value)), name: row.key.slice(HOST_PREFIX.length), version: row.version
  }
  decodedHosts.set(row, host)
  return host
}

/** Replaces rows that are known already by the known ones. */
function keepKnownRows (rows: StoreRow[], known: StoreRow[]): StoreRow[] {
  const byKey = new Map(known.map((row) => [row.key, row]))
  return rows.map((row) => {
    const before = byKey.get(row.key)
    return before?.version === row.version ? before : row
  })
}

/**
 * The hosts of some rows; the same lists as before when no host has changed, so that what is derived from them stays
 * cached.
 */
function decodeHosts (rows: StoreRow[], before?: RegistrySnapshot): Pick<RegistrySnapshot, 'hosts' | 'liveHosts'> {
  const hosts = rows.filter(({ key }) => key.startsWith(HOST_PREFIX)).map(decodeHost)
  const isSame = before?.hosts.length === hosts.length && hosts.every((host, index) => host === before.hosts[index])
  return isSame
    ? { hosts: before.hosts, liveHosts: before.liveHosts }
    : { hosts, liveHosts: hosts.filter(({ retiredUntilMs }) => retiredUntilMs === undefined) }
}

/**
 * Decodes the rows of the registry. Of 192 hosts each decodes only what has changed since the snapshot before.
 *
 * @param read - the rows
 * @param version - version of the store they are as of
 * @param askedAt - when the question was sent
 * @param before - the snapshot before
 * @returns the snapshot
 */
export function createSnapshot (
  read: StoreRow[], version: number, askedAt: number, before?: RegistrySnapshot
): RegistrySnapshot {
  const rows = before === undefined ? read : keepKnownRows(read, before.rows)
  const digest = digestOf(rows)
  if (before?.digest === digest) {
    return { ...before, version, askedAt }
  }
  const byKey = new Map(rows.map((row) => [row.key, row]))
  const decode = <Schema extends z.ZodType>(key: string, schema: Schema): Versioned<z.infer<Schema>> => {
    const row = byKey.get(key)
    return row === undefined
      ? { row: undefined, version: 0 }
      : { row: schema.parse(JSON.parse(row.value)), version: row.version }
  }
  const groups = new Map<string, Versioned<GroupRow>>()
  return {
    version,
    askedAt,
    rows,
    digest,
    ...decodeHosts(rows, before),
    group: (name) => {
      const known = groups.get(name) ?? decode(registryKeys.group(name), groupRowSchema)
      groups.set(name, known)
      return known
    },
    closedGroups: rows.filter(({ key }) => key.startsWith(GROUP_PREFIX)).flatMap(({ key, value }) => {
      const { state, epoch } = groupRowSchema.parse(JSON.parse(value))
      return state === 'closed' ? [{ group: key.slice(GROUP_PREFIX.length), epoch }] : []
    }),
    promotionLease: decode(registryKeys.promotionLease, promotionLeaseRowSchema)
  }
}

function digestOf (rows: StoreRow[]): string {
  return createHash('sha256').update(rows.map((row) => `${row.key} ${row.version}`).join('\n')).digest('base64')
}

/** A registry of which nothing is known yet. */
export const UNKNOWN_REGISTRY: RegistrySnapshot = createSnapshot([], -1, -Infinity)
