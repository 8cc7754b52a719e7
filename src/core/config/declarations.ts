/**
 * What operators declare: database groups, their upstreams, the services that use them and the request
 * kinds each service may send. One schema with defaults; every type is inferred from it.
 */
import * as z from 'zod'

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'use lower-case letters, digits and dashes, a letter first')
const milliseconds = z.number().int().nonnegative()
const port = z.number().int().min(0).max(65535)

/** How a duty is carried out: not at all, by saying what would be done, or in full. */
const DUTY_MODES = ['off', 'observe', 'act'] as const

const dutyMode = z.enum(DUTY_MODES)

/** A kind of request that a service may send. */
export const kindSchema = z.strictObject({
  /** Whether requests of this kind only read. */
  access: z.enum(['read', 'write']),
  /** Greatest age of the data a read accepts, in milliseconds; reads of the session's own writes always hold. */
  maximumAgeMs: milliseconds.default(1000),
  /** When a write is acknowledged: `replicated` to a majority, or `confirmed` by a majority's terms alone. */
  acknowledgement: z.enum(['replicated', 'confirmed']).default('replicated'),
  /** Whether the statement is idempotent, so that running it twice does no harm. */
  repeatable: z.boolean().default(false),
  /** Time a request of this kind may take in all, in milliseconds. */
  deadlineMs: z.number().int().positive().default(5000),
  /** Higher goes first when requests queue. */
  priority: z.number().int().min(0).max(9).default(5)
})

/** A service: the callers that share one name, password and set of request kinds. */
const serviceSchema = z.strictObject({
  /** SHA1(SHA1(password)) in hexadecimal, as `worksward hash-password` prints it. */
  passwordHash: z.string().regex(/^[0-9a-f]{40}$/, 'expected 40 hexadecimal digits; see "worksward hash-password"'),
  /** Request kinds by name. */
  kinds: z.record(name, kindSchema).default({})
})

/** One database server of a group. */
const upstreamSchema = z.strictObject({
  name,
  /** Address by IP number. */
  address: z.string().min(1),
  port,
  failureDomain: name,
  /** `draining` takes no new work. */
  state: z.enum(['active', 'draining']).default('active')
})

/** Bounds that protect the upstreams of a group. */
const limitsSchema = z.strictObject({
  /** Connections an upstream accepts from everybody. */
  connections: z.number().int().min(4).default(25),
  /** Connections left to keepers, probes and the team's own tools. */
  reservedConnections: z.number().int().nonnegative().default(10),
  /** Statements an upstream executes at a time. */
  slots: z.number().int().positive().default(3),
  /** Requests that may queue for one upstream in one proxy. */
  queue: z.number().int().positive().default(200),
  /** Homes of the group, each with an equal part of the connections. */
  homes: z.number().int().positive().default(3),
  /** Greatest size of a statement, in bytes. */
  statementBytes: z.number().int().positive().default(1_000_000),
  /** Greatest number of rows in an answer. */
  answerRows: z.number().int().positive().default(10_000),
  /** Greatest time a transaction may stay open, in milliseconds. */
  transactionMs: z.number().int().positive().default(30_000),
  /** Greatest time a read waits for a replica to catch up, in milliseconds. */
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
  /** Account worksward uses on the upstreams. */
  account: z.strictObject({ user: z.string(), password: z.string() }),
  services: z.record(name, serviceSchema).default({}),
  limits: limitsSchema.prefault({}),
  duties: dutiesSchema.prefault({}),
  /** Time for which request keys are remembered, in milliseconds. */
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
/** A whole declarations file. */
export type Declarations = z.infer<typeof declarationsSchema>
