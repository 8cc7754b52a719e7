/** Writes docs/EVENTS.md from the catalogue of events. */
import { writeFileSync } from 'node:fs'
import { formatEventsPage } from '../src/core/logger/events.ts'

writeFileSync(new URL('EVENTS.md', import.meta.url), formatEventsPage())
