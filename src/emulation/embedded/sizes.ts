/** Sizes, credentials and schema of embedded deployments. */
import type { Kind } from '../../core/config/index.ts'

/** Sizes and service times of an embedded deployment. */
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

/** Three database groups across three failure domains. */
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

/** Request kinds of the embedded service. */
export const EMBEDDED_KINDS: Record<string, Partial<Kind> & Pick<Kind, 'access'>> = {
  grid: { access: 'read', maximumAgeMs: 1000, priority: 3 },
  strict: { access: 'read', maximumAgeMs: 0, priority: 5 },
  purchase: { access: 'write', repeatable: false, priority: 8 },
  setting: { access: 'write', repeatable: true, priority: 5 },
  quick: { access: 'write', repeatable: false, acknowledgement: 'confirmed', priority: 8 }
}

/** Account that the proxies use on the upstreams. */
export const EMBEDDED_ACCOUNT = { user: 'worksward', password: 'upstream-password' }
/** Name of the service that callers log in as. */
export const EMBEDDED_SERVICE = 'app'
/** Password of {@link EMBEDDED_SERVICE}. */
export const EMBEDDED_PASSWORD = 'app-password'

/** Key of an operator with the rights to read and change. */
export const EMBEDDED_OPERATOR_KEY = 'embedded-operator-key'

/** SQL that every upstream of an embedded deployment runs at its start. */
export const EMBEDDED_SCHEMA = [
  'CREATE TABLE records (id INTEGER PRIMARY KEY AUTOINCREMENT, session TEXT, request TEXT, amount INTEGER)',
  'CREATE TABLE registers (name TEXT PRIMARY KEY, value INTEGER NOT NULL)'
]
