import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { events, formatEventsPage } from '../../src/core/logger/events.ts'

describe('docs/EVENTS.md', () => {
  it('matches the catalogue of events', () => {
    const page = readFileSync(new URL('../../docs/EVENTS.md', import.meta.url), 'utf8')
    expect(Object.keys(events).length > 10).toEqual(true)
    expect(page).toEqual(formatEventsPage())
  })
})
