/** Texts that several owners keep, such as statements that all sessions of an application prepare: one copy of each. */
import { detachText } from './detach-text.ts'
import { fingerprintOf, MAXIMUM_FINGERPRINT_LENGTH } from './fingerprint.ts'
import type { MemoryBudget } from './memory-budget.ts'

/** Memory that a text takes beside its characters, in bytes: its fingerprint, objects, and the entry of a map. */
const TEXT_OVERHEAD_BYTES = 256 + MAXIMUM_FINGERPRINT_LENGTH

/** A text that is kept. */
export interface SharedText {
  readonly text: string
  /** See {@link fingerprintOf}. */
  readonly fingerprint: string
}

/** The texts that a process keeps. */
export interface SharedTexts {
  /** Number of different texts. */
  readonly size: number
  /**
   * Keeps a text until it is released as often as it has been kept.
   *
   * @param text - the text
   * @param previous - a text that is kept and takes its place; it is released if there is room for the new one
   * @returns the kept text; undefined if there is no room for it
   */
  keep: (text: string, previous?: SharedText) => SharedText | undefined
  /** Ends one use of a text. */
  release: (shared: SharedText) => void
}

/** A text, and how often it is kept. */
interface TextEntry {
  shared: SharedText
  uses: number
}

const bytesOf = (text: string): number => text.length + TEXT_OVERHEAD_BYTES

/**
 * Creates an empty collection of texts.
 *
 * @param budget - the memory that they may take, as names
 * @returns the collection
 */
export function createSharedTexts (budget: Pick<MemoryBudget, 'open'>): SharedTexts {
  const hold = budget.open('names')
  const entries = new Map<string, TextEntry>()

  const release = ({ text, fingerprint }: SharedText): TextEntry => {
    const entry = entries.get(fingerprint)!
    entry.uses--
    if (entry.uses === 0) {
      entries.delete(fingerprint)
      hold.give(bytesOf(text))
    }
    return entry
  }
  const revive = (entry: TextEntry): void => {
    if (entry.uses === 0) {
      entries.set(entry.shared.fingerprint, entry)
      hold.take(bytesOf(entry.shared.text))
    }
    entry.uses++
  }
  const add = (text: string, key: string): SharedText | undefined => {
    if (!hold.take(bytesOf(text))) {
      return undefined
    }
    const fingerprint = detachText(key)
    const shared = { text: key === text ? fingerprint : detachText(text), fingerprint }
    entries.set(fingerprint, { shared, uses: 1 })
    return shared
  }
  return {
    get size () { return entries.size },
    keep: (text, previous) => {
      const key = fingerprintOf(text)
      const known = entries.get(key)
      if (known !== undefined) {
        known.uses++
        previous === undefined || release(previous)
        return known.shared
      }
      const released = previous && release(previous)
      const shared = add(text, key)
      if (shared === undefined && released !== undefined) {
        revive(released)
      }
      return shared
    },
    release
  }
}
