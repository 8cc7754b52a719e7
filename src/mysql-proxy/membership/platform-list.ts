/** Reads the platform's list of hosts. The list may be stale, so it only adds unknown hosts and marks leaving ones. */
import { hostRowSchema, LOWEST_SORT, PARTITIONS, type PlatformTable } from '../storage/types.ts'
import type { MemberList } from './member-list.ts'
import type { Opinions } from './opinions.ts'

/**
 * Reads the platform's list of hosts and merges it into the member list.
 *
 * @param table - the platform's table
 * @param list - the known members
 * @param opinions - receives new hosts and hosts that are leaving
 */
export async function readPlatformList (table: PlatformTable, list: MemberList, opinions: Opinions): Promise<void> {
  const rows = await table.list(PARTITIONS.hosts, LOWEST_SORT)
  for (const row of rows) {
    const host = hostRowSchema.parse(JSON.parse(row.body))
    const known = list.get(host.host)
    if (known === undefined) {
      opinions.hear({ ...host, startedAt: 0, version: 0 })
    } else if (host.state === 'leaving' && known.state === 'live') {
      opinions.hear({ ...known, state: 'leaving' })
    }
  }
}
