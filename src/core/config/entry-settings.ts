/** Settings schema of the entry process. */
import * as z from 'zod'
import { LOG_LEVELS } from '../logger/index.ts'

const endpoint = z.string().regex(/^[0-9.]+:\d+$/, 'expected ip:port')
const milliseconds = z.number().int().positive()

/** A number with a default for empty values, which a deployment template may produce. */
const optionalNumber = (defaultValue: number) =>
  z.number().nonnegative().nullish().transform((value) => value ?? defaultValue)

const EXPECTED_POSITIVE = 'expected a positive number, or nothing'

/** A positive number. Empty values, which a deployment template may produce, count as not set. */
const positiveIfSet = z
  .union([z.number().positive(EXPECTED_POSITIVE), z.literal(''), z.null()], EXPECTED_POSITIVE)
  .optional()
  .transform((value) => typeof value === 'number' ? value : undefined)

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
  host: z.strictObject({
    /** Name of the host, unique among all hosts. */
    name: z.string().min(1),
    /** IP address the process listens on and connects from. */
    address: z.string().min(1),
    failureDomain: z.string().min(1),
    /** What the host may use, by which work is placed (src/placement/capacity.ts); its capacity is unknown if empty. */
    capacity: z.strictObject({
      /** Share of each core; 1 if not set. */
      coreShare: positiveIfSet,
      /** Number of cores that `coreShare` is multiplied with; 1 if not set. */
      cores: positiveIfSet,
      /** Bandwidth of the link, in Mbit/s. */
      linkMbps: positiveIfSet
    }).nullish().transform((value) => value ?? undefined)
  }),
  listen: z.strictObject({
    /** Endpoint for callers. */
    callers: endpoint,
    /** Endpoint for the readiness checks of the load balancer. */
    readiness: endpoint,
    /** Port for peers. */
    peers: z.number().int().min(0).max(65535),
    /** Port for metrics and the state dump. */
    metrics: z.number().int().min(0).max(65535)
  }),
  /** Endpoint of the store that holds persistent state. */
  store: endpoint,
  /** Endpoint of the service that promotes upstreams. */
  promotion: endpoint,
  peers: z.strictObject({
    /** Key by which peers authenticate each other. */
    key: z.string().min(16)
  }),
  /** Grace period between SIGTERM and SIGKILL, in seconds. */
  graceSeconds: z.number().positive().default(6),
  /** Time after which a draining upstream must receive no new statements, in milliseconds. */
  drainMs: milliseconds.default(7000),
  /** Rate limits of organisations. Empty values take the default. */
  limits: z.strictObject({
    /** Length of the window over which a limit is enforced, in seconds. */
    windowSeconds: optionalNumber(5),
    /**
     * Permitted excess over a limit within a window: a fraction of the limit plus a number of operations. Callers
     * get a quarter of the fraction and half of the operations; the rest covers hosts that cannot exchange the number
     * of operations they granted.
     */
    tolerance: z.strictObject({ part: optionalNumber(0), operations: optionalNumber(0) }).prefault({})
  }).prefault({}),
  log: z.strictObject({
    level: z.enum([...LOG_LEVELS, 'silent']).default('info')
  }).prefault({})
})

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>
