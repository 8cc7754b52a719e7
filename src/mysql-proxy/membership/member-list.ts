/** List of known processes. Merging is commutative and idempotent, so that all processes converge to the same list. */
import xxhash from 'xxhash-wasm'
import { MEMBER_STATES, type Member } from './types.ts'

const { h64ToString } = await xxhash()

/** Time for which a gone process stays listed, in milliseconds, so that an outdated opinion does not revive it. */
const GONE_RETENTION_MS = 600_000

/** A list entry. */
interface ListedMember {
  member: Member
  /** Monotonic time of the last change, in milliseconds. */
  changedAt: number
}

/** Member list of one process. */
export interface MemberList {
  /**
   * Merges an opinion on a process. Outdated opinions are ignored.
   *
   * @param member - the opinion
   * @returns whether the list has changed
   */
  merge: (member: Member) => boolean
  get: (host: string) => Member | undefined
  /** Returns all members, including gone ones. */
  all: () => Member[]
  /** Returns a digest of the list; equal lists have equal digests. */
  digest: () => string
  /** Removes processes that have been gone for longer than {@link GONE_RETENTION_MS}. */
  expire: () => void
}

/**
 * Creates an empty member list.
 *
 * @returns the list
 */
export function createMemberList (): MemberList {
  const members = new Map<string, ListedMember>()
  let digest: string | undefined

  return {
    merge: (member) => {
      const known = members.get(member.host)
      if (known !== undefined && compareOpinions(member, known.member) <= 0) {
        return false
      }
      members.set(member.host, { member, changedAt: performance.now() })
      digest = undefined
      return true
    },
    get: (host) => members.get(host)?.member,
    all: () => [...members.values()].map(({ member }) => member),
    digest: () => {
      digest ??= digestOf([...members.values()].map(({ member }) => member))
      return digest
    },
    expire: () => {
      for (const [host, { member, changedAt }] of members) {
        if (member.state === 'gone' && performance.now() - changedAt > GONE_RETENTION_MS) {
          members.delete(host)
          digest = undefined
        }
      }
    }
  }
}

/**
 * Compares two opinions on one process by start time, then version, then state in the order of {@link MEMBER_STATES}.
 *
 * @param left - one opinion
 * @param right - the other opinion
 * @returns positive when `left` overrides `right`, 0 when they are equal
 */
function compareOpinions (left: Member, right: Member): number {
  return left.startedAt - right.startedAt || left.version - right.version ||
    MEMBER_STATES.indexOf(left.state) - MEMBER_STATES.indexOf(right.state)
}

function digestOf (members: Member[]): string {
  const lines = members.map(({ host, startedAt, version, state }) => `${host} ${startedAt} ${version} ${state}`)
  return h64ToString(lines.sort().join('\n'))
}
