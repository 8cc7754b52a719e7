/** Settings schemas of the proxy, keeper and stand-in processes. */
import * as z from 'zod'
import { LOG_LEVELS } from '../logger/index.ts'

const port = z.number().int().min(0).max(65535)
const milliseconds = z.number().int().positive()

const hostSchema = z.strictObject({
  /** Name of the host, unique among all hosts. */
  name: z.string().min(1),
  /** IP address the process listens on and connects from. */
  address: z.string().min(1),
  failureDomain: z.string().min(1)
})

const platformSchema = z.strictObject({
  /** URL of the table service. */
  tableEndpoint: z.string(),
  /** URL of the object store. */
  objectEndpoint: z.string(),
  region: z.string().default('local'),
  accessKey: z.string(),
  secretKey: z.string(),
  /** Table that holds configuration, keys and the list of hosts. */
  table: z.string().default('worksward'),
  /** Bucket that holds snapshots of the configuration. */
  bucket: z.string().default('worksward'),
  /** Timeout of a platform call, in milliseconds. */
  timeoutMs: milliseconds.default(1000),
  /** Mean time between two reads of the configuration head, in milliseconds. */
  pollMs: milliseconds.default(1000),
  /** Mean time between two reads of the platform's list of hosts, in milliseconds. */
  hostsPollMs: milliseconds.default(2000)
})

const peersSchema = z.strictObject({
  /** Key by which peers authenticate each other. */
  key: z.string().min(16),
  /** Peer addresses `ip:port` to ask when the platform's list of hosts is unavailable. */
  seeds: z.array(z.string().regex(/^[0-9.]+:\d+$/, 'expected ip:port')).default([]),
  /** Heartbeat interval, in milliseconds. */
  heartbeatMs: milliseconds.default(250)
})

/** Rights that an operator may have. */
export const OPERATOR_RIGHTS = ['read', 'change'] as const

const operatorSchema = z.strictObject({
  name: z.string().min(1),
  /** SHA-256 of the operator's key in hexadecimal, as `worksward hash-key` prints it. */
  keyHash: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits; see "worksward hash-key"'),
  rights: z.array(z.enum(OPERATOR_RIGHTS)).default(['read'])
})

const logSchema = z.strictObject({
  level: z.enum([...LOG_LEVELS, 'silent']).default('info')
})

/** Settings of a proxy. */
export const proxySettingsSchema = z.strictObject({
  host: hostSchema,
  listen: z.strictObject({
    /** Port for callers, MySQL protocol; 0 lets the system choose. */
    callers: port.default(3306),
    /** Port for peers. */
    peers: port.default(7001),
    /** Port for readiness, liveness, metrics and dumps. */
    http: port.default(7002)
  }).prefault({}),
  platform: platformSchema,
  peers: peersSchema,
  /** Operators and their rights; without any, nobody can query or change this process. */
  operators: z.array(operatorSchema).default([]),
  log: logSchema.prefault({}),
  /** Timeout of a graceful shutdown, in milliseconds. */
  stopMs: milliseconds.default(10_000)
})

/** Settings of a keeper. */
export const keeperSettingsSchema = z.strictObject({
  host: hostSchema,
  listen: z.strictObject({
    peers: port.default(7011),
    http: port.default(7012)
  }).prefault({}),
  platform: platformSchema,
  peers: peersSchema,
  /** Operators and their rights; without any, nobody can query or change this process. */
  operators: z.array(operatorSchema).default([]),
  log: logSchema.prefault({}),
  /** Health checks of upstreams. */
  watch: z.strictObject({
    /** Probe interval of an upstream, in milliseconds. */
    probeMs: milliseconds.default(100),
    /** Time after which an unanswered probe counts as failed, in milliseconds. */
    timeoutMs: milliseconds.default(150),
    /** Consecutive failed probes after which a primary is suspected to be down. */
    failures: z.number().int().positive().default(2),
    /** Additional delay of each further keeper before it starts a failover, in milliseconds. */
    staggerMs: milliseconds.default(150)
  }).prefault({})
})

/** Settings of the stand-in process. */
export const standinSettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1'),
  /** Port of the table service and object store. */
  platformPort: port.default(0),
  /** Port of the fault injection API. */
  controlPort: port.default(0),
  /** Accepted access keys by name. */
  accessKeys: z.record(z.string(), z.string()).default({ worksward: 'worksward-secret' }),
  log: logSchema.prefault({}),
  platform: z.strictObject({
    readsPerSecond: z.number().positive().default(2000),
    writesPerSecond: z.number().positive().default(300)
  }).prefault({}),
  /** Database groups to serve, by name. */
  groups: z.record(z.string(), z.strictObject({
    account: z.strictObject({ user: z.string(), password: z.string() }),
    slots: z.number().int().positive().default(3),
    connections: z.number().int().positive().default(25),
    connectMs: z.number().nonnegative().default(10),
    readMs: z.number().nonnegative().default(1),
    writeMs: z.number().nonnegative().default(2),
    lagMs: z.number().nonnegative().default(5),
    /** SQL run once on every upstream at startup. */
    schema: z.array(z.string()).default([]),
    upstreams: z.array(z.strictObject({ name: z.string(), port }))
  })).default({}),
  /** Rows of the platform's list of hosts. */
  hosts: z.array(z.strictObject({
    name: z.string(),
    address: z.string(),
    port: z.number().int(),
    failureDomain: z.string(),
    role: z.enum(['proxy', 'keeper']),
    state: z.enum(['live', 'leaving']).default('live')
  })).default([])
})

/** Settings of a proxy. */
export type ProxySettings = z.infer<typeof proxySettingsSchema>
/** Settings of a keeper. */
export type KeeperSettings = z.infer<typeof keeperSettingsSchema>
/** Settings of the stand-in process. */
export type StandinSettings = z.infer<typeof standinSettingsSchema>
/** Settings of an operator. */
export type OperatorSettings = z.infer<typeof operatorSchema>
/** Settings that proxies and keepers share. */
export type MemberSettings = Pick<KeeperSettings, 'host' | 'platform' | 'peers' | 'operators' | 'log'>
  & { listen: { peers: number, http: number } }
