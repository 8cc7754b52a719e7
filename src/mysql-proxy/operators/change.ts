/** Changes of the declarations, as pure functions: what differs, and single values by their path. */
import { groupSchema, type Declarations, type Group } from '../../core/config/index.ts'
import { WorkswardError } from '../../core/errors/index.ts'
import type { GroupChange } from '../configuration/configuration-store.ts'
import type { VersionedGroup } from '../configuration/types.ts'
import { findNearest } from '../language/mistake.ts'

/** A value that a change would make different. */
interface Difference {
  path: string
  before: string
  after: string
}

/** A tree of values. */
type Tree = Record<string, unknown>

/**
 * Lists what declarations would change.
 *
 * @param inForce - the groups in force
 * @param wanted - the declarations
 * @returns the differences, by path
 */
export function listDifferences (inForce: VersionedGroup[], wanted: Declarations): Difference[] {
  const present = inForce.filter(({ group }) => group !== null)
  const before = Object.fromEntries(present.map(({ name, group }) => [name, group]))
  return compare('', before, wanted.groups)
}

/**
 * Builds the changes that bring declarations into force.
 *
 * @param inForce - the groups in force
 * @param wanted - the declarations; groups that are not in them are removed
 * @returns one change for each group that differs
 */
export function buildChanges (inForce: VersionedGroup[], wanted: Declarations): GroupChange[] {
  const known = new Map(inForce.map((version) => [version.name, version]))
  const names = new Set([...known.keys(), ...Object.keys(wanted.groups)])
  return [...names].flatMap((name): GroupChange[] => {
    const before = known.get(name)
    const group = wanted.groups[name] ?? null
    const same = JSON.stringify(sortKeys(before?.group ?? null)) === JSON.stringify(sortKeys(group))
    return same ? [] : [{ name, group, baseVersion: before?.version ?? 0 }]
  })
}

/**
 * Changes one value of a group.
 *
 * @param group - the group
 * @param path - path of the value below the group
 * @param value - the new value; undefined restores the default
 * @returns the changed group
 * @throws WorkswardError `InvalidCommand` when there is no such value, or it cannot be that
 */
export function changeValue (group: Group, path: string[], value: string | number | boolean | undefined): Group {
  const changed = structuredClone(group) as Tree
  const parents = path.slice(0, -1)
  const last = path.at(-1) ?? ''
  let place: unknown = changed
  for (const part of parents) {
    place = step(place, part)
  }
  const tree = place as Tree
  if (Array.isArray(place) || tree === null || typeof tree !== 'object' || !(last in tree)) {
    throw unknownValue(last, place)
  }
  if (value === undefined) {
    delete tree[last]
  } else {
    tree[last] = value
  }
  const result = groupSchema.safeParse(changed)
  if (!result.success) {
    const [issue] = result.error.issues
    throw new WorkswardError('InvalidCommand', { reason: `${issue?.path.join('.')}: ${issue?.message}` })
  }
  return result.data
}

/** Upstreams are found by their name, other values by their key. */
function step (place: unknown, part: string): unknown {
  const next = Array.isArray(place)
    ? place.find((item: { name?: string }) => item.name === part)
    : (place as Tree | null)?.[part]
  if (next === undefined) {
    throw unknownValue(part, place)
  }
  return next
}

function unknownValue (part: string, place: unknown): WorkswardError<'InvalidCommand'> {
  const known = Array.isArray(place)
    ? place.map((item: { name: string }) => item.name)
    : Object.keys((place ?? {}) as Tree)
  const nearest = findNearest(part, known)
  const suggestion = nearest === undefined ? '' : `; did you mean '${nearest}'?`
  return new WorkswardError('InvalidCommand', {
    reason: `there is no declared value '${part}'${suggestion} (there are: ${known.join(', ')})`
  })
}

function compare (path: string, before: unknown, after: unknown): Difference[] {
  if (isTree(before) && isTree(after)) {
    const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
    return keys.flatMap((key) => compare(path === '' ? key : `${path}.${key}`, before[key], after[key]))
  }
  const [left, right] = [show(before), show(after)]
  return left === right ? [] : [{ path, before: left, after: right }]
}

function isTree (value: unknown): value is Tree {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function show (value: unknown): string {
  return value === undefined ? '-' : JSON.stringify(sortKeys(value))
}

function sortKeys (value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sortKeys)
  }
  return isTree(value)
    ? Object.fromEntries(Object.keys(value).sort().map((key) => [key, sortKeys(value[key])]))
    : value
}
