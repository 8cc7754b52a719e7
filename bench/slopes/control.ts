/** Cost of control: probes, heartbeats, member lists, configuration, placement, state of groups and keys. */
import { Encoder } from 'cbor-x'
import type { Socket } from 'node:net'
import { groupSchema, type Group } from '../../src/core/config/index.ts'
import { silentLogger } from '../../src/core/logger/index.ts'
import { createDialer } from '../../src/core/wire/dialer.ts'
import { versionedGroupSchema, type VersionedGroup } from '../../src/configuration/types.ts'
import { ASSOCIATION_SIZES, EMBEDDED_ACCOUNT, EMBEDDED_KINDS } from '../../src/embedded/sizes.ts'
import { createMemberList } from '../../src/membership/member-list.ts'
import type { Member } from '../../src/membership/types.ts'
import { createGroupHome, type GroupHome } from '../../src/routing/group-home.ts'
import { placeGroup } from '../../src/routing/home-placement.ts'
import { createPlacementCache } from '../../src/routing/placement-cache.ts'
import { createStatusChannel } from '../../src/upstreams/status-channel.ts'
import { startProcesses } from '../../test/fixtures/process-deployment.ts'
import { openDatabase } from '../../src/standin/database.ts'
import { LEDGER_SCHEMA } from '../../src/standin/ledger-schema.ts'
import type { Figures, Point } from './types.ts'

const PROBES = [200, 400, 800, 1600]
const MEMBERS = [100, 500, 1000, 2300]
const GROUPS = [20, 40, 80, 160]
const CHANGES = [8, 16, 32, 64]
const KEYS = [2000, 4000, 8000, 16000]
const DOMAINS = 15
const RACKS_PER_DOMAIN = 8
/** Size to design for. */
const ALL_GROUPS = 20_000
const ALL_NODES = 2300
/** Groups of which the moves are counted. */
const SAMPLED_GROUPS = 2000
const HOMES = 3
const REPEATS = 5

const encoder = new Encoder({ useRecords: false })

/** Processor time and bytes of status questions on an open connection. */
export async function measureProbes (): Promise<{ processor: Point[], bytes: Point[] }> {
  const deployment = await startProcesses({ ...ASSOCIATION_SIZES, groups: ['member-a'], proxies: 1, keepers: 1 })
  const sockets: Socket[] = []
  const dial = createDialer()
  const [upstream] = deployment.declarations.groups['member-a']!.upstreams
  const channel = createStatusChannel({
    access: { ...upstream!, ...EMBEDDED_ACCOUNT, database: 'member-a' },
    dialer: (endpoint) => {
      const socket = dial(endpoint)
      sockets.push(socket)
      return socket
    },
    timeoutMs: 2000
  })
  const processor: Point[] = []
  const bytes: Point[] = []
  const bytesSoFar = (): number => sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0)
  try {
    await channel.fresh()
    for (const size of PROBES) {
      const bytesBefore = bytesSoFar()
      const before = process.cpuUsage()
      for (let index = 0; index < size; index++) {
        await channel.fresh()
      }
      const { user, system } = process.cpuUsage(before)
      processor.push({ size, cost: (user + system) / 1000 })
      bytes.push({ size, cost: bytesSoFar() - bytesBefore })
    }
  } finally {
    channel.close()
    await deployment.close()
  }
  return { processor, bytes }
}

/** Bytes of a whole list of members, time to merge it, and bytes of a heartbeat. */
export function measureMembership (): Record<'listBytes' | 'mergeMs' | 'heartbeatBytes', Point[]> {
  const listBytes: Point[] = []
  const mergeMs: Point[] = []
  const heartbeatBytes: Point[] = []
  for (const size of MEMBERS) {
    const members = createMembers(size)
    listBytes.push({ size, cost: encoder.encode(members).length })
    mergeMs.push({
      size,
      cost: timeOf(() => {
        const list = createMemberList()
        members.forEach((member) => list.merge(member))
        list.digest()
      })
    })
  }
  for (const size of [1, 4, 8, 16]) {
    const heartbeat = { members: createMembers(size), digest: '0123456789abcdef', revision: 50_000 }
    heartbeatBytes.push({ size, cost: encoder.encode({ id: 1, type: 'heartbeat', body: heartbeat }).length })
  }
  return { listBytes, mergeMs, heartbeatBytes }
}

/** Time to check and apply changed groups, and their bytes. */
export function measureConfiguration (): { applyMs: Point[], bytes: Point[] } {
  const applyMs: Point[] = []
  const bytes: Point[] = []
  for (const size of CHANGES) {
    const versions = Array.from({ length: size }, (_value, index) => createVersion(index))
    bytes.push({ size, cost: encoder.encode(versions).length })
    applyMs.push({ size, cost: timeOf(() => versions.forEach((version) => versionedGroupSchema.parse(version))) })
  }
  return { applyMs, bytes }
}

/** Heap of a home for a group, without connections. */
export async function measureGroupState (): Promise<Point[]> {
  const points: Point[] = []
  const homes: GroupHome[] = []
  const before = await settledHeapKb()
  for (const size of GROUPS) {
    while (homes.length < size) {
      homes.push(createGroupHome({
        name: `group-${homes.length}`,
        group: createGroup(),
        dialer: createDialer(),
        logger: silentLogger,
        failureDomain: 'domain-1',
        seed: homes.length
      }))
    }
    points.push({ size, cost: await settledHeapKb() - before })
  }
  homes.forEach((home) => home.close())
  return points
}

/** Bytes of ledger rows in a database. */
export async function measureLedger (): Promise<Point[]> {
  const points: Point[] = []
  for (const size of KEYS) {
    const database = await openDatabase()
    LEDGER_SCHEMA.forEach((sql) => database.run({ sql }))
    for (let index = 0; index < size; index++) {
      database.run({
        sql: `INSERT INTO worksward_ledger (scope, request_key, fingerprint, state, attempt, created_at)
          VALUES (?, ?, ?, 'done', 1, ?)`,
        values: ['app', `018f0000-0000-7000-8000-${String(index).padStart(12, '0')}`, 'f'.repeat(32), Date.now()]
      })
    }
    points.push({ size, cost: database.snapshot().length / 1024 })
    database.close()
  }
  return points
}

/** Time to place one group among members, and what a loss moves at the size to design for. */
export function measurePlacement (): { placeMs: Point[], figures: Figures } {
  const placeMs = MEMBERS.map((size): Point => {
    const members = createMembers(size)
    const groups = Array.from({ length: 100 }, (_value, index) => `group-${index}`)
    return { size, cost: timeOf(() => groups.forEach((group) => placeGroup(group, members, HOMES))) / groups.length }
  })
  return { placeMs, figures: measureMoves() }
}

function measureMoves (): Figures {
  const members = createMembers(ALL_NODES)
  const groups = Array.from({ length: ALL_GROUPS }, (_value, index) => `group-${index}`)
  const cache = createPlacementCache<Member>()
  cache.update(members)
  const placeAllMs = timeOnce(() => groups.forEach((group) => cache.place(group, HOMES)))
  const before = new Map(groups.map((group) => [group, cache.place(group, HOMES).map(({ host }) => host)]))
  const sample = groups.slice(0, SAMPLED_GROUPS)
  const movedBy = (left: Member[]): number => {
    const changed = createPlacementCache<Member>()
    changed.update(left)
    const moved = sample.reduce((sum, group) => {
      const homes = new Set(changed.place(group, HOMES).map(({ host }) => host))
      return sum + before.get(group)!.filter((host) => !homes.has(host)).length
    }, 0)
    return moved / (SAMPLED_GROUPS * HOMES)
  }
  const [lost] = members
  const withoutHost = members.filter((member) => member !== lost)
  const cacheLossMs = timeOnce(() => {
    cache.update(withoutHost)
    groups.forEach((group) => cache.place(group, HOMES))
  })
  const cacheJoinMs = timeOnce(() => {
    cache.update(members)
    groups.forEach((group) => cache.place(group, HOMES))
  })
  const rackOf = (index: number): number => Math.floor(index / DOMAINS) % RACKS_PER_DOMAIN
  return {
    placeAllMs,
    cacheLossMs,
    cacheJoinMs,
    movedByHost: movedBy(withoutHost),
    movedByRack: movedBy(members.filter((_member, index) => index % DOMAINS !== 0 || rackOf(index) !== 0)),
    movedByDomain: movedBy(members.filter(({ failureDomain }) => failureDomain !== 'domain-0'))
  }
}

function createMembers (count: number): Member[] {
  return Array.from({ length: count }, (_value, index) => ({
    host: `entry-${index}`,
    role: 'proxy',
    failureDomain: `domain-${index % DOMAINS}`,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
    port: 7001,
    startedAt: 1_796_000_000_000 + index,
    version: 1,
    state: 'live'
  }))
}

function createGroup (): Group {
  return groupSchema.parse({
    upstreams: [0, 1, 2].map((index) => ({
      name: `upstream-${index}`, address: '10.0.0.1', port: 3306, failureDomain: `domain-${index}`
    })),
    account: EMBEDDED_ACCOUNT,
    services: { app: { passwordHash: '0'.repeat(40), kinds: EMBEDDED_KINDS } }
  })
}

function createVersion (index: number): VersionedGroup {
  return {
    name: `group-${index}`,
    version: 3,
    revision: index + 1,
    group: createGroup(),
    change: { changeId: `change-${index}`, operator: 'operator', at: '2026-01-01T00:00:00Z', reason: 'measurement' }
  }
}

function timeOnce (work: () => void): number {
  const startedAt = performance.now()
  work()
  return performance.now() - startedAt
}

/** Shortest of several runs after a warm-up, in milliseconds: what the work takes when nothing disturbs it. */
function timeOf (work: () => void): number {
  work()
  return Math.min(...Array.from({ length: REPEATS }, () => timeOnce(work)))
}

async function settledHeapKb (): Promise<number> {
  for (let index = 0; index < 3; index++) {
    globalThis.gc?.()
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  return process.memoryUsage().heapUsed / 1024
}
