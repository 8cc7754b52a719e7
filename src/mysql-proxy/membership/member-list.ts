/** The list of known processes and the rules by which two opinions of one process are merged. */
import xxhash from 'xxhash-wasm'
import { MEMBER_STATES, type Member } from './types.ts'

const { h64ToString } = await xxhash()

/**
 * Time for which a process that is gone stays listed, in milliseconds, so that an old opinion does not make it live
 * again.
 */
const KEEP_GONE_MS = 600_000

/** A member and when its state was last changed here. */
interface ListedMember {
  member: Member
  changedAt: number
}

/** The list. */
export interface MemberList {
  /**
   * Merges an opinion of a process.
   *
   * @param member - the opinion
   * @returns whether it changed the list
   */
  merge: (member: Member) => boolean
  get: (host: string) => Member | undefined
  /** All members, those that are gone included. */
  all: () => Member[]
  /** Digest of the list; equal lists have equal digests. */
  digest: () => string
  /** Removes processes that have been gone for long. */
  expire: () => void
}

/**
 * Creates an empty list.
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
        if (member.state === 'gone' && performance.now() - changedAt > KEEP_GONE_MS) {
          members.delete(host)
          digest = undefined
        }
      }
    }
  }
}

/**
 * Compares two opinions of one process: the later start, then the higher version, then the graver state.
 *
 * @param left - one opinion
 * @param right - the other
 * @returns positive when the left one overrides the right one
 */
function compareOpinions (left: Member, right: Member): number {
  return left.startedAt - right.startedAt || left.version - right.version ||
    MEMBER_STATES.indexOf(left.state) - MEMBER_STATES.indexOf(right.state)
}

function digestOf (members: Member[]): string {
  const lines = members.map(({ host, startedAt, version, state }) => `${host} ${startedAt} ${version} ${state}`)
  return h64ToString(lines.sort().join('\n'))
}
