/** The error for a wrong command: it points at the position and suggests the nearest word. */
import { WorkswardError } from '../../core/errors/index.ts'

/** Greatest edit distance, in letters, at which a word is suggested. */
const GREATEST_DISTANCE = 3

/**
 * Builds the error.
 *
 * @param command - the whole command
 * @param offset - position of the mistake, in characters
 * @param reason - what is wrong
 * @param found - the word at that position
 * @param expected - words that are valid there
 * @returns the error
 */
export function mistakeAt (
  command: string, offset: number, reason: string, found = '', expected: readonly string[] = []
): WorkswardError<'InvalidCommand'> {
  const nearest = findNearest(found, expected)
  const suggestion = nearest === undefined ? '' : `; did you mean '${nearest}'?`
  const choices = expected.length > 0 ? ` (expected ${expected.join(', ')})` : ''
  return new WorkswardError('InvalidCommand', {
    reason: `${reason}${suggestion}${choices}\n  ${command}\n  ${' '.repeat(offset)}^`
  })
}

/**
 * Finds the word nearest to another.
 *
 * @param word - the word
 * @param candidates - the words to choose from
 * @returns the nearest, or undefined when none is near
 */
export function findNearest (word: string, candidates: readonly string[]): string | undefined {
  const [best] = candidates
    .map((candidate) => ({ candidate, distance: editDistance(word.toLowerCase(), candidate.toLowerCase()) }))
    .sort((left, right) => left.distance - right.distance)
  return best !== undefined && word !== '' && best.distance <= GREATEST_DISTANCE ? best.candidate : undefined
}

function editDistance (left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_value, index) => index)
  for (let row = 1; row <= left.length; row++) {
    const current = [row]
    for (let column = 1; column <= right.length; column++) {
      const replaced = previous[column - 1]! + (left[row - 1] === right[column - 1] ? 0 : 1)
      current.push(Math.min(replaced, previous[column]! + 1, current[column - 1]! + 1))
    }
    previous = current
  }
  return previous[right.length]!
}
