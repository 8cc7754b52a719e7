/** Lines of the capacity page for the entry process on the platform, from the sizes of its own rows and messages. */
import { EXTEND_LOOK_MS } from '../../src/leadership/consts.ts'
import { FOLLOW_WAIT_MS } from '../../src/registry/follow-table.ts'
import { POLL_MS } from '../../src/registry/index.ts'
import { ASK_MS } from '../../src/registry/neighbour-watch.ts'
import { registryKeys, type GroupRow, type HostRow } from '../../src/registry/types.ts'
import { DESIGN } from './design-size.ts'
import type { CapacityLine } from './lines.ts'

const MS_PER_SECOND = 1000
const BYTES_PER_KB = 1024
const BITS_OF_BASE64 = 4 / 3
/** Bytes that the store's answer adds to a row: its names and the version. */
const ROW_FRAME_BYTES = 70
/** Feeds that a process follows: upstreams and the desired state. */
const FEEDS = 2

const HOST_ROW: HostRow = {
  address: '10.123.123.123', port: 7440, failureDomain: 'failure-domain-1', process: '00000000-0000-0000-0000-000000000000'
}
const GROUP_ROW: GroupRow = { epoch: 100, primary: 'i-0123456789', state: 'open', term: 100, writtenBy: 'front-host-1234', succession: '' }

function rowBytes (key: string, row: unknown): number {
  return key.length + JSON.stringify(row).length * BITS_OF_BASE64 + ROW_FRAME_BYTES
}

/**
 * Computes the lines.
 *
 * @returns the lines; those over budget name what would bring them under it
 */
export function platformEntryLines (): CapacityLine[] {
  const readsPerNode = MS_PER_SECOND / POLL_MS
  const reads = DESIGN.nodes * (readsPerNode + FEEDS * MS_PER_SECOND / FOLLOW_WAIT_MS)
  const tableBytes = DESIGN.nodes * rowBytes(registryKeys.host('front-host-1234'), HOST_ROW) +
    DESIGN.groups * rowBytes(registryKeys.group('group-12345'), GROUP_ROW)
  const kilobytes = readsPerNode * tableBytes / BYTES_PER_KB
  const extensions = DESIGN.nodes * MS_PER_SECOND / EXTEND_LOOK_MS
  return [
    {
      role: 'platform',
      what: 'entry process: calls to the store, all nodes',
      figure: `${Math.round(reads)} /s`,
      bound: `${DESIGN.platformReadsPerSecond} /s`,
      overBudget: reads > DESIGN.platformReadsPerSecond,
      mechanism: 'one read of the registry every 1.5 s and two feeds that wait 12 s; a part of the registry for each set of ' +
        'groups lets a node read only what it serves'
    },
    {
      role: 'platform',
      what: 'entry process: registry read by a node',
      figure: `${Math.round(kilobytes)} KB/s`,
      bound: `${DESIGN.controlKilobytesPerSecond} KB/s`,
      overBudget: kilobytes > DESIGN.controlKilobytesPerSecond,
      mechanism: 'read whole today; not built: parts by group, homes for groups, and a feed in place of the read'
    },
    {
      role: 'platform',
      what: 'entry process: questions for extensions from one node while the store is away',
      figure: `${Math.round(extensions)} /s`,
      bound: 'none stated; each is about 100 bytes',
      overBudget: extensions * 2 * 100 / BYTES_PER_KB > DESIGN.controlKilobytesPerSecond,
      mechanism: 'all registered nodes are asked today; not built: a majority of the homes of a group instead of all nodes'
    },
    {
      role: 'platform',
      what: 'entry process: questions to the neighbour',
      figure: `${MS_PER_SECOND / ASK_MS} /s a node`,
      overBudget: false,
      mechanism: 'a ring: one question a second whatever the number of nodes'
    }
  ]
}
