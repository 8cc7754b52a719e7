import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { buildPage } from '../../bench/capacity/write-page.ts'

describe('docs/CAPACITY.md', () => {
  it('is what the measured slopes give', () => {
    const page = readFileSync(new URL('../../docs/CAPACITY.md', import.meta.url), 'utf8')
    expect(page).toEqual(buildPage())
  })
})
