/** The sizes of the deployments that are run embedded. */
import type { Kind } from '../../core/config/index.ts'

/** Sizes of an embedded deployment. */
export interface DeploymentSizes {
  /** Names of the database groups. */
  groups: string[]
  failureDomains: string[]
  upstreamsPerGroup: number
  proxies: number
  keepers: number
  slots: number
  connections: number
  connectMs: number
  readMs: number
  writeMs: number
  lagMs: number
}

/** Three shared member databases in three failure domains of Seoul. */
export const ASSOCIATION_SIZES: DeploymentSizes = {
  groups: ['member-a', 'member-b', 'member-c'],
  failureDomains: ['seoul-a', 'seoul-b', 'seoul-c'],
  upstreamsPerGroup: 3,
  proxies: 3,
  keepers: 3,
  slots: 3,
  connections: 25,
  connectMs: 10,
  readMs: 1,
  writeMs: 2,
  lagMs: 5
}

/** Kinds of requests of the embedded service. */
export const EMBEDDED_KINDS: Record<string, Partial<Kind> & Pick<Kind, 'access'>> = {
  grid: { access: 'read', maximumAgeMs: 1000, priority: 3 },
  strict: { access: 'read', maximumAgeMs: 0, priority: 5 },
  purchase: { access: 'write', repeatable: false, priority: 8 },
  setting: { access: 'write', repeatable: true, priority: 5 },
  quick: { access: 'write', repeatable: false, acknowledgement: 'confirmed', priority: 8 }
}

/** Account on the upstreams, and the service that callers use, in embedded deployments. */
export const EMBEDDED_ACCOUNT = { user: 'worksward', password: 'upstream-password' }
/** Name of the embedded service. */
export const EMBEDDED_SERVICE = 'app'
/** Password of the embedded service. */
export const EMBEDDED_PASSWORD = 'app-password'

/** Key of the embedded operator, who may read and change. */
export const EMBEDDED_OPERATOR_KEY = 'embedded-operator-key'

/** SQL every upstream of an embedded deployment starts with. */
export const EMBEDDED_SCHEMA = [
  'CREATE TABLE records (id INTEGER PRIMARY KEY AUTOINCREMENT, session TEXT, request TEXT, amount INTEGER)',
  'CREATE TABLE registers (name TEXT PRIMARY KEY, value INTEGER NOT NULL)'
]
