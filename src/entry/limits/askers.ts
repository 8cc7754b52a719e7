/**
 * Which hosts have asked this one as the keeper of a limit. When it has to refuse, some that asked before may be out of
 * touch and ask another host that stands in for this one; those that have gone quiet are asked whether they are there.
 */
import type { KnownHost } from '../registry/index.ts'
import { QUIET } from './consts.ts'

/** Options of {@link createAskers}. */
interface AskersOptions {
  /** Asks a host whether it is there. */
  check: (host: KnownHost) => void
}

/** Hosts that ask. */
interface Askers {
  /** Takes note that a host has asked. */
  heard: (host: string) => void
  /** Whether a host has asked lately. */
  isHeard: (host: string) => boolean
  /** Has those checked that have asked before and not lately. */
  checkQuiet: (hosts: KnownHost[]) => void
}

/**
 * Creates the memory; nobody has asked yet.
 *
 * @param options - asks whether hosts are there
 * @returns the memory
 */
export function createAskers ({ check }: AskersOptions): Askers {
  const heardAt = new Map<string, number>()
  let checkedAt = -Infinity

  const silenceOf = (host: string): number => performance.now() - (heardAt.get(host) ?? -Infinity)
  return {
    heard: (host) => { heardAt.set(host, performance.now()) },
    isHeard: (host) => silenceOf(host) <= QUIET.afterMs,
    checkQuiet: (hosts) => {
      const now = performance.now()
      if (now - checkedAt < QUIET.pauseMs) {
        return
      }
      checkedAt = now
      hosts
        .filter(({ name }) => silenceOf(name) > QUIET.afterMs && silenceOf(name) <= QUIET.rememberedMs)
        .forEach(check)
    }
  }
}
