/** What a caller's session has seen, group by group, and how the session names itself. */
import { randomUUID } from 'node:crypto'
import { isSessionToken, type SessionTokens } from '../sessions/session-token.ts'
import { joinFloors, NOTHING_SEEN, type SessionFloor } from '../../positions/position.ts'

/** The session of a caller's connection. */
export interface SessionFloors {
  /** Identity of the session. */
  readonly id: string
  /** Whether the caller named the session by its id alone, so that it may have written elsewhere. */
  readonly isBareId: boolean
  /**
   * Enters the session that a handle names.
   *
   * @param handle - a token, which carries its floors, or an id, which carries none
   */
  enter: (handle: string) => void
  /** Returns what the session has seen of a group. */
  floorOf: (group: string) => SessionFloor
  /** Replaces the floor of a group by one that covers it. */
  replace: (group: string, floor: SessionFloor | undefined) => void
  /** Joins a floor to that of a group. */
  join: (group: string, floor: SessionFloor | undefined) => void
  /** Makes a token of the session. */
  seal: () => string
}

/**
 * Creates a new session.
 *
 * @param tokens - makes and checks tokens
 * @param service - the service it belongs to
 * @returns the session, which has seen nothing
 */
export function createSessionFloors (tokens: SessionTokens, service: string): SessionFloors {
  let id: string = randomUUID()
  let isBareId = false
  let floors = new Map<string, SessionFloor>()

  const floorOf = (group: string): SessionFloor => floors.get(group) ?? NOTHING_SEEN
  const replace = (group: string, floor: SessionFloor | undefined): void => {
    if (floor !== undefined) {
      floors.set(group, floor)
    }
  }
  const join = (group: string, floor: SessionFloor | undefined): void => {
    if (floor !== undefined) {
      floors.set(group, joinFloors(floor, floorOf(group)))
    }
  }

  return {
    get id () { return id },
    get isBareId () { return isBareId },
    floorOf,
    replace,
    join,
    enter: (handle) => {
      const token = isSessionToken(handle) ? tokens.open(handle, service) : undefined
      const entered = token?.id ?? handle
      if (entered !== id) {
        id = entered
        floors = new Map()
      }
      isBareId = token === undefined
      Object.entries(token?.floors ?? {}).forEach(([group, floor]) => join(group, floor))
    },
    seal: () => tokens.seal({ id, service, floors: Object.fromEntries(floors) })
  }
}
