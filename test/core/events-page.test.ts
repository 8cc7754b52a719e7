import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { expect } from 'earl'

const ROOT = new URL('../../', import.meta.url).pathname
const EVENT = /log\('(?:error|warn|info|debug)', '([a-z.-]+)'/g

describe('docs/EVENTS.md', () => {
  it('lists every event that the source logs', () => {
    const page = readFileSync(join(ROOT, 'docs/EVENTS.md'), 'utf8')
    const files = (readdirSync(join(ROOT, 'src'), { recursive: true }) as string[]).filter((file) => file.endsWith('.ts'))
    const events = files.flatMap((file) =>
      [...readFileSync(join(ROOT, 'src', file), 'utf8').matchAll(EVENT)].map((match) => match[1]!))
    expect(events.length > 10).toEqual(true)
    expect(events.filter((event) => !page.includes(`\`${event}\``))).toEqual([])
  })
})
