/** Stored and transferred forms of the configuration: versions of groups, changes, and the messages between peers. */
import * as z from 'zod'
import { groupSchema } from '../../core/config/index.ts'

/** Who changed what, when and why. */
const changeSchema = z.object({
  /** Identity of the change; a change whose answer was lost is found by it. */
  changeId: z.string(),
  operator: z.string(),
  /** ISO time. */
  at: z.string(),
  reason: z.string()
})

/** The configuration of one group. */
export const versionedGroupSchema = z.object({
  name: z.string(),
  /** Raised by one with each change of the group. */
  version: z.number().int(),
  /** Revision of the whole configuration that made this version. */
  revision: z.number().int(),
  /** The declarations, or null when the group was removed. */
  group: groupSchema.nullable(),
  change: changeSchema
})

/** An entry of the record of changes. */
export const recordedChangeSchema = changeSchema.extend({
  revision: z.number().int(),
  groups: z.array(z.object({ name: z.string(), version: z.number().int() }))
})

/** Body of a request for changes. */
export const sinceSchema = z.object({ revision: z.number().int() })

/** Answer to a request for changes. */
export const changesSchema = z.object({ revision: z.number().int(), groups: z.array(versionedGroupSchema) })

/** Who changed what, when and why. */
export type Change = z.infer<typeof changeSchema>
/** The configuration of one group. */
export type VersionedGroup = z.infer<typeof versionedGroupSchema>
/** An entry of the record of changes. */
export type RecordedChange = z.infer<typeof recordedChangeSchema>
/** Groups that changed, and the revision they bring a process to. */
export type Changes = z.infer<typeof changesSchema>
