/** The tables that operators can query, and the filtering and ordering of their rows. */
import type { Configuration } from '../configuration/index.ts'
import type { VersionedGroup } from '../configuration/types.ts'
import type { Callers } from '../callers/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import { findNearest } from '../language/command-error.ts'
import type { Condition, ShowCommand, TableName } from '../language/types.ts'
import type { Membership } from '../membership/index.ts'
import type { Routing } from '../routing/index.ts'

/** A row of a table. */
export type TableRow = Record<string, string | number | boolean>

/** Services that tables are read from. */
export interface TableSources {
  configuration: Configuration
  membership: Membership
  routing: Routing
  callers: Callers
}

/** Maximum number of changes in the table `history`; older ones are left out. */
const HISTORY_LENGTH = 200

/** Functions that read the rows, by table. */
export const TABLES: Record<TableName, (sources: TableSources) => Promise<TableRow[]> | TableRow[]> = {
  groups: async (sources) => {
    await sources.routing.openPlacedGroups()
    return sources.configuration.versions().flatMap((version) => describeGroup(sources, version))
  },
  upstreams: async (sources) => {
    await sources.routing.openPlacedGroups()
    return sources.configuration.versions().flatMap((version) => describeUpstreams(sources, version))
  },
  services: ({ configuration }) => configuration.versions().flatMap(({ name, group }) =>
    Object.entries(group?.services ?? {}).flatMap(([service, { kinds }]) =>
      Object.entries(kinds).map(([kind, declared]) => ({ group: name, service, kind, ...declared })))),
  sessions: ({ callers }) => callers.connections().map(({ session, service, group, statements, inTransaction }) =>
    ({ session, service, group, statements, transaction: inTransaction })),
  connections: ({ routing }) => [...routing.homes()].flatMap(([group, home]) =>
    Object.entries((home.dump() as { pools: Record<string, Omit<TableRow, 'upstream'>> }).pools)
      .map(([upstream, pool]) => ({ group, upstream, ...pool } as TableRow))),
  proxies: ({ membership, configuration }) => membership.known().map((member) => ({
    host: member.host,
    role: member.role,
    domain: member.failureDomain,
    state: member.state,
    address: `${member.address}:${member.port}`,
    revision: member.host === membership.self.host
      ? configuration.revision
      : membership.revisions().get(member.host) ?? 0
  })),
  configuration: ({ configuration }) => configuration.versions().map(({ name, version, revision, change, group }) => ({
    group: name,
    version,
    revision,
    removed: group === null,
    change: change.changeId,
    operator: change.operator,
    at: change.at
  })),
  history: async ({ configuration }) => {
    const after = Math.max(0, configuration.revision - HISTORY_LENGTH)
    const changes = await configuration.store.history(after)
    return changes.map(({ revision, changeId, operator, at, reason, groups }) => ({
      revision,
      groups: groups.map(({ name, version }) => `${name}@${version}`).join(' '),
      operator,
      at,
      reason,
      change: changeId
    }))
  }
}

function describeGroup ({ routing }: TableSources, { name, version, group }: VersionedGroup): TableRow[] {
  if (group === null) {
    return []
  }
  const leadership = routing.homes().get(name)?.view.leadership
  return [{
    group: name,
    version,
    primary: leadership?.primary ?? '',
    term: leadership?.term ?? 0,
    upstreams: group.upstreams.length,
    homes: routing.homesOf(name).map(({ host }) => host).join(' '),
    ...group.duties
  }]
}

function describeUpstreams ({ routing }: TableSources, { name, group }: VersionedGroup): TableRow[] {
  const view = routing.homes().get(name)?.view
  return (group?.upstreams ?? []).map((upstream) => {
    const upstreamState = view?.upstreams.get(upstream.name)
    const status = upstreamState?.channel.latest?.status
    return {
      group: name,
      upstream: upstream.name,
      address: `${upstream.address}:${upstream.port}`,
      domain: upstream.failureDomain,
      state: view?.isDraining(upstream.name) === true ? 'draining' : upstream.state,
      role: status?.role ?? '',
      term: status?.term ?? 0,
      position: status?.position ?? 0,
      reachable: upstreamState?.reachable ?? false,
      age: Math.round(Math.min(view?.age.ageMs(upstream.name) ?? Infinity, Number.MAX_SAFE_INTEGER))
    }
  })
}

/**
 * Filters, orders and limits rows.
 *
 * @param rows - all rows of the table
 * @param command - conditions, order and limit
 * @returns the selected rows
 * @throws WorkswardError `InvalidCommand` for an unknown column
 */
export function selectRows (rows: TableRow[], command: ShowCommand): TableRow[] {
  const columns = Object.keys(rows[0] ?? {})
  const referenced = [
    ...command.conditions.map(({ column }) => column), ...(command.orderBy ? [command.orderBy.column] : [])
  ]
  referenced.forEach((column) => checkColumn(column, columns, command.table))
  const selected = rows.filter((row) => command.conditions.every((condition) => matchesCondition(row, condition)))
  const { orderBy } = command
  if (orderBy !== undefined) {
    const sign = orderBy.descending ? -1 : 1
    selected.sort((left, right) => sign * compareValues(left[orderBy.column]!, right[orderBy.column]!))
  }
  return selected.slice(0, command.limit ?? selected.length)
}

const COMPARATORS: Record<Condition['comparison'], (order: number) => boolean> = {
  '=': (order) => order === 0,
  '!=': (order) => order !== 0,
  '<': (order) => order < 0,
  '>': (order) => order > 0,
  '<=': (order) => order <= 0,
  '>=': (order) => order >= 0
}

function matchesCondition (row: TableRow, { column, comparison, value }: Condition): boolean {
  return COMPARATORS[comparison](compareValues(row[column]!, value))
}

function compareValues (left: TableRow[string], right: TableRow[string]): number {
  if (typeof left === 'number' && typeof right === 'number') {
    return left - right
  }
  return String(left) < String(right) ? -1 : String(left) > String(right) ? 1 : 0
}

function checkColumn (column: string, columns: string[], table: TableName): void {
  if (columns.length === 0 || columns.includes(column)) {
    return
  }
  const nearest = findNearest(column, columns)
  const suggestion = nearest === undefined ? '' : `; did you mean '${nearest}'?`
  throw new WorkswardError('InvalidCommand', {
    reason: `table ${table} has no column '${column}'${suggestion} (there are: ${columns.join(', ')})`
  })
}
