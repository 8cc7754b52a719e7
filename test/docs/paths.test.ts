import { execFileSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'
import { expect } from 'earl'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
/** Records of past runs, which aren't updated and may name paths that no longer exist. */
const ACCOUNTS = /^(?:journal|docs\/incidents)\//
const FOLDERS = 'src|platform|test|bench|docs|deploy|bin|examples'
/** Matches a path relative to the root that isn't part of a longer path or word. */
const PATH = new RegExp(String.raw`(?<![\w./@-])(?:${FOLDERS})/[\w./-]*`, 'g')
const LINK = /\]\(([^)\s]+)\)/g
const BACKQUOTED = /`([^`]+)`/g

/** A path found in a text. */
interface NamedPath {
  line: number
  path: string
  /** Whether the path is relative to the folder of the text, rather than to the root. */
  isRelative: boolean
}

/** Finds paths relative to the root, without the full stop of a sentence. */
function rootPaths (text: string, line: number): NamedPath[] {
  return [...text.matchAll(PATH)].map(([path]) => ({ line, path: path.replace(/\.+$/, ''), isRelative: false }))
}

/** Finds targets of links, except for URLs and headings of the same page. */
function linkedPaths (text: string, line: number): NamedPath[] {
  return [...text.matchAll(LINK)]
    .map(([, target = '']) => target.replace(/#.*$/, ''))
    .filter((target) => target !== '' && !/^[a-z]+:/.test(target))
    .map((path) => ({ line, path, isRelative: true }))
}

function pathsOfPage (text: string): NamedPath[] {
  return text.split('\n').flatMap((content, index) => [
    ...linkedPaths(content, index + 1),
    ...[...content.matchAll(BACKQUOTED)].flatMap(([, quoted = '']) => rootPaths(quoted, index + 1))
  ])
}

/** Finds paths in block and line comments. */
function pathsOfCode (text: string): NamedPath[] {
  let isInBlock = false
  return text.split('\n').flatMap((content, index) => {
    const opens = /^\s*\/\*/.test(content)
    isInBlock = isInBlock || opens
    const comment = isInBlock ? content : /(?:^|\s)\/\/(.*)$/.exec(content)?.[1] ?? ''
    isInBlock = isInBlock && !content.includes('*/')
    return rootPaths(comment, index + 1)
  })
}

/**
 * Finds paths in a text that don't exist.
 *
 * @param file - path of the text, relative to the root
 * @param exists - checks whether a path relative to the root exists
 * @returns `file:line: path` for each missing path
 */
function missingPaths (file: string, text: string, exists: (path: string) => boolean): string[] {
  const named = file.endsWith('.md') ? pathsOfPage(text) : pathsOfCode(text)
  return named
    .filter(({ path, isRelative }) => !exists(isRelative ? join(dirname(file), path) : path))
    .map(({ line, path }) => `${file}:${line}: ${path}`)
}

describe('paths named in pages and comments', () => {
  const listed = execFileSync('git', ['ls-files', '*.md', '*.ts'], { cwd: ROOT, encoding: 'utf8' })
  const files = listed.split('\n').filter((file) => file !== '' && !ACCOUNTS.test(file) && existsSync(join(ROOT, file)))

  it('exist', () => {
    const missing = files.flatMap((file) =>
      missingPaths(file, readFileSync(join(ROOT, file), 'utf8'), (path) => existsSync(join(ROOT, path))))
    expect(files.length > 100).toEqual(true)
    expect(missing).toEqual([])
  })

  const there = new Set(['src/core/random.ts', 'docs/DESIGN.md', 'docs/design/layout.md', 'test/'])
  const exists = (path: string): boolean => there.has(path)

  it('are found in backquotes and links of a page, with their lines', () => {
    const page = [
      'See `src/core/random.ts`, `src/core/gone.ts` and [design](../DESIGN.md#sessions).',
      '[gone](gone.md), [elsewhere](https://example.org/docs/x), [here](#there), `tsx test/gone.ts 3`'
    ].join('\n')
    expect(missingPaths('docs/design/layout.md', page, exists)).toEqual([
      'docs/design/layout.md:1: src/core/gone.ts',
      'docs/design/layout.md:2: gone.md',
      'docs/design/layout.md:2: test/gone.ts'
    ])
  })

  it('are found in comments but not in code', () => {
    const code = [
      '/**',
      ' * Described in docs/DESIGN.md, docs/GONE.md.',
      ' */',
      'const path = \'src/gone.ts\' /' + '/ as in src/other.ts',
      'import \'../../src/gone.ts\''
    ].join('\n')
    expect(missingPaths('src/core/random.ts', code, exists)).toEqual([
      'src/core/random.ts:2: docs/GONE.md',
      'src/core/random.ts:4: src/other.ts'
    ])
  })
})
