/** Floors of a caller's session by group: the log positions that its reads must include. */
import { randomUUID } from 'node:crypto'
import { isSessionToken, type SessionTokens } from '../sessions/session-token.ts'
import { joinFloors, NOTHING_SEEN, type SessionFloor } from '../../positions/position.ts'

/** The session of a caller's connection. */
export interface SessionFloors {
  /** Id of the session. */
  readonly id: string
  /** Whether the caller passed an id instead of a token, so that the session may have written through other proxies. */
  readonly isIdOnly: boolean
  /**
   * Switches to the session of a handle.
   *
   * @param handle - a token, which contains floors, or the id of a session, which does not
   */
  resume: (handle: string) => void
  /** Returns the floor of a group. */
  floorOf: (group: string) => SessionFloor
  /** Replaces the floor of a group by one that is at least as high. */
  replace: (group: string, floor: SessionFloor | undefined) => void
  /** Raises the floor of a group to include another floor. */
  join: (group: string, floor: SessionFloor | undefined) => void
  /** Returns a token that contains the id and the floors of the session. */
  createToken: () => string
}

/**
 * Creates a session with a new id and without floors.
 *
 * @param tokens - creates and verifies tokens
 * @param service - service that the session belongs to
 * @returns the session
 */
export function createSessionFloors (tokens: SessionTokens, service: string): SessionFloors {
  let id: string = randomUUID()
  let isIdOnly = false
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
    get isIdOnly () { return isIdOnly },
    floorOf,
    replace,
    join,
    resume: (handle) => {
      const token = isSessionToken(handle) ? tokens.open(handle, service) : undefined
      const sessionId = token?.id ?? handle
      if (sessionId !== id) {
        id = sessionId
        floors = new Map()
      }
      isIdOnly = token === undefined
      Object.entries(token?.floors ?? {}).forEach(([group, floor]) => join(group, floor))
    },
    createToken: () => tokens.seal({ id, service, floors: Object.fromEntries(floors) })
  }
}
