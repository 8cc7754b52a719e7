import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { expect } from 'earl'
import fakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { createBudgetedLogger } from '../../src/core/logger/budget.ts'
import type { LogFields } from '../../src/core/logger/index.ts'

describe('createBudgetedLogger', () => {
  let clock: Clock
  beforeEach(() => { clock = fakeTimers.install() })
  afterEach(() => { clock.uninstall() })

  it('limits the lines per second of an event, and logs how many were suppressed', () => {
    const lines: Array<[string, LogFields | undefined]> = []
    const logger = createBudgetedLogger({ log: (_level, event, fields) => { lines.push([event, fields]) } })
    for (let index = 0; index < 1000; index++) {
      logger.log('info', 'request.done')
      logger.log('warn', 'request.failed')
    }
    const countOf = (name: string): number => lines.filter(([event]) => event === name).length
    expect(countOf('request.done') < 50).toEqual(true)
    expect(countOf('request.failed') > countOf('request.done')).toEqual(true)
    clock.tick(1100)
    logger.log('info', 'process.stopped')
    const suppressed = lines.find(([event, fields]) => event === 'log.suppressed' && fields?.['of'] === 'request.done')
    expect(suppressed?.[1]?.['lines']).toEqual(1000 - countOf('request.done'))
  })
})

describe('createBoundedStream', () => {
  it('does not block when the reader stops reading', async () => {
    const script = `
      import { createBoundedStream } from './src/core/logger/bounded-stream.ts'
      const stream = createBoundedStream(1)
      for (let turn = 0; turn < 200; turn++) {
        stream.write('x'.repeat(10_000) + '\\n')
        await new Promise((resolve) => setImmediate(resolve))
      }
      process.stderr.write('went on')
      process.exit(0)
    `
    const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '-e', script], {
      cwd: new URL('../../', import.meta.url).pathname
    })
    child.stdout.pause()
    let errors = ''
    child.stderr.on('data', (data) => { errors += String(data) })
    await once(child, 'exit')
    expect(errors).toEqual('went on')
  })
})
