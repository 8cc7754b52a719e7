/** Builds the error for an invalid command: marks the position and suggests the closest valid word. */
import { WorkswardError } from '../../core/errors/index.ts'

/** Maximum edit distance, in characters, at which a word is suggested. */
const MAXIMUM_EDIT_DISTANCE = 3

/**
 * Builds the error for an invalid command.
 *
 * @param command - the complete text of the command
 * @param offset - position of the error, in characters
 * @param reason - description of the error
 * @param found - the word at that position
 * @param expected - the words that are valid at that position
 * @returns the error
 */
export function createCommandError (
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
 * Finds the candidate with the smallest edit distance to a word, ignoring case.
 *
 * @param word - the misspelled word
 * @param candidates - the valid words
 * @returns the closest candidate, or undefined when all exceed the maximum distance
 */
export function findNearest (word: string, candidates: readonly string[]): string | undefined {
  const [best] = candidates
    .map((candidate) => ({ candidate, distance: editDistance(word.toLowerCase(), candidate.toLowerCase()) }))
    .sort((left, right) => left.distance - right.distance)
  return best !== undefined && word !== '' && best.distance <= MAXIMUM_EDIT_DISTANCE ? best.candidate : undefined
}

/** Returns the Levenshtein distance of two words. */
function editDistance (left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_value, index) => index)
  for (let row = 1; row <= left.length; row++) {
    const current = [row]
    for (let column = 1; column <= right.length; column++) {
      const substitutionCost = previous[column - 1]! + (left[row - 1] === right[column - 1] ? 0 : 1)
      current.push(Math.min(substitutionCost, previous[column]! + 1, current[column - 1]! + 1))
    }
    previous = current
  }
  return previous[right.length]!
}
