/** Settings of an entry process. */
import * as z from 'zod'
import { LOG_LEVELS } from '../logger/index.ts'

const endpoint = z.string().regex(/^[0-9.]+:\d+$/, 'expected ip:port')
const milliseconds = z.number().int().positive()

/** A number that a template may leave empty. */
const optionalNumber = (otherwise: number) =>
  z.number().nonnegative().nullish().transform((value) => value ?? otherwise)

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
  host: z.strictObject({
    /** Name of the host, unique among all hosts. */
    name: z.string().min(1),
    /** IP number the process listens on and dials from. */
    address: z.string().min(1),
    failureDomain: z.string().min(1)
  }),
  listen: z.strictObject({
    /** Where callers connect. */
    callers: endpoint,
    /** Where the balancer asks whether the process is ready. */
    readiness: endpoint,
    /** Port for peers. */
    peers: z.number().int().min(0).max(65535),
    /** Port for metrics and the state dump. */
    metrics: z.number().int().min(0).max(65535)
  }),
  /** The store that keeps what must last. */
  store: endpoint,
  /** The service that promotes upstreams. */
  promotion: endpoint,
  peers: z.strictObject({
    /** Key by which peers authenticate each other. */
    key: z.string().min(16)
  }),
  /** Time between the order to stop and the kill, in seconds. */
  graceSeconds: z.number().positive().default(6),
  /** Time after which a leaving upstream must get nothing new, in milliseconds. */
  drainMs: milliseconds.default(7000),
  /** How the limits of organisations are counted; what is left empty has its default. */
  limits: z.strictObject({
    /** Span of time in which a limit holds, in seconds. */
    windowSeconds: optionalNumber(5),
    /**
     * What the count in such a span may exceed a limit by: a part of it, and a number of operations. Callers get a
     * quarter of the part and half of the operations; the rest makes up for hosts that cannot exchange what they
     * have granted.
     */
    tolerance: z.strictObject({ part: optionalNumber(0), operations: optionalNumber(0) }).prefault({})
  }).prefault({}),
  log: z.strictObject({
    level: z.enum([...LOG_LEVELS, 'silent']).default('info')
  }).prefault({})
})

/** Settings of an entry process. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>
