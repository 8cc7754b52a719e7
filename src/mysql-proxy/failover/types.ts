/** Messages about primaries between keepers and proxies. */
import * as z from 'zod'

/**
 * Number of keepers that watch each group, spread over failure domains where possible. With three, two failure domains
 * can still report a primary after one keeper has failed.
 */
export const KEEPERS_PER_GROUP = 3

/** Notice that an upstream does not answer. */
export const evidenceSchema = z.object({
  group: z.string(),
  upstream: z.string(),
  /** Term that the observer expects the upstream to lead. */
  term: z.number().int(),
  /** Failure domain of the observer. */
  failureDomain: z.string(),
  host: z.string()
})

/** Announcement of a new primary. */
export const leadershipNoticeSchema = z.object({
  group: z.string(),
  term: z.number().int(),
  primary: z.string()
})

/** Request of an operator to change the primary. */
export const promotionWishSchema = z.object({ group: z.string(), upstream: z.string().optional() })
