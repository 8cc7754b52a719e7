/** Schemas of the configuration as it is stored in the platform and sent between peers. */
import * as z from 'zod'
import { groupSchema } from '../../core/config/index.ts'

/** Metadata of a change. */
const changeSchema = z.object({
  /** Unique ID, which makes a retried change idempotent. */
  changeId: z.string(),
  operator: z.string(),
  /** Time of the change, in ISO 8601 format. */
  at: z.string(),
  reason: z.string()
})

/** One version of a group's declarations. */
export const versionedGroupSchema = z.object({
  name: z.string(),
  /** Increases by one with each change to the group. */
  version: z.number().int(),
  /** Configuration revision in which this version was created. */
  revision: z.number().int(),
  /** The declarations; null when the group was removed. */
  group: groupSchema.nullable(),
  change: changeSchema
})

/** An entry in the history of changes. */
export const recordedChangeSchema = changeSchema.extend({
  revision: z.number().int(),
  groups: z.array(z.object({ name: z.string(), version: z.number().int() }))
})

/** Body of the peer request `configuration-since`. */
export const sinceSchema = z.object({ revision: z.number().int() })

/** Response to the peer request `configuration-since`. */
export const changesSchema = z.object({ revision: z.number().int(), groups: z.array(versionedGroupSchema) })

/** Metadata of a change. */
export type Change = z.infer<typeof changeSchema>
/** One version of a group's declarations. */
export type VersionedGroup = z.infer<typeof versionedGroupSchema>
/** An entry in the history of changes. */
export type RecordedChange = z.infer<typeof recordedChangeSchema>
/** Changed groups, and the revision that a process reaches by applying them. */
export type Changes = z.infer<typeof changesSchema>
