/** Forms of the notices about primaries between keepers and proxies. */
import * as z from 'zod'

/**
 * Keepers that watch each group, in different failure domains where there are enough. One may fail and two failure
 * domains can still report a primary.
 */
export const KEEPERS_PER_GROUP = 3

/** An observation that an upstream does not answer. */
export const evidenceSchema = z.object({
  group: z.string(),
  upstream: z.string(),
  /** Term the observer believed the upstream to lead. */
  term: z.number().int(),
  /** Where the observer is. */
  failureDomain: z.string(),
  host: z.string()
})

/** Announcement of a new primary. */
export const leadershipNoticeSchema = z.object({
  group: z.string(),
  term: z.number().int(),
  primary: z.string()
})

/** An operator's request for another primary. */
export const promotionWishSchema = z.object({ group: z.string(), upstream: z.string().optional() })
