/** What keepers and proxies tell each other about primaries. */
import * as z from 'zod'

/** Keepers that watch each group, in different failure domains where there are enough. */
export const KEEPERS_PER_GROUP = 3

/** Word that an upstream does not answer somebody. */
export const evidenceSchema = z.object({
  group: z.string(),
  upstream: z.string(),
  /** Term the observer believed the upstream to lead. */
  term: z.number().int(),
  /** Where the observer is. */
  failureDomain: z.string(),
  host: z.string()
})

/** Word of a new primary. */
export const leadershipNoticeSchema = z.object({
  group: z.string(),
  term: z.number().int(),
  primary: z.string()
})

/** An operator's wish for another primary. */
export const promotionWishSchema = z.object({ group: z.string(), upstream: z.string().optional() })
