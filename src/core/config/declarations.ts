/**
 * Schema of the declarations that operators write: database groups, their upstreams, the services that use them and
 * the request kinds each service may send.
 */
import * as z from 'zod'

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and dashes, a letter first')
const milliseconds = z.number().int().nonnegative()
const port = z.number().int().min(0).max(65535)

/** Modes of a duty: `observe` logs what would be done, `act` does it. */
const DUTY_MODES = ['off', 'observe', 'act'] as const

const dutyMode = z.enum(DUTY_MODES)

/** A kind of request that a service may send. */
export const kindSchema = z.strictObject({
  /** Whether requests of this kind are read-only. */
  access: z.enum(['read', 'write']),
  /** Maximum staleness of a read, in milliseconds. Sessions always read their own writes. */
  maximumAgeMs: milliseconds.default(1000),
  /** When a write is acknowledged: once `replicated` to a majority, or once a majority `confirmed` no newer term. */
  acknowledgement: z.enum(['replicated', 'confirmed']).default('replicated'),
  /** Whether the statement is idempotent. */
  repeatable: z.boolean().default(false),
  /** Total deadline of a request, in milliseconds. */
  deadlineMs: z.number().int().positive().default(5000),
  /** Queued requests with a higher priority are served first. */
  priority: z.number().int().min(0).max(9).default(5)
})

/** A service: callers that share a name, a password and a set of request kinds. */
const serviceSchema = z.strictObject({
  /** SHA1(SHA1(password)) in hexadecimal, as `worksward hash-password` prints it. */
  passwordHash: z.string().regex(/^[0-9a-f]{40}$/, 'expected 40 hexadecimal digits; see "worksward hash-password"'),
  /** Request kinds by name. */
  kinds: z.record(name, kindSchema).default({})
})

/** A database server of a group. */
const upstreamSchema = z.strictObject({
  name,
  /** IP address. */
  address: z.string().min(1),
  port,
  failureDomain: name,
  /** A `draining` upstream receives no new requests. */
  state: z.enum(['active', 'draining']).default('active')
})

/** Limits that protect the upstreams of a group. */
const limitsSchema = z.strictObject({
  /** Connections that an upstream accepts in total. */
  connections: z.number().int().min(4).default(25),
  /** Connections reserved for keepers, probes and administration. */
  reservedConnections: z.number().int().nonnegative().default(10),
  /** Statements that an upstream executes concurrently. */
  slots: z.number().int().positive().default(3),
  /** Maximum length of a proxy's request queue for an upstream. */
  queue: z.number().int().positive().default(200),
  /** Number of homes of the group; the connections are divided equally among them. */
  homes: z.number().int().positive().default(3),
  /** Maximum size of a statement, in bytes. */
  statementBytes: z.number().int().positive().default(1_000_000),
  /** Maximum number of rows in an answer. */
  answerRows: z.number().int().positive().default(10_000),
  /** Maximum duration of a transaction, in milliseconds. */
  transactionMs: z.number().int().positive().default(30_000),
  /** Maximum time a read waits for a replica to catch up, in milliseconds. */
  catchUpMs: milliseconds.default(100)
})

const dutiesSchema = z.strictObject({
  pooling: dutyMode.default('act'),
  reads: dutyMode.default('act'),
  promotion: dutyMode.default('act'),
  draining: dutyMode.default('act')
})

/** A database group: one primary and its replicas. */
export const groupSchema = z.strictObject({
  upstreams: z.array(upstreamSchema).min(1),
  /** Account used to connect to the upstreams. */
  account: z.strictObject({ user: z.string(), password: z.string() }),
  services: z.record(name, serviceSchema).default({}),
  limits: limitsSchema.prefault({}),
  duties: dutiesSchema.prefault({}),
  /** Retention time of request keys, in milliseconds. */
  keyRetentionMs: z.number().int().positive().default(86_400_000)
}).superRefine((group, context) => {
  const names = group.upstreams.map((upstream) => upstream.name)
  names.forEach((upstreamName, index) => {
    if (names.indexOf(upstreamName) !== index) {
      context.addIssue({ code: 'custom', path: ['upstreams', index, 'name'], message: `'${upstreamName}' stands twice` })
    }
  })
  if (group.limits.reservedConnections >= group.limits.connections) {
    context.addIssue({
      code: 'custom',
      path: ['limits', 'reservedConnections'],
      message: `leaves no connection of the ${group.limits.connections} for requests`
    })
  }
})

/** A declarations file. */
export const declarationsSchema = z.strictObject({
  groups: z.record(name, groupSchema)
})

/** A declared request kind. */
export type Kind = z.infer<typeof kindSchema>
/** A declared upstream. */
export type UpstreamDeclaration = z.infer<typeof upstreamSchema>
/** A declared database group. */
export type Group = z.infer<typeof groupSchema>
/** Content of a declarations file. */
export type Declarations = z.infer<typeof declarationsSchema>
