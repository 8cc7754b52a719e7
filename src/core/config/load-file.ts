/** Loads YAML files, validates them against a schema and reports each mistake with its path, line and reason. */
import { readFileSync } from 'node:fs'
import { LineCounter, parseDocument, type Document } from 'yaml'
import type * as z from 'zod'
import { WorkswardError, describeThrown, type FileMistake } from '../errors/index.ts'

/**
 * Reads and validates a YAML file.
 *
 * @param file - path of the file
 * @param schema - schema of the content
 * @returns the validated content with defaults applied
 * @throws WorkswardError `UnreadableFile` or `InvalidSettings`
 */
export function loadFile<Schema extends z.ZodType> (file: string, schema: Schema): z.infer<Schema> {
  return parseContent(file, readText(file), schema)
}

/**
 * Parses and validates YAML text.
 *
 * @param file - file name shown in error messages
 * @param text - YAML text
 * @param schema - schema of the content
 * @returns the validated content with defaults applied
 * @throws WorkswardError `UnreadableFile` or `InvalidSettings`
 */
export function parseContent<Schema extends z.ZodType> (file: string, text: string, schema: Schema): z.infer<Schema> {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines })
  const syntaxError = document.errors[0]
  if (syntaxError !== undefined) {
    throw new WorkswardError('UnreadableFile', { file, reason: syntaxError.message })
  }
  const result = schema.safeParse(document.toJS() ?? {})
  if (result.success) {
    return result.data
  }
  const mistakes = result.error.issues.map((issue): FileMistake => ({
    file,
    path: formatPath(issue.path),
    line: findLine(document, lines, issue.path),
    reason: issue.message
  }))
  throw new WorkswardError('InvalidSettings', { mistakes })
}

/**
 * Reads a UTF-8 text file.
 *
 * @param file - path of the file
 * @returns its content
 * @throws WorkswardError `UnreadableFile`
 */
export function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (thrown) {
    throw new WorkswardError('UnreadableFile', { file, reason: describeThrown(thrown) })
  }
}

function formatPath (path: PropertyKey[]): string {
  return path.map(String).join('.')
}

/** Returns the line of the deepest node on the path that exists in the document. */
function findLine (document: Document, lines: LineCounter, path: PropertyKey[]): number | undefined {
  for (let length = path.length; length > 0; length--) {
    const node = document.getIn(path.slice(0, length), true) as { range?: [number, number, number] } | undefined
    if (node?.range !== undefined) {
      return lines.linePos(node.range[0]).line
    }
  }
  return undefined
}
