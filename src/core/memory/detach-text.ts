/**
 * Copies texts that are kept. A part of a text refers to the whole text in this runtime, so that a name of a few bytes
 * can keep the message alive in which it came.
 */

/**
 * Copies a text.
 *
 * @param text - a text, which may be a part of a longer one
 * @returns an equal text that refers to no other one
 */
export function detachText (text: string): string {
  return Buffer.from(text).toString()
}
