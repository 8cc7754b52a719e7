/** Pure functions that diffValues declarations and change single values by path. */
import { groupSchema, type Declarations, type Group } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import { ownValue } from '../../core/own-value.ts'
import type { GroupChange } from '../configuration/configuration-store.ts'
import type { VersionedGroup } from '../configuration/types.ts'
import { findNearest } from '../language/command-error.ts'

/** A value that differs between the applied and the new declarations. */
interface Difference {
  path: string
  before: string
  after: string
}

type JsonObject = Record<string, unknown>

/**
 * Lists the values that new declarations would change.
 *
 * @param applied - the applied groups
 * @param desired - the new declarations
 * @returns the differences, ordered by path
 */
export function listDifferences (applied: VersionedGroup[], desired: Declarations): Difference[] {
  const present = applied.filter(({ group }) => group !== null)
  const before = Object.fromEntries(present.map(({ name, group }) => [name, group]))
  return diffValues('', before, desired.groups)
}

/**
 * Builds the changes that replace the applied groups by new declarations.
 *
 * @param applied - the applied groups
 * @param desired - the new declarations; groups that they do not contain are removed
 * @returns one change for each group that differs
 */
export function buildChanges (applied: VersionedGroup[], desired: Declarations): GroupChange[] {
  const appliedByName = new Map(applied.map((version) => [version.name, version]))
  const names = new Set([...appliedByName.keys(), ...Object.keys(desired.groups)])
  return [...names].flatMap((name): GroupChange[] => {
    const before = appliedByName.get(name)
    const group = ownValue(desired.groups, name) ?? null
    const same = JSON.stringify(sortKeys(before?.group ?? null)) === JSON.stringify(sortKeys(group))
    return same ? [] : [{ name, group, baseVersion: before?.version ?? 0 }]
  })
}

/**
 * Changes one value of a group.
 *
 * @param group - the group
 * @param path - keys that lead from the group to the value
 * @param value - the new value; undefined restores the default
 * @returns the changed group
 * @throws WorkswardError `InvalidCommand` when the path does not exist or the value is invalid
 */
export function changeValue (group: Group, path: string[], value: string | number | boolean | undefined): Group {
  const changed = structuredClone(group) as JsonObject
  const parentPath = path.slice(0, -1)
  const lastKey = path.at(-1) ?? ''
  let parent: unknown = changed
  for (const key of parentPath) {
    parent = getChild(parent, key)
  }
  if (!isJsonObject(parent) || !Object.hasOwn(parent, lastKey)) {
    throw createUnknownValueError(lastKey, parent)
  }
  if (value === undefined) {
    delete parent[lastKey]
  } else {
    parent[lastKey] = value
  }
  const result = groupSchema.safeParse(changed)
  if (!result.success) {
    const [issue] = result.error.issues
    throw new WorkswardError('InvalidCommand', { reason: `${issue?.path.join('.')}: ${issue?.message}` })
  }
  return result.data
}

/** Returns a child value: elements of arrays are found by name, other values by key. */
function getChild (parent: unknown, key: string): unknown {
  const child = Array.isArray(parent)
    ? parent.find((item: { name?: string }) => item.name === key)
    : isJsonObject(parent) ? ownValue(parent, key) : undefined
  if (child === undefined) {
    throw createUnknownValueError(key, parent)
  }
  return child
}

function createUnknownValueError (key: string, parent: unknown): WorkswardError<'InvalidCommand'> {
  const validKeys = Array.isArray(parent)
    ? parent.map((item: { name: string }) => item.name)
    : Object.keys((parent ?? {}) as JsonObject)
  const nearest = findNearest(key, validKeys)
  const suggestion = nearest === undefined ? '' : `; did you mean '${nearest}'?`
  return new WorkswardError('InvalidCommand', {
    reason: `there is no declared value '${key}'${suggestion} (there are: ${validKeys.join(', ')})`
  })
}

function diffValues (path: string, before: unknown, after: unknown): Difference[] {
  if (isJsonObject(before) && isJsonObject(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
    return keys.flatMap((key) => diffValues(path === '' ? key : `${path}.${key}`, before[key], after[key]))
  }
  const [left, right] = [formatValue(before), formatValue(after)]
  return left === right ? [] : [{ path, before: left, after: right }]
}

function isJsonObject (value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function formatValue (value: unknown): string {
  return value === undefined ? '-' : JSON.stringify(sortKeys(value))
}

function sortKeys (value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sortKeys)
  }
  return isJsonObject(value)
    ? Object.fromEntries(Object.keys(value).sort().map((key) => [key, sortKeys(value[key])]))
    : value
}
