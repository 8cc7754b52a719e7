/** Lines of the capacity page for the entry process on the platform, from the sizes of its own rows and messages. */
import { countHomes } from '../../src/homes/placement.ts'
import { EXTEND_LOOK_MS } from '../../src/leadership/consts.ts'
import { FOLLOW_WAIT_MS } from '../../src/registry/follow-table.ts'
import { ASK_PAUSE_MS, POLL_MS } from '../../src/registry/learning.ts'
import { ASK_MS } from '../../src/registry/neighbour-watch.ts'
import { HOSTS_PER_READER, LEAST_FOLLOWERS } from '../../src/registry/readers.ts'
import { HOLD_MS } from '../../src/registry/relay.ts'
import { FANOUT } from '../../src/registry/table-news.ts'
import { TABLE_HOLD_MS } from '../../src/registry/table-relay.ts'
import { registryKeys, type GroupRow, type HostRow } from '../../src/registry/types.ts'
import { DESIGN } from './design-size.ts'
import type { CapacityLine } from './types.ts'

const MS_PER_SECOND = 1000
const BYTES_PER_KB = 1024
const BITS_OF_BASE64 = 4 / 3
/** Bytes that the store's answer adds to a row: its names and the version. */
const ROW_FRAME_BYTES = 70
/** Feeds that a process follows: upstreams and the desired state. */
const FEEDS = 2
/** Bytes of a message between processes that names a version or a digest, its answer included. */
const SHORT_MESSAGE_BYTES = 200
const DAY_SECONDS = 86_400
/** Connections that an upstream takes from all nodes, and statements that it runs at a time: the largest of today. */
const UPSTREAM_CAP = 88
const UPSTREAM_SLOTS = 3

const UPSTREAM_HOMES = countHomes(UPSTREAM_CAP, UPSTREAM_SLOTS, DESIGN.nodes)

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
  const readers = Math.ceil(DESIGN.nodes / HOSTS_PER_READER)
  const turns = MS_PER_SECOND / POLL_MS
  const followers = Math.max(LEAST_FOLLOWERS, readers)
  const changes = DESIGN.configurationChangesPerDay / DAY_SECONDS
  const reads = readers * turns + followers * (FEEDS * MS_PER_SECOND / FOLLOW_WAIT_MS + changes)
  const questions = MS_PER_SECOND / (HOLD_MS + ASK_PAUSE_MS) + FEEDS * MS_PER_SECOND / TABLE_HOLD_MS
  const tableBytes = DESIGN.nodes * rowBytes(registryKeys.host('front-host-1234'), HOST_ROW) +
    DESIGN.groups * rowBytes(registryKeys.group('group-12345'), GROUP_ROW)
  const registryChanges = (DESIGN.restartsPerDay * 2 + DESIGN.primaryChangesPerDay * 2) / DAY_SECONDS
  const readerKilobytes = turns * tableBytes / BYTES_PER_KB
  const changeBytes = rowBytes(registryKeys.host('front-host-1234'), HOST_ROW)
  const kilobytes = registryChanges * changeBytes / BYTES_PER_KB
  const homes = DESIGN.groups * DESIGN.upstreamsPerGroup * UPSTREAM_HOMES
  const upstreamsOfNode = homes / DESIGN.nodes
  const newsPerNode = DESIGN.configurationChangesPerDay / DAY_SECONDS * FANOUT
  const extensions = DESIGN.nodes * MS_PER_SECOND / EXTEND_LOOK_MS
  return [
    {
      role: 'platform',
      what: 'entry process: calls to the store, all nodes',
      figure: `${Math.round(reads)} /s`,
      bound: `${DESIGN.platformReadsPerSecond} /s`,
      overBudget: reads > DESIGN.platformReadsPerSecond,
      mechanism: `one node in ${HOSTS_PER_READER} reads the registry each ${POLL_MS} ms, follows the tables with questions ` +
        `that wait ${FOLLOW_WAIT_MS / MS_PER_SECOND} s, and passes both on`
    },
    {
      role: 'platform',
      what: 'entry process: questions to a node that reads for others',
      figure: `${Math.round(HOSTS_PER_READER * questions)} /s`,
      bound: 'none stated; each about 200 bytes while nothing changes',
      overBudget: HOSTS_PER_READER * questions * SHORT_MESSAGE_BYTES / BYTES_PER_KB > DESIGN.controlKilobytesPerSecond,
      mechanism: 'held until something changes; only rows that have changed are passed on'
    },
    {
      role: 'platform',
      what: 'entry process: news of changed tables, by a node',
      figure: `${newsPerNode.toPrecision(2)} /s`,
      bound: `${DESIGN.controlKilobytesPerSecond} KB/s for all control`,
      overBudget: newsPerNode * SHORT_MESSAGE_BYTES / BYTES_PER_KB > DESIGN.controlKilobytesPerSecond,
      mechanism: `those that follow a table tell each change to ${FANOUT} others that do; changes in quick succession are ` +
        'told as one'
    },
    {
      role: 'platform',
      what: 'entry process: registry read by a node that reads for others',
      figure: `${Math.round(readerKilobytes)} KB/s`,
      bound: `${DESIGN.controlKilobytesPerSecond} KB/s`,
      overBudget: readerKilobytes > DESIGN.controlKilobytesPerSecond,
      mechanism: 'read whole today; not built: parts by group'
    },
    {
      role: 'platform',
      what: 'entry process: registry passed on to any other node',
      figure: `${kilobytes.toPrecision(2)} KB/s`,
      bound: `${DESIGN.controlKilobytesPerSecond} KB/s`,
      overBudget: kilobytes > DESIGN.controlKilobytesPerSecond,
      mechanism: 'only what has changed; read from the store only while nobody else can tell'
    },
    {
      role: 'platform',
      what: 'entry process: upstreams that a node is a home of',
      figure: `${Math.round(upstreamsOfNode)}, with ${Math.round(upstreamsOfNode * UPSTREAM_CAP / UPSTREAM_HOMES)} connections at most`,
      overBudget: false,
      mechanism: `${UPSTREAM_HOMES} homes of an upstream: one for each of its slots and one to spare; a restart moves only ` +
        'what the node had'
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
